"""Levels at message boundaries and at equal distances inside messages."""

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

#: Distance between two cuts inside a message, about 1,024 tokens.
BLOCK_BYTES = 4096

#: Longer lists of levels keep their first levels and the deepest one.
MAXIMUM_LEVELS = 64


@prefix_schemes.register
class BlocksScheme(PrefixScheme):
    """Cuts each message into blocks of equal size."""

    name = 'blocks'

    def derive_levels(
        self,
        cache_scope: CacheScope,
        messages: Sequence[Message],
    ) -> RequestPrefix:
        """Return the levels of a prompt."""
        chain = PrefixChain(cache_scope)
        levels: list[PrefixLevel] = []
        stable = 0
        for message in messages:
            stable = len(levels)
            chain.open_message(message.role)
            content = message.content.encode()
            for start in range(0, len(content), BLOCK_BYTES):
                block = content[start : start + BLOCK_BYTES]
                chain.add_content(block)
                if len(block) == BLOCK_BYTES:
                    levels.append(chain.current_level())
            chain.close_message()
            levels.append(chain.current_level())
        limited = levels
        if len(levels) > MAXIMUM_LEVELS:
            limited = [*levels[: MAXIMUM_LEVELS - 1], levels[-1]]
        return RequestPrefix(
            cache_scope=cache_scope,
            levels=tuple(limited),
            prompt_tokens=chain.tokens,
            stable_levels=min(stable, len(limited) - 1) if limited else 0,
        )
