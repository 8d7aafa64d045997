"""Levels at message boundaries and at fixed positions in long messages."""

from collections.abc import Iterator, Sequence

from yuccagauge.prefixes.base import (
    CacheScope,
    Message,
    PrefixLevel,
    PrefixScheme,
    RequestPrefix,
    prefix_schemes,
)
from yuccagauge.prefixes.chain import PrefixChain

#: Distance between the first cuts inside a message, about 512 tokens.
BLOCK_BYTES = 2048

# A message is cut after each of its first eight blocks, then four times in
# each doubling of the length. Of a text that two messages share at the start,
# all but one block or at least four fifths is therefore found, while the
# number of levels grows with the logarithm of the length. The cuts depend only
# on the position, so equal texts are cut at equal positions.
_DENSE_BLOCKS = 8
_CUTS_PER_DOUBLING = 4

#: Longer lists of levels keep equally many first and last levels.
MAXIMUM_LEVELS = 64


@prefix_schemes.register
class MessagesScheme(PrefixScheme):
    """Cuts prompts at message boundaries and inside long messages."""

    name = 'messages'

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
            levels.extend(_inner_levels(chain, message.content.encode()))
            chain.close_message()
            levels.append(chain.current_level())
        return RequestPrefix(
            cache_scope=cache_scope,
            levels=_limit_levels(levels),
            prompt_tokens=chain.tokens,
            stable_levels=min(stable, MAXIMUM_LEVELS - 1),
        )


def _inner_levels(chain: PrefixChain, content: bytes) -> Iterator[PrefixLevel]:
    start = 0
    for cut in _cut_positions(len(content)):
        chain.add_content(content[start:cut])
        start = cut
        yield chain.current_level()
    chain.add_content(content[start:])


def _cut_positions(length: int) -> Iterator[int]:
    """Yield the byte positions below ``length`` at which to cut."""
    blocks = 1
    while blocks * BLOCK_BYTES < length:
        yield blocks * BLOCK_BYTES
        if blocks < _DENSE_BLOCKS:
            blocks += 1
        else:
            power_of_two = 1 << (blocks.bit_length() - 1)
            blocks += power_of_two // _CUTS_PER_DOUBLING


def _limit_levels(levels: list[PrefixLevel]) -> tuple[PrefixLevel, ...]:
    if len(levels) <= MAXIMUM_LEVELS:
        return tuple(levels)
    half = MAXIMUM_LEVELS // 2
    return (*levels[:half], *levels[-half:])
