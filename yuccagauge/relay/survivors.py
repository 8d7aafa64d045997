"""What entries show of servers whose runs ended without an answer."""

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.countedstarts import CountedStarts
from yuccagauge.directory.state import Directory
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.relay.reading import LATE_HEARTBEAT_TIME


class Survivors:
    """Tells the quarantine which processes have lived on.

    Parameters
    ----------
    directory
        Has the entries.
    quarantine
        Has the runs that count as crashes.
    clock
        The source of time.
    heartbeat
        Time between two entries of a server.
    """

    def __init__(
        self,
        directory: Directory,
        quarantine: Quarantine,
        clock: Clock,
        heartbeat: Millis,
    ) -> None:
        """Know no entry."""
        self._directory = directory
        self._quarantine = quarantine
        self._clock = clock
        self._starts = CountedStarts(heartbeat)
        directory.listeners.append(self._forget_removed)

    def record_entry(self, server_id: str, after: Millis) -> None:
        """Take the newest entry of a server, of which one was just read.

        Parameters
        ----------
        after
            Time after which the store had the entry. It may have been under
            way before.
        """
        server = self._directory.servers.get(server_id)
        if server is None:
            return
        # Taken for servers that state their start too: they may stop to.
        started_before = self._starts.started_before(
            server,
            self._directory.settled_entries.unchanged_since(server_id),
            after,
            self._clock.now(),
        )
        measured_at = Millis(after - LATE_HEARTBEAT_TIME)
        if server.started_at:
            self._quarantine.record_incarnation(
                server.endpoint, server.incarnation, measured_at
            )
        elif started_before is not None:
            self._quarantine.record_survival(
                server.endpoint,
                server.incarnation,
                measured_at,
                started_before,
            )

    def _forget_removed(self) -> None:
        self._starts.keep_only(self._directory.servers)
