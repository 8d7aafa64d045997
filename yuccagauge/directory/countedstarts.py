"""Since when servers have run at least, by the counts in their entries. No I/O."""

from collections.abc import Collection
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer

#: Shortest time between two entries of a server, as a share of the time that
#: the settings name, which is an approximate one.
_FASTEST_SHARE = 0.8

#: Entries of a server that are no heartbeats, because its state has changed.
_EXTRA_ENTRIES = 2

#: From here on a number is a time and no count of heartbeats: a server that
#: writes each second has it after three years.
_MAXIMUM_COUNT = 100_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class _CountedEntry:
    """The first entry of a server with a description and a rising count."""

    count: int
    #: Time after which it was written.
    written_after: Millis
    #: When an entry with the same description was first taken.
    described_since: Millis
    #: The newest count since.
    newest: int


class CountedStarts:
    """Finds a time before which the process that wrote an entry had started.

    Load pattern: engines restart under their ids, and state nothing that tells
    the next process from the one before. A count of heartbeats starts anew
    then, so one that is higher than a process can have reached since some time
    belongs to a process that is older. Whether a server counts its heartbeats
    is seen by the counts themselves.

    Parameters
    ----------
    interval
        Time between two heartbeats of a server.
    """

    def __init__(self, interval: Millis) -> None:
        """Know no count."""
        self._fastest_ms = _FASTEST_SHARE * interval
        self._first: dict[str, _CountedEntry] = {}

    def started_before(
        self,
        server: BackendServer,
        described_since: Millis | None,
        written_after: Millis,
        now: Millis,
    ) -> Millis | None:
        """Take an entry that was read; return when its writer ran already.

        Parameters
        ----------
        described_since
            When this router first had an entry that describes the server as
            this one does; ``None`` if it is not known.
        written_after
            Time after which the entry was written.

        Returns
        -------
        Millis or None
            ``None`` if the entries do not show it.
        """
        count = server.heartbeat_count
        if described_since is None or not 0 < count < _MAXIMUM_COUNT:
            return None
        first = self._first.get(server.server_id)
        if (
            first is None
            or first.described_since != described_since
            or count < first.newest
        ):
            first = _CountedEntry(
                count=count,
                written_after=written_after,
                described_since=described_since,
                newest=count,
            )
        self._first[server.server_id] = _CountedEntry(
            count=first.count,
            written_after=first.written_after,
            described_since=described_since,
            newest=count,
        )
        rise = count - first.count
        if not 0 < rise <= self._most_entries(first.written_after, now):
            return None
        beats = max(0, count - 1 - _EXTRA_ENTRIES)
        counted = Millis(int(now - beats * self._fastest_ms))
        # Another description is one of another process.
        return max(counted, described_since)

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Forget the counts of all other servers."""
        for server_id in self._first.keys() - set(server_ids):
            self._first.pop(server_id)

    def _most_entries(self, since: Millis, now: Millis) -> float:
        """Return how many entries one process writes in a time at most."""
        return _EXTRA_ENTRIES + (now - since) / self._fastest_ms
