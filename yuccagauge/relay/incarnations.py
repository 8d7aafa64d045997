"""Decides whether a server still is the one that its entry describes."""

from collections.abc import Callable, Set
from dataclasses import replace
from typing import Any

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    maybeDeferred,
)
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.base import CallLater
from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.pool import ConnectionPool, SingleConnectionPool
from yuccagauge.origins.base import UNLISTED
from yuccagauge.relay.identity import ProcessNameSource, is_local_name
from yuccagauge.relay.processes import NamedProcess, Processes
from yuccagauge.relay.refutation import (
    UNKNOWN_PROCESS,
    ProcessAnswer,
    bind,
    unlisted,
)
from yuccagauge.relay.standing import StandingConnections
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.telemetry.journal import log_state_change

#: Longest wait for what a server states. A server that takes longer is not
#: used for the rest of a stream.
NAME_TIMEOUT = Millis(250)

#: Largest difference between the clocks of two machines.
_CLOCK_SKEW = Millis(5000)

#: Shortest time between two log lines of one kind about one server.
_LOG_INTERVAL = Millis(10_000)

Choice = Callable[[SelectionRequest], SelectionDecision]


class NotConfirmedError(Exception):
    """A process that is not known to be the one that a stream needs."""


class Incarnations:
    """Tells which process of a server a connection leads to.

    Load pattern: engines restart under their ids with other software, one after
    the other. Their entries name the earlier incarnation for up to 2 s more,
    while they answer already. A router may be paused, or have no connection
    that would show the end, so that no earlier answer says what runs now. A
    connection belongs to one process: each is asked once, before it carries a
    stream.

    Parameters
    ----------
    directory
        Has the entries.
    clock
        The source of time.
    source, pool, call_later
        Ask the servers; ``None`` if they cannot be asked, so that their entries
        have to do.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        source: ProcessNameSource | None = None,
        pool: ConnectionPool | None = None,
        call_later: CallLater | None = None,
    ) -> None:
        """Know nothing but the entries."""
        self._directory = directory
        self._clock = clock
        self._source = source
        self._processes = Processes(directory.settled_entries, clock)
        #: The last answer of each server.
        self._answers: dict[str, ProcessAnswer] = {}
        #: The start time that each server was last listed with.
        self._started_at: dict[str, int] = {}
        self._logged_at: dict[tuple[str, str], Millis] = {}
        if source is not None:
            self._standing = StandingConnections(
                source, pool, clock, call_later
            )
            directory.listeners.append(self._observe_entries)

    def choose(
        self, request: SelectionRequest, choose: Choice
    ) -> SelectionDecision:
        """Return a decision that regards what servers have just answered.

        Parameters
        ----------
        choose
            Decides by the entries alone.
        """
        if self._source is None or request.software_version is None:
            return choose(request)
        now = self._clock.now()
        version = self.listed_version(request.software_version)
        if version is None:
            return self._choose_same(request, choose)
        refuted = {
            server_id
            for server_id, answer in self._answers.items()
            if answer.refutes(None, now)
        }
        decision = choose(bind(request, version, refuted))
        if decision.placement is None and decision.wait_until is None:
            return self._wait_for_proof(refuted, version, now) or decision
        return decision

    @property
    def processes(self) -> Processes:
        """The processes that are known by name."""
        return self._processes

    @property
    def can_confirm(self) -> bool:
        """Whether servers can be asked which process they run."""
        return self._source is not None

    def confirm(
        self,
        request: SelectionRequest,
        server: BackendServer,
        connection: Connection,
    ) -> Deferred[BackendServer]:
        """Ask the process of a connection for its name, unless known.

        Returns the server as its process is to be known. A stream that begins
        may be sent to any process: if its software version is not listed yet,
        the incarnation stands for it.

        Raises
        ------
        FetchError
            If the connection is lost.
        NotConfirmedError
            If it is not the one that can go on with the stream, or is silent.
        """
        if connection.process is not None:
            return maybeDeferred(self._judge, request, server, connection)
        asked_at = self._clock.now()
        source = self._source.through(SingleConnectionPool(connection))
        reading = source.read_process_name(server, NAME_TIMEOUT)
        reading.addCallback(self._name_by_standing, server, source)
        reading.addCallbacks(
            self._handle_name,
            self._handle_failure,
            callbackArgs=(server, connection, asked_at),
            errbackArgs=(server, asked_at),
        )
        return reading.addCallback(
            lambda _: self._judge(request, server, connection)
        )

    def listed_version(self, software_version: str) -> str | None:
        """Return the version that an origin names, if it is known.

        The origin names the incarnation of a server that was not listed yet
        when a stream began there.
        """
        if not software_version.startswith(UNLISTED):
            return software_version
        return self._processes.find_version(
            software_version.removeprefix(UNLISTED)
        )

    def close(self) -> None:
        """Close the connections that carry no call."""
        if self._source is not None:
            self._standing.close()

    def _wait_for_proof(
        self, refuted: Set[str], version: str, now: Millis
    ) -> SelectionDecision | None:
        """Return a wait if the version of a process may be shown soon.

        Load pattern: all routers restart, and callers take their streams up.
        No router has seen yet which process wrote the entries.
        """
        servers = self._directory.servers
        for server_id in refuted & servers.keys():
            answer = self._answers[server_id]
            if servers[
                server_id
            ].software_version == version and self._processes.may_be_shown(
                answer.unlisted
            ):
                return SelectionDecision(
                    wait_until=answer.refuted_until,
                    reason='version_not_shown',
                )
        return None

    def _choose_same(
        self, request: SelectionRequest, choose: Choice
    ) -> SelectionDecision:
        """Choose the server that began the stream before it was listed."""
        incarnation = request.software_version.removeprefix(UNLISTED)
        server_id, _, name = incarnation.rpartition('/')
        server = self._directory.servers.get(server_id)
        if server is None or name == UNKNOWN_PROCESS:
            return choose(request)
        answer = self._answers.get(server_id)
        if answer is not None and answer.refutes(
            incarnation, self._clock.now()
        ):
            return choose(request)
        others = self._directory.servers.keys() - {server_id}
        return choose(bind(request, server.software_version, others))

    def _judge(
        self,
        request: SelectionRequest,
        server: BackendServer,
        connection: Connection,
    ) -> BackendServer:
        """Return the server as the process of a connection is known.

        Raises
        ------
        NotConfirmedError
            If the rest of a stream does not fit to what it writes, or cannot
            be sent to it.
        """
        if not connection.can_send:
            self._record_answer(unlisted(server))
            raise NotConfirmedError('the server has closed the connection')
        known = self._identify(server, connection.process)
        wanted = request.software_version
        fits = wanted is None or known.software_version in {
            wanted,
            self.listed_version(wanted),
        }
        if connection.process.name or not fits:
            self._record_answer(known)
        if not fits:
            raise NotConfirmedError('the server has restarted')
        return known

    def _identify(
        self, server: BackendServer, process: NamedProcess
    ) -> BackendServer:
        """Return the server as one of its processes is known."""
        version = self._processes.identify(server, process)
        if version is None:
            return unlisted(server, process.name or UNKNOWN_PROCESS)
        return replace(server, software_version=version)

    def _name_by_standing(
        self, name: str, server: BackendServer, source: ProcessNameSource
    ) -> str | Deferred[str]:
        """Name a process that states nothing by a connection that stays.

        Parameters
        ----------
        source
            Asks on the connection that was asked before.
        """
        if name:
            return name
        if not self._standing.is_open(server.server_id):
            opening = self._standing.open(server, NAME_TIMEOUT)
            return opening.addCallback(self._ask_again, server, source)
        opened_at = self._standing.opened_at(server.server_id)
        asked_at = self._clock.now()

        def record(local_name: str) -> str:
            if local_name:
                self._processes.record_name(
                    server.server_id, local_name, asked_at, opened_at
                )
            return local_name

        return self._standing.ask(server, NAME_TIMEOUT).addCallback(record)

    def _ask_again(
        self, local_name: str, server: BackendServer, source: ProcessNameSource
    ) -> str | Deferred[str]:
        """Return the name of a process that a standing connection was opened to.

        A process that ran before that connection opened, and answers since, is
        the one that accepted it: one process of a server runs at a time.
        """
        if not local_name:
            return ''

        def take(stated: str) -> str:
            if stated or not self._standing.is_open(server.server_id):
                return stated
            return local_name

        reading = source.read_process_name(server, NAME_TIMEOUT)
        return reading.addCallback(take)

    def _handle_name(
        self,
        name: str,
        server: BackendServer,
        connection: Connection,
        asked_at: Millis,
    ) -> None:
        connection.process = NamedProcess(
            name=name, known_since=self._clock.now()
        )
        if not is_local_name(name):
            self._processes.record_name(server.server_id, name, asked_at)

    def _handle_failure(
        self, failure: Failure, server: BackendServer, asked_at: Millis
    ) -> Any:
        """Note that a server is silent; a lost connection states nothing."""
        is_silent = self._clock.now() - asked_at >= NAME_TIMEOUT
        if failure.check(CancelledError) or not is_silent:
            return failure
        self._record_answer(unlisted(server))
        raise NotConfirmedError('the server has not said which process it is')

    def _record_answer(self, known: BackendServer) -> None:
        """Record which process of a server answered, and log if it is new."""
        server_id = known.server_id
        origin = known.software_version
        incarnation = None
        if origin.startswith(UNLISTED):
            incarnation = origin.removeprefix(UNLISTED)
        self._answers[server_id] = ProcessAnswer(
            at=self._clock.now(), unlisted=incarnation
        )
        if incarnation is not None:
            self._log(
                'server_process_unlisted',
                server_id,
                process=incarnation,
                listed=known.started_at,
            )

    def _observe_entries(self) -> None:
        """Forget servers that are gone, and log start times that are odd."""
        servers = self._directory.servers
        for server_id, server in servers.items():
            self._processes.record_listed(server)
            before = self._started_at.get(server_id)
            if before == server.started_at:
                continue
            self._started_at[server_id] = server.started_at
            if before is not None and before > server.started_at:
                # Either an entry came late, or the clock of the server is off.
                self._log(
                    'server_start_falls',
                    server_id,
                    started_at=server.started_at,
                    before=before,
                )
            if server.started_at > self._clock.wall_time() + _CLOCK_SKEW:
                self._log(
                    'server_start_ahead',
                    server_id,
                    started_at=server.started_at,
                    wall_time=self._clock.wall_time(),
                )
        self._standing.keep_only(servers)
        self._processes.keep_only(servers)
        for known in (self._answers, self._started_at):
            for server_id in known.keys() - servers.keys():
                known.pop(server_id)
        self._logged_at = {
            line: at
            for line, at in self._logged_at.items()
            if line[1] in servers
        }

    def _log(self, event: str, server_id: str, **fields: Any) -> None:
        """Log a line, unless there has just been one of its kind."""
        now = self._clock.now()
        logged_at = self._logged_at.get((event, server_id))
        if logged_at is None or now - logged_at >= _LOG_INTERVAL:
            self._logged_at[event, server_id] = now
            log_state_change(event, server=server_id, **fields)
