"""Routers whose store comes back from a copy that is some seconds old."""

from features.weights_engine import Order
from features.weights_fleet import LEASE_TIME, WeightsFleet
from yuccagauge.clock import Millis


class RestoredFleet(WeightsFleet):
    """Notes when routers may give orders, and what the store lost.

    Parameters
    ----------
    routers, servers, seed
        As for other fleets.
    checks_fences
        Whether engines refuse old fencing tokens.
    """

    def __init__(
        self,
        routers: int,
        servers: int,
        seed: int = 1,
        *,
        checks_fences: bool = True,
    ) -> None:
        """Start a fleet whose store has lost nothing."""
        self.checks_fences = checks_fences
        #: When the store came back, the last time last.
        self.returned_at: list[Millis] = []
        #: When some router was seen to have a valid fencing token.
        self.led_at: list[Millis] = []
        super().__init__(routers, servers, seed)

    def run(self, seconds: float, step_s: float = 0.01) -> None:
        """Pass time, and look 20 times a second whether a router may order."""
        end = self.network.reactor.seconds() + seconds
        while self.network.reactor.seconds() < end:
            super().run(0.05, step_s)
            if any(self._may_order(name) for name in self.router_names):
                self.led_at.append(self.clock.now())

    def restore_store(
        self, age_s: float, away_s: float, *, rewrites_all: bool = True
    ) -> None:
        """Take the store away, and let it come back from a copy.

        Parameters
        ----------
        age_s
            Age of the copy at the moment when the store goes away.
        rewrites_all
            Whether the operator writes all lost records again.
        """
        self.store.is_down = away_s > 0

        def come_back() -> None:
            self.store.is_down = False
            self.store.restore_copy(age_s + away_s, rewrites_all=rewrites_all)
            self.returned_at.append(self.clock.now())

        if away_s:
            self.network.reactor.callLater(away_s, come_back)
        else:
            come_back()

    def cut_from_store(self, name: str, seconds: float) -> None:
        """Let the store refuse a router for some time."""
        self.store.refused.add(name)
        self.network.reactor.callLater(
            seconds, self.store.refused.discard, name
        )

    def led_since(self, at: Millis) -> Millis | None:
        """Return when a router was first seen to lead after a time."""
        return next((led for led in self.led_at if led >= at), None)

    def misordered(self) -> list[tuple[Order, Order]]:
        """Return pairs of orders that break the rule of one leader.

        Where engines check no fences, tokens must not fall either, and turns
        count for all routers.
        """
        found = self.conflicting_orders()
        if self.checks_fences:
            return found
        for engine in self.servers:
            own = [
                each for each in self.orders if each.engine == engine.server_id
            ]
            found += [
                (first, second)
                for first, second in zip(own, own[1:], strict=False)
                if second.fence < first.fence
                or (
                    first.holder != second.holder
                    and second.at - first.at < LEASE_TIME
                )
            ]
        return found

    def _may_order(self, name: str) -> bool:
        router = self.router(name)
        if not self.is_running(name):
            return False
        lease = router._leader_lease  # noqa: SLF001
        return lease.fencing_token(router._clock.now()) is not None  # noqa: SLF001
