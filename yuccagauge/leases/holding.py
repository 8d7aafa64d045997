"""A lease as its holder sees it, by the holder's own clock."""

from yuccagauge.clock import Clock, Millis
from yuccagauge.leases.records import MARGIN


def usable_until(sent_at: Millis, ttl: Millis) -> Millis:
    """Return when a holder stops, by its monotonic clock.

    The lease runs from the log time of its record, which is later than the
    moment before the append was sent.
    """
    return Millis(sent_at + ttl - MARGIN)


class Holding:
    """The right to act on a resource until a moment of the monotonic clock.

    Parameters
    ----------
    resource
        What the lease is on.
    fence
        The fencing token that goes with every order.
    until
        When the holder stops, by its monotonic clock.
    clock
        The holder's clock.
    """

    def __init__(
        self,
        resource: str,
        fence: int,
        until: Millis,
        clock: Clock,
    ) -> None:
        """Hold from now on."""
        self._resource = resource
        self._fence = fence
        self._until = until
        self._clock = clock
        self._drift = self._read_drift()
        self._is_lost = False

    @property
    def resource(self) -> str:
        """What the lease is on."""
        return self._resource

    @property
    def fence(self) -> int:
        """The fencing token."""
        return self._fence

    @property
    def is_held(self) -> bool:
        """Whether the holder may act at this moment.

        The monotonic clock may stand still while a VM is suspended. The wall
        clock then runs ahead of it, and the lease counts as lost.
        """
        if abs(self._read_drift() - self._drift) >= MARGIN:
            self._is_lost = True
        if self._clock.now() >= self._until:
            self._is_lost = True
        return not self._is_lost

    def prolong(self, until: Millis) -> None:
        """Move the end after a renewal was read back."""
        if self.is_held:
            self._until = Millis(max(self._until, until))

    def lose(self) -> None:
        """Stop acting on the lease for good."""
        self._is_lost = True

    def _read_drift(self) -> int:
        return self._clock.wall() - self._clock.now()
