"""Decides whether a server still is the one that its entry describes."""

from collections.abc import Callable, Set
from dataclasses import dataclass, replace
from typing import Any, Protocol

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    maybeDeferred,
    succeed,
)
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.connection import Connection
from yuccagauge.origins.base import UNLISTED
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.journal import log_state_change

#: Longest wait for what a server reports. A server that takes longer is not
#: used for the rest of a stream.
REPORT_TIMEOUT = Millis(250)

#: How long the rest of a stream does not go to a server that reported another
#: start or nothing.
_REFUTED_TIME = Millis(500)

#: Largest difference between the clocks of two machines.
_CLOCK_SKEW = Millis(5000)

#: Shortest time between two log lines of one kind about one server.
_LOG_INTERVAL = Millis(10_000)

#: The start of a process that did not state it in time.
_UNKNOWN_START = 'unknown'

Choice = Callable[[SelectionRequest], SelectionDecision]


class StartTimeSource(Protocol):
    """Asks servers when they started."""

    def through(self, pool: Any) -> 'StartTimeSource':
        """Return a source that uses the connections of another pool."""

    def read_start_time(
        self, server: BackendServer, timeout: Millis
    ) -> Deferred[int]:
        """Return the Unix time of the start, in ms; 0 if none is stated.

        Raises
        ------
        FetchError
            If the server does not answer in time.
        """


class NotConfirmedError(Exception):
    """A process that is not known to be the one that a stream needs."""


class _OneConnection:
    """A pool that has one connection, whose user keeps it."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection

    def open(self, server: Endpoint, *, fresh: bool) -> Deferred[Connection]:
        """Return the connection."""
        return succeed(self._connection)

    def give_back(self, server: Endpoint, connection: Connection) -> None:
        """Leave the connection open."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Report:
    """What a server last stated about its start."""

    at: Millis
    #: ``None`` if it stated nothing in time.
    started_at: int | None

    def refutes(self, started_at: int, now: Millis) -> bool:
        """Return whether it has just stated another start, or nothing."""
        return self.started_at != started_at and now - self.at < _REFUTED_TIME


