"""What the leader knows of the drain, order and load of one engine."""

from dataclasses import dataclass

from yuccagauge.clock import Millis

#: How long an answer to a status request shows that the engine can be reached.
STATUS_LIFETIME = Millis(1500)


@dataclass(slots=True)
class EngineProgress:
    """State of the drain, order and load of one engine."""

    draining_since: Millis | None = None
    ordered_at: Millis | None = None
    ordered_version: int = 0
    is_loading: bool = False
    has_pending_request: bool = False
    status_requested_at: Millis = Millis(0)
    #: When the engine last answered a status request, and when this router
    #: last saw no reason to pause its calls to it.
    answered_at: Millis | None = None
    unpaused_at: Millis = Millis(0)

    def is_reachable(self, now: Millis) -> bool:
        """Return whether the engine can get an order now."""
        if now == self.unpaused_at:
            return True
        answered_at = self.answered_at
        return answered_at is not None and now - answered_at < STATUS_LIFETIME
