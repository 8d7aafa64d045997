"""The parts of a model engine that a crash empties."""

import uuid
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.standins.prefixcache import CacheEvent, PrefixCache
from yuccagauge.standins.signal import Signal

#: Cache events beyond this number push out the oldest.
_RETAINED_EVENTS = 20_000
_EVENTS_PER_ANSWER = 2000


@dataclass(frozen=True, slots=True, kw_only=True)
class NumberedEvent:
    """A cache event in the event log of the engine."""

    seq: int
    #: Wall time of the event, in milliseconds.
    time: Millis
    event: CacheEvent


class CacheEventLog:
    """Cache events with sequence numbers, some of which get lost."""

    def __init__(self, random: Random) -> None:
        """Start at sequence number 0."""
        self._random = random
        self._events: deque[NumberedEvent] = deque(maxlen=_RETAINED_EVENTS)
        self._next = 0
        #: Wakes the readers that wait for the next event.
        self.signal = Signal()

    def add(self, event: CacheEvent, now: Millis, loss: float) -> None:
        """Number an event, and keep it unless it is lost."""
        seq = self._next
        self._next += 1
        if self._random.random() >= loss:
            numbered = NumberedEvent(seq=seq, time=now, event=event)
            self._events.append(numbered)
        self.signal.notify()

    def page(self, after: int, shown_until: Millis) -> dict[str, Any]:
        """Return the events after a number that are old enough to show."""
        shown = [one for one in self._events if one.time <= shown_until]
        first = shown[0].seq if shown else self._next
        is_complete = len(shown) == len(self._events)
        wanted = [one for one in shown if one.seq > after]
        selected = wanted[:_EVENTS_PER_ANSWER]
        if len(selected) < len(wanted) or not is_complete:
            end = selected[-1].seq + 1 if selected else max(after + 1, first)
        else:
            end = self._next
        return {
            'first': first,
            'next': min(end, self._next),
            'events': [_render(one) for one in selected],
        }


class EngineState:
    """One incarnation of an engine.

    Parameters
    ----------
    total_blocks
        The size of the prefix cache.
    random
        Decides which cache events are lost.
    """

    def __init__(self, total_blocks: int, random: Random) -> None:
        """Start with an empty cache and a new incarnation."""
        self.incarnation = uuid.UUID(int=random.getrandbits(128)).hex
        self.cache = PrefixCache(total_blocks)
        self.events = CacheEventLog(random)


def _render(one: NumberedEvent) -> dict[str, Any]:
    return {
        'seq': one.seq,
        'kind': one.event.kind,
        'digest': one.event.digest,
        'tokens': one.event.tokens,
    }
