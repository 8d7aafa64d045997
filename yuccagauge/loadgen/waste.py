"""Prompt tokens that were recomputed although a live engine held them."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from yuccagauge.standins.answers import BLOCK_TOKENS


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheFigures:
    """Sums over all prompts that engines started to compute."""

    prompt_tokens: int
    cached_tokens: int
    wasted_tokens: int

    @property
    def hit_rate(self) -> float:
        """Cached tokens as a share of prompt tokens."""
        return self.cached_tokens / max(self.prompt_tokens, 1)

    @property
    def waste(self) -> float:
        """Wasted tokens as a share of prompt tokens."""
        return self.wasted_tokens / max(self.prompt_tokens, 1)


def cache_figures(records: Iterable[Mapping[str, Any]]) -> CacheFigures:
    """Follow what each engine held, from the records of all engines.

    A prompt wastes the tokens by which the best engine, at the time when
    the prompt left the queue, held more of it than was found cached.
    """
    held: defaultdict[str, dict[str, int]] = defaultdict(dict)
    prompt = cached = wasted = 0
    for record in sorted(records, key=lambda one: one['time_ms']):
        server = held[record['server']]
        match record['kind']:
            case 'stored':
                server[record['digest']] = record['tokens']
            case 'evicted':
                server.pop(record['digest'], None)
            case 'crashed' | 'loaded':
                server.clear()
            case 'prefill':
                prompt += record['prompt_tokens']
                cached += record['cached_tokens']
                best = _best_held(held.values(), record['levels'])
                wasted += max(best - record['cached_tokens'], 0)
    return CacheFigures(
        prompt_tokens=prompt,
        cached_tokens=cached,
        wasted_tokens=wasted,
    )


def _best_held(
    servers: Iterable[Mapping[str, int]],
    levels: Iterable[tuple[str, int]],
) -> int:
    digests = [digest for digest, _ in levels]
    tokens = [
        server[digest]
        for server in servers
        for digest in digests
        if digest in server
    ]
    return max(tokens, default=0) // BLOCK_TOKENS * BLOCK_TOKENS
