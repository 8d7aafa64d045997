"""Decides whether a server still is the one that its entry describes."""

from collections.abc import Callable, Set
from dataclasses import dataclass, replace
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.state import Directory
from yuccagauge.relay.base import RelayCall
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.journal import log_state_change

#: Longest wait for what a server reports. A server that takes longer is not
#: used for the rest of a stream.
REPORT_TIMEOUT = Millis(250)

#: How long the report of a server counts, unless one of its connections ends.
#: No server restarts within it.
_CONFIRMED_TIME = Millis(250)

#: How long a server is not asked again that reported another start or nothing.
_REFUTED_TIME = Millis(500)

#: Time between two looks for a report that is on its way.
_CHECK_INTERVAL = Millis(5)

#: Largest difference between the clocks of two machines.
_CLOCK_SKEW = Millis(5000)

#: Shortest time between two log lines of one kind about one server.
_LOG_INTERVAL = Millis(10_000)

#: Starts the software version of a stream whose server is not listed yet. The
#: incarnation of the server follows.
_UNLISTED = '?'

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


@dataclass(slots=True, kw_only=True)
class _Server:
    """What is known of the server with an id, besides its entry."""

    #: The incarnation that was listed when this began.
    listed: str
    #: When a connection last ended or was refused; ``None`` if none has.
    ended_at: Millis | None = None
    #: When the report was requested that is on its way.
    asked_at: Millis | None = None
    #: When the last report was requested that was answered or given up.
    reported_at: Millis | None = None
    #: The start time that it stated; ``None`` if it did not come.
    reported: int | None = None

    @property
    def is_reported(self) -> bool:
        """Whether a report is newer than the last end of a connection."""
        return self.reported_at is not None and (
            self.ended_at is None or self.reported_at > self.ended_at
        )

    def is_confirmed(self, started_at: int, now: Millis) -> bool:
        """Return whether the server has just reported a start."""
        return (
            self.is_reported
            and self.reported == started_at
            and now - self.reported_at < _CONFIRMED_TIME
        )

    def is_refuted(self, started_at: int, now: Millis) -> bool:
        """Return whether it has just reported another start, or nothing."""
        return (
            self.reported_at is not None
            and self.reported != started_at
            and now - self.reported_at < _REFUTED_TIME
        )


