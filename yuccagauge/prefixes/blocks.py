"""Levels at fixed distances, whatever the messages are."""

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

#: Distance of two cuts inside a message, about 1,024 tokens.
BLOCK_BYTES = 4096

#: Levels beyond this number are not kept; the deepest is always kept.
MAXIMUM_LEVELS = 64


@prefix_schemes.register
class BlocksScheme(PrefixScheme):
    """Cuts each message into blocks of equal size."""

    name = 'blocks'

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
            content = message.content.encode()
            for start in range(0, len(content), BLOCK_BYTES):
                block = content[start : start + BLOCK_BYTES]
                chain.add(block)
                if len(block) == BLOCK_BYTES:
                    levels.append(chain.level())
            chain.close_message()
        kept = (*levels[: MAXIMUM_LEVELS - 1], chain.level())
        return RequestPrefix(
            identity=identity,
            levels=kept,
            prompt_tokens=chain.tokens,
        )
