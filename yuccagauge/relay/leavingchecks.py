"""Health checks of servers that have said that they leave."""

from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.selection.statements import ServerStatements
from yuccagauge.telemetry.journal import log_state_change

#: Time between two health checks of one server, since each may hold a slot.
_CHECK_INTERVAL = Millis(3000)


class HealthSource(Protocol):
    """Asks servers whether they are healthy."""

    def read_health(self, server: BackendServer, path: str) -> Deferred[bool]:
        """Return whether a server says that it is healthy and does not leave.

        Raises
        ------
        FetchError
            If there is no answer in time.
        """


class LeavingChecks:
    """Asks servers that have left, and are listed again, whether they serve.

    Load pattern: engines that state no start leave and start again under their
    ids. Nothing else shows that what the process before said is over, and the
    server would get no call for ever.

    Parameters
    ----------
    source
        Asks the servers; ``None`` if they cannot be asked.
    directory
        Has the servers and the configuration.
    statements
        Has the servers that leave, and gets what they say.
    clock
        The source of time.
    """

    def __init__(
        self,
        source: HealthSource | None,
        directory: Directory,
        statements: ServerStatements,
        clock: Clock,
    ) -> None:
        """Have asked no server."""
        self._source = source
        self._directory = directory
        self._statements = statements
        self._clock = clock
        #: When each server that may have started again was last asked.
        self._asked_at: dict[str, Millis] = {}

    def update(self) -> None:
        """Ask the servers that may have started again."""
        now = self._clock.now()
        doubtful = self._statements.doubtful(self._directory.servers, now)
        asked_at = self._asked_at
        self._asked_at = {
            server.server_id: asked_at[server.server_id]
            for server in doubtful
            if server.server_id in asked_at
        }
        for server in doubtful:
            last = self._asked_at.get(server.server_id)
            if last is None or now - last >= _CHECK_INTERVAL:
                self._ask(server, now)

    def _ask(self, server: BackendServer, now: Millis) -> None:
        configuration = self._directory.configuration
        service = configuration and configuration.services.get(server.service)
        if self._source is None or not service or not service.health_path:
            return
        self._asked_at[server.server_id] = now
        self._source.read_health(server, service.health_path).addCallbacks(
            self._take_answer,
            self._take_failure,
            callbackArgs=(server, now),
            errbackArgs=(server,),
        )

    def _take_answer(
        self,
        serves: bool,  # noqa: FBT001
        server: BackendServer,
        asked_at: Millis,
    ) -> None:
        if serves:
            self._statements.record_serving(server.server_id, asked_at)

    def _take_failure(self, failure: Failure, server: BackendServer) -> None:
        """Leave the server as it is; it is asked again later."""
        failure.trap(FetchError)
        log_state_change(
            'leaving_server_unanswered',
            server=server.server_id,
            reason=failure.getErrorMessage(),
        )
