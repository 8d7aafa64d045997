"""The origins of streams that one router knows. No I/O."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.origins.base import ORIGIN_LIFETIME, StreamOrigin

#: Streams that a router keeps; the oldest are dropped first. A router begins
#: some 84 a second in two years, and keeps as many for each of two peers.
MAXIMUM_STREAMS = 40_000


@dataclass(frozen=True, slots=True, kw_only=True)
class _Entry:
    origin: StreamOrigin
    recorded_at: Millis
    #: Whether this router sent the stream to a server itself.
    is_own: bool


class OriginTable:
    """Keeps the origin of each stream for as long as it may be taken up."""

    def __init__(self) -> None:
        """Create an empty table."""
        #: By key; the latest is last.
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._entries)

    def add(
        self, key: bytes, origin: StreamOrigin, now: Millis, *, is_own: bool
    ) -> None:
        """Add the origin of a stream, or renew it."""
        self._entries[key] = _Entry(
            origin=origin, recorded_at=now, is_own=is_own
        )
        self._entries.move_to_end(key)
        self._drop_old(now)

    def find(self, key: bytes, now: Millis) -> StreamOrigin | None:
        """Return the origin of a stream, if it is known."""
        self._drop_old(now)
        entry = self._entries.get(key)
        return None if entry is None else entry.origin

    def streams(self, now: Millis) -> Iterator[tuple[bytes, StreamOrigin]]:
        """Return all streams, the oldest first."""
        self._drop_old(now)
        for key, entry in self._entries.items():
            yield key, entry.origin

    def own_streams(
        self, service: str, now: Millis
    ) -> Iterator[tuple[bytes, StreamOrigin]]:
        """Return the streams of a service that this router sent itself."""
        self._drop_old(now)
        for key, entry in self._entries.items():
            if entry.is_own and entry.origin.service == service:
                yield key, entry.origin

    def _drop_old(self, now: Millis) -> None:
        entries = self._entries
        while entries:
            oldest = next(iter(entries.values()))
            is_current = now - oldest.recorded_at < ORIGIN_LIFETIME
            if is_current and len(entries) <= MAXIMUM_STREAMS:
                return
            entries.popitem(last=False)
