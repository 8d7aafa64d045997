"""Which routers do not reach the engines that a leader has to. No I/O."""

from collections.abc import Callable, Collection

from yuccagauge.wire.fleetmessages import FleetExchange


class LeadStandings:
    """What routers say about whether they can lead."""

    def __init__(self) -> None:
        """Expect that all can."""
        self._unfit: frozenset[str] = frozenset()
        #: Whether this router cannot lead.
        self.cannot_lead = False
        #: Called when what a peer says has changed.
        self.on_change: Callable[[], None] = lambda: None
        #: Called when a peer has released the leader lease.
        self.on_lease_released: Callable[[], None] = lambda: None

    @property
    def unfit(self) -> frozenset[str]:
        """Names of the peers that cannot lead."""
        return self._unfit

    def observe_message(self, message: FleetExchange) -> None:
        """Take what a peer says of itself."""
        name = frozenset((message.name,))
        before = self._unfit
        self._unfit = before | name if message.cannot_lead else before - name
        # A router that becomes a candidate by this message would else take the
        # lease before it knows whether it reaches an engine.
        if message.released_lease:
            self.on_lease_released()
        if self._unfit != before:
            self.on_change()

    def keep_only(self, names: Collection[str]) -> None:
        """Forget the routers that are not alive."""
        self._unfit = self._unfit.intersection(names)
