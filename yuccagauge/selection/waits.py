"""When a server takes calls again that none can take now."""

from collections.abc import Callable

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.selection.deferral import wait_or_refuse
from yuccagauge.selection.limitgate import LimitGate
from yuccagauge.selection.load import ServerLoad
from yuccagauge.selection.statements import ServerStatements


class ServerWaits:
    """Decides about calls that no server can take now.

    Parameters
    ----------
    load_of
        Returns the load of a server.
    statements, gate
        Know until when servers want no calls, and what their limits let pass.
    """

    def __init__(
        self,
        load_of: Callable[[str], ServerLoad],
        statements: ServerStatements,
        gate: LimitGate,
    ) -> None:
        """Decide about nothing yet."""
        self._load_of = load_of
        self._statements = statements
        self._gate = gate

    def wait_or_refuse(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> SelectionDecision:
        """Return whether a call waits for one of some servers."""
        available_at, server = min(
            (
                (self._available_at(server, request, now), server)
                for server in servers
            ),
            key=lambda pair: pair[0],
            default=(None, None),
        )
        if server is None or available_at <= now:
            return wait_or_refuse(available_at, request, now)
        passes_at = self._gate.available_at(server, request, now)
        is_limited = passes_at == available_at
        return wait_or_refuse(
            available_at,
            request,
            now,
            is_rate_limited=is_limited,
            is_stated=self._statements.refused_until(server) == available_at,
            is_woken=is_limited
            and self._gate.brittle.is_brittle(server.server_id),
        )

    def _available_at(
        self, server: BackendServer, request: SelectionRequest, now: Millis
    ) -> Millis:
        load = self._load_of(server.server_id)
        return max(
            now,
            load.paused_until,
            load.loading_until,
            self._statements.refused_until(server),
            self._gate.available_at(server, request, now),
        )
