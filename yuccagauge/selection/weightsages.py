"""How old the weights of engines are, and whether calls may begin on them."""

from collections.abc import Callable, Sequence

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.load import ServerLoad

#: Margin before the time from which no call may start on an engine with
#: superseded weights. The engine already gets none within this margin.
OUTDATED_STOP_MARGIN = Millis(1500)

#: Margin before that time at which a call that waits leaves the engine, so that
#: the engine has noticed it by then.
WITHDRAWAL_MARGIN = Millis(500)


class WeightsAges:
    """Compares the weights of engines with those that the operator named.

    Parameters
    ----------
    limit
        Time after newer weights are named from which no call may start on an
        engine with older ones.
    load_of
        Returns the load of a server by its id.
    """

    def __init__(
        self, limit: Millis, load_of: Callable[[str], ServerLoad]
    ) -> None:
        """Start without named weights."""
        self._limit = limit
        self._load_of = load_of
        self._view = FleetView(servers={})

    def update_fleet_view(self, view: FleetView) -> None:
        """Replace the named weights versions."""
        self._view = view

    def version_of(self, server: BackendServer, model_name: str) -> int:
        """Return the newest weights version that a server is known to run."""
        reported = self._load_of(server.server_id).reported_weights
        return max(
            server.weights.get(model_name, 0), reported.get(model_name, 0)
        )

    def superseded_ms(
        self, model_name: str, version: int, now: Millis
    ) -> Millis | None:
        """Return how long ago a newer version was named at most.

        ``None`` if there is no newer version.
        """
        superseded_at = self._view.superseded_at(model_name, version)
        return None if superseded_at is None else Millis(now - superseded_at)

    def time_to_begin(
        self, model_name: str, version: int, now: Millis
    ) -> Millis | None:
        """Return how long a call may still wait to begin on these weights.

        ``None`` if there is no newer version.
        """
        age = self.superseded_ms(model_name, version, now)
        if age is None:
            return None
        return Millis(self._limit - WITHDRAWAL_MARGIN - age)

    def may_serve(
        self, server: BackendServer, model_name: str, now: Millis
    ) -> bool:
        """Return whether calls may begin on a server's weights of a model."""
        version = self.version_of(server, model_name)
        age = self.superseded_ms(model_name, version, now)
        limit = self._limit - OUTDATED_STOP_MARGIN
        return version > 0 and (age is None or age <= limit)

    def awaited(
        self, servers: Sequence[BackendServer], model_name: str, now: Millis
    ) -> list[BackendServer]:
        """Return the engines that may take calls without another order.

        An engine on whose weights no call may begin takes none before it has
        loaded others, though it may be idle.
        """
        return [
            server
            for server in servers
            if now < self._load_of(server.server_id).loading_until
            or self.may_serve(server, model_name, now)
        ]
