"""Levels at message boundaries and at fixed places inside long messages."""

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

#: Cut inside a message every 512 tokens or so at first.
BLOCK_BYTES = 2048

# The first cuts are every block; then four in each doubling of the length.
# Of a shared part all but a block or at least four fifths is thus found, with
# a number of levels that grows with the logarithm of its length; the cuts
# depend on the position alone, so they are equal wherever the text is equal.
_DENSE_BLOCKS = 8
_CUTS_PER_DOUBLING = 4

#: Long conversations keep the first and the last levels up to this number.
MAXIMUM_LEVELS = 64


@prefix_schemes.register
class MessagesScheme(PrefixScheme):
    """Cuts at message boundaries, and inside long messages."""

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
            levels.append(chain.level())
        return RequestPrefix(
            cache_scope=cache_scope,
            levels=_thin(levels),
            prompt_tokens=chain.tokens,
            stable_levels=min(stable, MAXIMUM_LEVELS - 1),
        )


def _inner_levels(chain: PrefixChain, content: bytes) -> Iterator[PrefixLevel]:
    start = 0
    for cut in _cuts(len(content)):
        chain.add(content[start:cut])
        start = cut
        yield chain.level()
    chain.add(content[start:])


def _cuts(length: int) -> Iterator[int]:
    """Yield the byte positions below ``length`` at which to cut."""
    blocks = 1
    while blocks * BLOCK_BYTES < length:
        yield blocks * BLOCK_BYTES
        if blocks < _DENSE_BLOCKS:
            blocks += 1
        else:
            octave = 1 << (blocks.bit_length() - 1)
            blocks += octave // _CUTS_PER_DOUBLING


def _thin(levels: list[PrefixLevel]) -> tuple[PrefixLevel, ...]:
    if len(levels) <= MAXIMUM_LEVELS:
        return tuple(levels)
    half = MAXIMUM_LEVELS // 2
    return (*levels[:half], *levels[-half:])
