"""Updates that wait for being piggybacked on messages."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

from yuccagauge.wire.codec import part_size

# A part in a list takes a few bytes more than on its own.
_LIST_OVERHEAD = 8


@dataclass(slots=True)
class _Entry:
    part: Any
    size: int
    sent: int = 0


class BroadcastQueue:
    """Send each update a bounded number of times, the newest first.

    An update replaces an older one with the same key.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[Hashable, _Entry] = {}

    def __len__(self) -> int:
        """Return the number of waiting updates."""
        return len(self._entries)

    def add(self, key: Hashable, part: Any) -> None:
        """Queue an update."""
        size = part_size(part) + _LIST_OVERHEAD
        self._entries[key] = _Entry(part, size)

    def discard(self, key: Hashable) -> None:
        """Drop what waits under a key."""
        self._entries.pop(key, None)

    def take(self, space: int, transmissions: int) -> tuple[Any, ...]:
        """Return the least sent updates that fit into a space in bytes."""
        chosen: list[Any] = []
        least_sent = sorted(
            self._entries.items(),
            key=lambda pair: pair[1].sent,
        )
        for key, entry in least_sent:
            if entry.size > space:
                continue
            space -= entry.size
            entry.sent += 1
            chosen.append(entry.part)
            if entry.sent >= transmissions:
                self._entries.pop(key)
        return tuple(chosen)
