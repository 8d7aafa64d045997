"""The processes of servers that are known by name, and their versions. No I/O."""

from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.settled import SettledEntries, Sighting
from yuccagauge.relay.identity import is_local_name, process_name
from yuccagauge.relay.sightings import ProcessSightings

#: Processes whose software versions are remembered; the oldest is dropped first.
_MAXIMUM_VERSIONS = 10_000

#: Time in which entries show the version of a process: two in a row to routers
#: that read the store, and five heartbeats without a change to all others.
_PROOF_TIME = Millis(7200)

#: Gets the id of a server, and when one of its processes is known to have run.
WrittenVersion = Callable[[str, Sighting], str | None]


def written_version(
    settled_entries: SettledEntries,
    confirmed_at: Callable[[], Millis],
    heartbeat: Millis,
    server_id: str,
    sighting: Sighting,
) -> str | None:
    """Return the version in the entries that a process has written.

    Parameters
    ----------
    confirmed_at
        Returns up to when this router knows of all changes of entries.
    heartbeat
        Time between two entries of a server.
    """
    return settled_entries.written_version(
        server_id, sighting, confirmed_at(), heartbeat
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedProcess:
    """The process that a connection leads to."""

    #: Empty if nothing names it.
    name: str
    #: When the connection was first used.
    known_since: Millis


class Processes:
    """Tells which software version each process of a server has.

    The entry of a server describes the process if both state the same start.
    Where one of them does not, the process has to run since before two entries
    in a row were written: only one process of a server runs at a time, so it
    wrote them.

    Parameters
    ----------
    settled_entries
        The entries as they were read.
    clock
        The source of time.
    """

    def __init__(self, settled_entries: SettledEntries, clock: Clock) -> None:
        """Know no process."""
        self._clock = clock
        self._sightings = ProcessSightings()
        #: Servers that have answered the last question for their name with one
        #: that was known.
        self._askable: set[str] = set()
        #: By incarnation; ``None`` for one that is not unique.
        self._versions: OrderedDict[str, str | None] = OrderedDict()
        #: Returns the software version in the entries of a server that one of
        #: its processes has written.
        self.written_version: WrittenVersion = lambda server_id, sighting: (
            settled_entries.written_version(server_id, sighting, clock.now())
        )

    def record_epoch(
        self, server_id: str, epoch: int, asked_at: Millis
    ) -> None:
        """Record the epoch of the cache events that a server has stated."""
        self.record_name(server_id, process_name(0, epoch), asked_at)

    def record_name(
        self,
        server_id: str,
        name: str,
        asked_at: Millis,
        seen_at: Millis | None = None,
    ) -> None:
        """Record that a process of a server has answered.

        Parameters
        ----------
        name
            What names it; empty if it states nothing.
        asked_at
            When the request was sent.
        seen_at
            When it ran already; ``None`` if that is not known before now.
        """
        if not name:
            return
        sighting = self._sightings.record(
            server_id,
            name,
            asked_at,
            self._clock.now() if seen_at is None else seen_at,
        )
        version = self.written_version(server_id, sighting)
        if version is not None:
            self._record_version(f'{server_id}/{name}', version)

    def record_listed(self, server: BackendServer) -> None:
        """Record the version of the process that an entry names."""
        if server.started_at:
            self._record_version(server.incarnation, server.software_version)

    def record_question(self, server_id: str, *, is_known: bool) -> None:
        """Record whether a server, asked for its name, stated a known one."""
        if is_known:
            self._askable.add(server_id)
        else:
            self._askable.discard(server_id)

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Forget which other servers can be asked."""
        self._askable.intersection_update(server_ids)

    def is_askable(self, server: BackendServer) -> bool:
        """Return whether a server states a known name when it is asked.

        It may not: polls for cache events are limited, and most are in use.
        """
        return server.server_id in self._askable

    def known_names(self, server: BackendServer) -> frozenset[str]:
        """Return the names that processes of a server have stated so far."""
        names = self._stated_names(server.server_id)
        listed = process_name(server.started_at)
        return names | {listed} if listed else names

    def find_version(self, incarnation: str) -> str | None:
        """Return the version of a process, ``None`` if it is not known."""
        return self._versions.get(incarnation)

    def may_be_shown(self, incarnation: str) -> bool:
        """Return whether a process may soon be known to have its version.

        It is once it has written two entries, if it is named at all.
        """
        server_id, _, name = incarnation.rpartition('/')
        seen = self._sightings.find(server_id, name)
        return (
            seen is not None
            and self._versions.get(incarnation) is None
            and self._clock.now() - seen.first < _PROOF_TIME
        )

    def identify(
        self, server: BackendServer, process: NamedProcess
    ) -> str | None:
        """Return the version of a process that gets what is sent now.

        ``None`` if it is not known.
        """
        name = process.name
        incarnation = f'{server.server_id}/{name}'
        if incarnation in self._versions:
            return self._versions[incarnation]
        if server.started_at and name.isdecimal():
            return None
        seen = self._sightings.find(server.server_id, name)
        first = process.known_since
        if seen is not None:
            first = min(first, seen.first)
        # It may have ended unnoticed. The call does not reach it then, but
        # nothing that outlives the call may rest on it.
        sighting = Sighting(first=first, last=self._clock.now())
        return self.written_version(server.server_id, sighting)

    def _stated_names(self, server_id: str) -> frozenset[str]:
        return frozenset(
            name
            for name in self._sightings.names(server_id)
            if not is_local_name(name)
        )

    def _record_version(self, incarnation: str, software_version: str) -> None:
        known = self._versions.get(incarnation, software_version)
        # A name that comes again with another version names no process.
        is_unique = known == software_version
        self._versions[incarnation] = software_version if is_unique else None
        self._versions.move_to_end(incarnation)
        if len(self._versions) > _MAXIMUM_VERSIONS:
            self._versions.popitem(last=False)