class Incarnations:
    """Keeps streams away from servers that may have other software by now.

    Load pattern: engines restart under their ids with other software, one after
    the other. Their entries name the earlier incarnation for up to 2 s more,
    while they answer already. The rest of a stream goes only where the server
    has just reported the start that its entry states.

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
        self._servers: dict[str, _Server] = {}
        #: The start time that each server was last listed with.
        self._started_at: dict[str, int] = {}
        self._logged_at: dict[tuple[str, str], Millis] = {}
        if source is not None:
            directory.listeners.append(self._observe_entries)

    def record_end(self, server: BackendServer) -> None:
        """Record that a connection to a server ended, or was refused."""
        if self._source is not None:
            self._server(server).ended_at = self._clock.now()

    def record_idle_end(self, endpoint: Endpoint) -> None:
        """Record that no connection is left that would show an end."""
        for server in self._directory.servers.values():
            if server.endpoint == endpoint:
                self.record_end(server)

    def choose(
        self, call: RelayCall, request: SelectionRequest, choose: Choice
    ) -> SelectionDecision:
        """Return a decision that regards what servers report.

        Parameters
        ----------
        choose
            Decides by the entries alone.
        """
        if self._source is None:
            return choose(request)
        if request.software_version is not None:
            return self._choose_for_rest(request, choose)
        decision = choose(request)
        if decision.placement is None or not call.route.is_resumable:
            return decision
        return self._label(decision)

    def listed_version(self, software_version: str) -> str | None:
        """Return the version that an origin names, if it is listed.

        The origin names the incarnation of a server that was not listed yet
        when a stream began there.
        """
        if not software_version.startswith(_UNLISTED):
            return software_version
        incarnation = software_version.removeprefix(_UNLISTED)
        server_id = incarnation.rpartition('/')[0]
        server = self._directory.servers.get(server_id)
        if server is None or server.incarnation != incarnation:
            return None
        return server.software_version

    def known_starts(self, server: BackendServer) -> frozenset[int]:
        """Return the starts that the entry and the last report state."""
        known = self._servers.get(server.server_id)
        starts = {server.started_at, (known and known.reported) or 0}
        return frozenset(starts - {0})

    def _choose_for_rest(
        self, request: SelectionRequest, choose: Choice
    ) -> SelectionDecision:
        """Choose a server whose software version is known."""
        now = self._clock.now()
        servers = self._directory.servers
        version = self.listed_version(request.software_version)
        if version is None:
            return self._choose_same(request, choose)
        refuted = {
            server_id
            for server_id, known in self._servers.items()
            if server_id in servers
            and known.is_refuted(servers[server_id].started_at, now)
        }
        decision = choose(_bound(request, version, refuted))
        if decision.placement is None:
            return decision
        server = decision.placement.server
        if not server.started_at or self._server(server).is_confirmed(
            server.started_at, now
        ):
            return decision
        return self._ask_and_wait(server, now)

    def _choose_same(
        self, request: SelectionRequest, choose: Choice
    ) -> SelectionDecision:
        """Choose the server that began the stream before it was listed."""
        now = self._clock.now()
        incarnation = request.software_version.removeprefix(_UNLISTED)
        server_id, _, started_at = incarnation.rpartition('/')
        server = self._directory.servers.get(server_id)
        if server is None or not started_at.isdecimal():
            return choose(request)
        known = self._server(server)
        if known.is_refuted(int(started_at), now):
            return choose(request)
        others = self._directory.servers.keys() - {server_id}
        decision = choose(_bound(request, server.software_version, others))
        if decision.placement is None:
            return decision
        if known.is_confirmed(int(started_at), now):
            return self._label(decision)
        return self._ask_and_wait(server, now)

    def _label(self, decision: SelectionDecision) -> SelectionDecision:
        """Name the incarnation where the software version is not known."""
        server = decision.placement.server
        now = self._clock.now()
        if not server.started_at:
            return decision
        known = self._server(server)
        if not known.is_reported:
            return self._ask_and_wait(server, now)
        if known.reported == server.started_at:
            return decision
        if not known.is_refuted(server.started_at, now):
            self._ask_and_wait(server, now)
        incarnation = f'{server.server_id}/{known.reported}'
        unlisted = replace(server, software_version=_UNLISTED + incarnation)
        return replace(
            decision, placement=replace(decision.placement, server=unlisted)
        )

    def _ask_and_wait(
        self, server: BackendServer, now: Millis
    ) -> SelectionDecision:
        known = self._server(server)
        if known.asked_at is None:
            known.asked_at = now
            self._source.read_start_time(server, REPORT_TIMEOUT).addCallbacks(
                self._handle_report,
                self._handle_failure,
                callbackArgs=(server, known),
                errbackArgs=(known,),
            )
        return SelectionDecision(
            wait_until=Millis(now + _CHECK_INTERVAL),
            reason='incarnation_unknown',
        )

    def _handle_report(
        self, started_at: int, server: BackendServer, known: _Server
    ) -> None:
        known.reported_at, known.asked_at = known.asked_at, None
        known.reported = started_at or server.started_at
        if known.reported != server.started_at:
            self._log(
                'server_restarted_unlisted',
                server.server_id,
                started_at=started_at,
                listed=server.started_at,
            )

    def _handle_failure(self, _: Any, known: _Server) -> None:
        known.reported_at, known.asked_at = known.asked_at, None
        known.reported = None

    def _server(self, server: BackendServer) -> _Server:
        """Return what is known; an entry of a new start ends the rest."""
        known = self._servers.get(server.server_id)
        if known is None or known.listed != server.incarnation:
            known = _Server(listed=server.incarnation)
            self._servers[server.server_id] = known
        return known

    def _observe_entries(self) -> None:
        """Forget servers that are gone, and doubt start times that fall."""
        servers = self._directory.servers
        for server_id, server in servers.items():
            before = self._started_at.get(server_id)
            if before == server.started_at:
                continue
            self._started_at[server_id] = server.started_at
            if before is not None and before > server.started_at:
                # Either an entry came late, or the clock of the server is off.
                self.record_end(server)
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
        for known in (self._servers, self._started_at):
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


def _bound(
    request: SelectionRequest, software_version: str, excluded: Set[str]
) -> SelectionRequest:
    """Return the request for servers of a version, some left out."""
    return replace(
        request,
        software_version=software_version,
        excluded_servers=request.excluded_servers | excluded,
    )
