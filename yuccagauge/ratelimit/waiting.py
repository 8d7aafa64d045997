"""The order of the calls that wait for a permit."""

from yuccagauge.clock import Millis

#: Time after which a waiting call that was not decided upon again has ended.
WAITING_CALL_LIFETIME = Millis(100)


class WaitingCalls:
    """The calls of one router that wait, in the order of their arrival."""

    def __init__(self) -> None:
        """Start without waiting calls."""
        #: Arrival and latest decision of each waiting call, by service and id.
        self._calls: dict[str, dict[str, tuple[Millis, Millis]]] = {}

    def add(
        self, service: str, call_id: str, received_at: Millis, now: Millis
    ) -> None:
        """Record that a call waits until it is decided upon again."""
        calls = self._calls.setdefault(service, {})
        calls[call_id] = (received_at, now)

    def remove(self, service: str, call_id: str) -> None:
        """Record that a call does not wait any longer."""
        self._calls.get(service, {}).pop(call_id, None)

    def ordered(self, service: str) -> tuple[str, ...]:
        """Return the calls of a service that wait, oldest first."""
        calls = self._calls.get(service, {})
        return tuple(sorted(calls, key=calls.__getitem__))

    def position(
        self, service: str, call_id: str, received_at: Millis, now: Millis
    ) -> int:
        """Return how many waiting calls of a service arrived earlier."""
        calls = {
            waiting_id: times
            for waiting_id, times in self._calls.get(service, {}).items()
            if now - times[1] <= WAITING_CALL_LIFETIME
        }
        self._calls[service] = calls
        # Calls that arrived at the same time keep the order of their waits.
        order = tuple(calls)
        own_index = order.index(call_id) if call_id in calls else len(order)
        return sum(
            (calls[waiting_id][0], index) < (received_at, own_index)
            for index, waiting_id in enumerate(order)
        )
