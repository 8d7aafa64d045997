"""One level at the end of each message."""

from collections.abc import Sequence

from yuccagauge.prefixes.base import (
    CacheScope,
    Message,
    PrefixLevel,
    PrefixScheme,
    RequestPrefix,
    prefix_schemes,
)
from yuccagauge.prefixes.chain import PrefixChain


@prefix_schemes.register
class WholeScheme(PrefixScheme):
    """Cuts prompts only at message boundaries."""

    name = 'whole-messages'

    def derive_levels(
        self,
        cache_scope: CacheScope,
        messages: Sequence[Message],
    ) -> RequestPrefix:
        """Return the levels of a prompt."""
        chain = PrefixChain(cache_scope)
        levels: list[PrefixLevel] = []
        for message in messages:
            chain.open_message(message.role)
            chain.add_content(message.content.encode())
            chain.close_message()
            levels.append(chain.current_level())
        return RequestPrefix(
            cache_scope=cache_scope,
            levels=tuple(levels),
            prompt_tokens=chain.tokens,
            stable_levels=max(0, len(levels) - 1),
        )
