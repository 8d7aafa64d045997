"""One level for each message and none inside."""

from collections.abc import Sequence

from yuccagauge.prefixes.base import (
    Identity,
    Message,
    PrefixLevel,
    PrefixScheme,
    RequestPrefix,
    prefix_schemes,
)
from yuccagauge.prefixes.chain import PrefixChain


@prefix_schemes.register
class WholeScheme(PrefixScheme):
    """Cuts at message boundaries only."""

    name = 'whole-messages'

    def derive(
        self,
        identity: Identity,
        messages: Sequence[Message],
    ) -> RequestPrefix:
        """Return the levels of a prompt."""
        chain = PrefixChain(identity)
        levels: list[PrefixLevel] = []
        for message in messages:
            chain.open_message(message.role)
            chain.add(message.content.encode())
            chain.close_message()
            levels.append(chain.level())
        return RequestPrefix(
            identity=identity,
            levels=tuple(levels),
            prompt_tokens=chain.tokens,
            stable_levels=max(0, len(levels) - 1),
        )