class Incarnations:
    """Tells which process of a server a connection leads to.

    Load pattern: engines restart under their ids with other software, one after
    the other. Their entries name the earlier incarnation for up to 2 s more,
    while they answer already. A router may be paused, or have no connection
    that would show the end, so that no earlier report says what runs now. A
    connection belongs to one process: each is asked once, before it carries a
    stream.

    Parameters
    ----------
    directory
        Has the entries.
    clock
        The source of time.
    source
        Asks the servers; ``None`` if they cannot be asked, so that their
        entries have to do.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        source: StartTimeSource | None = None,
    ) -> None:
        """Know nothing but the entries."""
        self._directory = directory
        self._clock = clock
        self._source = source
        #: The last report of each server.
        self._reports: dict[str, _Report] = {}
        #: The start time that each server was last listed with.
        self._started_at: dict[str, int] = {}
        self._logged_at: dict[tuple[str, str], Millis] = {}
        if source is not None:
            directory.listeners.append(self._observe_entries)

    def choose(
        self, request: SelectionRequest, choose: Choice
    ) -> SelectionDecision:
        """Return a decision that regards what servers have just reported.

        Parameters
        ----------
        choose
            Decides by the entries alone.
        """
        if self._source is None or request.software_version is None:
            return choose(request)
        now = self._clock.now()
        servers = self._directory.servers
        version = self.listed_version(request.software_version)
        if version is None:
            return self._choose_same(request, choose)
        refuted = {
            server_id
            for server_id, report in self._reports.items()
            if server_id in servers
            and report.refutes(servers[server_id].started_at, now)
        }
        return choose(_bound(request, version, refuted))

    def must_confirm(self, server: BackendServer) -> bool:
        """Return whether connections to a server have to be asked."""
        return self._source is not None and bool(server.started_at)

    def confirm(
        self,
        request: SelectionRequest,
        server: BackendServer,
        connection: Connection,
    ) -> Deferred[BackendServer]:
        """Ask the process of a connection when it started, unless known.

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
        if connection.started_at is not None:
            return maybeDeferred(self._judge, request, server, connection)
        source = self._source.through(_OneConnection(connection))
        reading = source.read_start_time(server, REPORT_TIMEOUT)
        reading.addCallbacks(
            self._handle_report,
            self._handle_failure,
            callbackArgs=(server, connection),
            errbackArgs=(server, self._clock.now()),
        )
        return reading.addCallback(
            lambda _: self._judge(request, server, connection)
        )

    def listed_version(self, software_version: str) -> str | None:
        """Return the version that an origin names, if it is listed.

        The origin names the incarnation of a server that was not listed yet
        when a stream began there.
        """
        if not software_version.startswith(UNLISTED):
            return software_version
        incarnation = software_version.removeprefix(UNLISTED)
        server_id = incarnation.rpartition('/')[0]
        server = self._directory.servers.get(server_id)
        if server is None or server.incarnation != incarnation:
            return None
        return server.software_version

    def known_starts(self, server: BackendServer) -> frozenset[int]:
        """Return the starts that the entry and the last report state."""
        report = self._reports.get(server.server_id)
        starts = {server.started_at, (report and report.started_at) or 0}
        return frozenset(starts - {0})

    def _choose_same(
        self, request: SelectionRequest, choose: Choice
    ) -> SelectionDecision:
        """Choose the server that began the stream before it was listed."""
        incarnation = request.software_version.removeprefix(UNLISTED)
        server_id, _, started_at = incarnation.rpartition('/')
        server = self._directory.servers.get(server_id)
        if server is None or not started_at.isdecimal():
            return choose(request)
        report = self._reports.get(server_id)
        now = self._clock.now()
        if report is not None and report.refutes(int(started_at), now):
            return choose(request)
        others = self._directory.servers.keys() - {server_id}
        return choose(_bound(request, server.software_version, others))

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
            self._record(server, None)
            raise NotConfirmedError('the server has closed the connection')
        stated = connection.started_at or server.started_at
        known = server
        if stated != server.started_at:
            known = unlisted(server, str(stated))
        wanted = request.software_version
        if wanted is not None and known.software_version not in {
            wanted,
            self.listed_version(wanted),
        }:
            raise NotConfirmedError('the server has restarted')
        return known

    def _handle_report(
        self, started_at: int, server: BackendServer, connection: Connection
    ) -> None:
        connection.started_at = started_at
        stated = started_at or server.started_at
        self._record(server, stated)
        if stated != server.started_at:
            self._log(
                'server_restarted_unlisted',
                server.server_id,
                started_at=started_at,
                listed=server.started_at,
            )

    def _handle_failure(
        self, failure: Failure, server: BackendServer, asked_at: Millis
    ) -> Any:
        """Note that a server is silent; a lost connection states nothing."""
        is_silent = self._clock.now() - asked_at >= REPORT_TIMEOUT
        if failure.check(CancelledError) or not is_silent:
            return failure
        self._record(server, None)
        raise NotConfirmedError('the server has not said when it started')

    def _record(self, server: BackendServer, started_at: int | None) -> None:
        self._reports[server.server_id] = _Report(
            at=self._clock.now(), started_at=started_at
        )

    def _observe_entries(self) -> None:
        """Forget servers that are gone, and log start times that are odd."""
        servers = self._directory.servers
        for server_id, server in servers.items():
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
        for known in (self._reports, self._started_at):
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


def unlisted(
    server: BackendServer, started_at: str = _UNKNOWN_START
) -> BackendServer:
    """Return a server of which another process runs than the listed one."""
    incarnation = f'{server.server_id}/{started_at}'
    return replace(server, software_version=UNLISTED + incarnation)


def _bound(
    request: SelectionRequest, software_version: str, excluded: Set[str]
) -> SelectionRequest:
    """Return the request for servers of a version, some left out."""
    return replace(
        request,
        software_version=software_version,
        excluded_servers=request.excluded_servers | excluded,
    )
