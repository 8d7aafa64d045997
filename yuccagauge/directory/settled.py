"""Which entries show the software version of the process that runs. No I/O."""

from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer

#: Time between two heartbeats of a server, unless the settings name another.
HEARTBEAT_INTERVAL = Millis(1200)

#: Heartbeats within which a server that is listed throughout has written its
#: entry at least once: it is removed after three without one, and an outage of
#: the store that is too short to be noticed adds two.
_LISTED_BEATS = 5

#: Heartbeats without a confirmation by the store after which entries that have
#: not changed show nothing: they do not age while the store is away.
_OUTAGE_BEATS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Sighting:
    """The time in which a process is known to have run.

    It ran at some time before ``first``, and at some time after ``last``.
    """

    first: Millis
    last: Millis

    def covers(self, start: Millis, end: Millis) -> bool:
        """Return whether the process ran throughout a time."""
        return self.first <= start and self.last >= end


@dataclass(frozen=True, slots=True, kw_only=True)
class _EntryPair:
    """The times in which two entries in a row were written."""

    written_after: Millis
    written_before: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class _NewestEntry:
    """The newest entry of a server that this router has."""

    server: BackendServer
    #: Time after which it was written; ``None`` if it may be of any age.
    written_after: Millis | None
    #: When an entry with the same content was first taken.
    since: Millis


class SettledEntries:
    """Finds the entries that describe the process of each server.

    Load pattern: engines restart under their ids with other software, and state
    nothing that tells the next process from the one before. One entry alone
    may have been written by an earlier process and reach the store late; it
    stands between entries of the present one.
    """

    def __init__(self) -> None:
        """Know no entry."""
        #: The newest two entries of each server, if they agree.
        self._pairs: dict[str, _EntryPair] = {}
        self._newest: dict[str, _NewestEntry] = {}
        #: The latest confirmation, and since when there was one all the time.
        self._confirmed_at = Millis(0)
        self._confirmed_since = Millis(0)

    def record_confirmation(
        self, confirmed_at: Millis, interval: Millis = HEARTBEAT_INTERVAL
    ) -> None:
        """Record up to when this router knows of all changes of entries."""
        if confirmed_at - self._confirmed_at > _OUTAGE_BEATS * interval:
            self._confirmed_since = confirmed_at
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def record(
        self, server: BackendServer, written_after: Millis | None, now: Millis
    ) -> None:
        """Take the next entry of a server, as it was read."""
        server_id = server.server_id
        previous = self._newest.get(server_id)
        since = now
        if previous is None or not (
            server.may_be_same_process(previous.server)
        ):
            self._pairs.pop(server_id, None)
        else:
            since = previous.since
            # A copy of an entry, or that of an earlier process, is no heartbeat.
            is_next = server.heartbeat_count > previous.server.heartbeat_count
            if is_next and previous.written_after is not None:
                self._pairs[server_id] = _EntryPair(
                    written_after=previous.written_after, written_before=now
                )
        self._newest[server_id] = _NewestEntry(
            server=server, written_after=written_after, since=since
        )

    def remove(self, server_id: str) -> None:
        """Forget a server whose entry was removed or is malformed."""
        self._pairs.pop(server_id, None)
        self._newest.pop(server_id, None)

    def unchanged_since(self, server_id: str) -> Millis | None:
        """Return since when entries have described a server as the newest does.

        ``None`` if there is no entry.
        """
        newest = self._newest.get(server_id)
        return None if newest is None else newest.since

    def written_version(
        self,
        server_id: str,
        sighting: Sighting,
        confirmed_at: Millis,
        interval: Millis = HEARTBEAT_INTERVAL,
    ) -> str | None:
        """Return the software version in the entries that a process has written.

        A process that runs while entries of its server are written has written
        them, as only one has the id at a time. Routers that do not read the
        store get entries that have changed only. That none has come shows that
        the server still writes the same.

        Parameters
        ----------
        sighting
            When the process is known to have run.
        confirmed_at
            Time up to which this router knows of all changes.
        interval
            Time between two heartbeats of a server.

        Returns
        -------
        str or None
            ``None`` if it is not shown that the process wrote the entries.
        """
        newest = self._newest.get(server_id)
        if newest is None:
            return None
        self.record_confirmation(confirmed_at, interval)
        pair = self._pairs.get(server_id)
        end = min(confirmed_at, sighting.last)
        start = Millis(end - _LISTED_BEATS * interval)
        listed_since = max(newest.since, self._confirmed_since)
        is_writer = listed_since <= start and sighting.covers(start, end)
        if pair is not None and not is_writer:
            is_writer = sighting.covers(pair.written_after, pair.written_before)
        return newest.server.software_version if is_writer else None
