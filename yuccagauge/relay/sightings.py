"""When each process of a server was seen. No I/O."""

from collections import OrderedDict
from dataclasses import replace

from yuccagauge.clock import Millis
from yuccagauge.directory.settled import Sighting

#: Processes of one server that are remembered; the oldest is dropped first.
_MAXIMUM_PROCESSES = 4

#: Servers whose processes are remembered; the oldest is dropped first.
_MAXIMUM_SERVERS = 10_000


class ProcessSightings:
    """Remembers when the processes of servers were seen, by their names.

    The name of a process is what it states and no other process of its server
    does: the time of its start, or the epoch of its cache events.
    """

    def __init__(self) -> None:
        """Have seen nothing."""
        #: By server, then by the name of the process.
        self._seen: OrderedDict[str, OrderedDict[str, Sighting]] = OrderedDict()

    def record(
        self, server_id: str, name: str, asked_at: Millis, seen_at: Millis
    ) -> Sighting:
        """Record that a process has stated its name.

        Parameters
        ----------
        asked_at, seen_at
            When the request was sent, and a time before which the process ran.
        """
        processes = self._seen.setdefault(server_id, OrderedDict())
        self._seen.move_to_end(server_id)
        known = processes.get(name, Sighting(first=seen_at, last=asked_at))
        sighting = replace(
            known,
            first=min(known.first, seen_at),
            last=max(known.last, asked_at),
        )
        processes[name] = sighting
        processes.move_to_end(name)
        if len(processes) > _MAXIMUM_PROCESSES:
            processes.popitem(last=False)
        if len(self._seen) > _MAXIMUM_SERVERS:
            self._seen.popitem(last=False)
        return sighting

    def find(self, server_id: str, name: str) -> Sighting | None:
        """Return when a process was seen, ``None`` if it never was."""
        return self._seen.get(server_id, {}).get(name)

    def names(self, server_id: str) -> frozenset[str]:
        """Return the names of the processes of a server that were seen."""
        return frozenset(self._seen.get(server_id, ()))
