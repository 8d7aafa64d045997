"""The entry to the path: one call in, one verdict out."""

from twisted.internet.defer import Deferred

from yuccagauge.dispatch.base import AnswerSink, Call
from yuccagauge.dispatch.model import ModelRequest
from yuccagauge.dispatch.plain import PlainRequest
from yuccagauge.dispatch.service import ServiceState, Surroundings
from yuccagauge.verdict import Verdict


class Dispatcher:
    """Runs the calls of all services of a router.

    Parameters
    ----------
    services
        Names of the services that the router serves.
    around
        What they share.
    """

    def __init__(
        self,
        services: tuple[str, ...],
        around: Surroundings,
    ) -> None:
        """Start without documents."""
        self._around = around
        self._services = {name: ServiceState(name, around) for name in services}
        self._running = 0
        self._waiting: list[Deferred[None]] = []

    @property
    def around(self) -> Surroundings:
        """What all services share."""
        return self._around

    @property
    def services(self) -> dict[str, ServiceState]:
        """The state of each service."""
        return self._services

    @property
    def running(self) -> int:
        """Calls that have no final answer yet."""
        return self._running

    def dispatch(self, call: Call, sink: AnswerSink) -> Deferred[Verdict]:
        """Run one call; the sink gets the answer or a refusal."""
        service = self._services[call.service]
        kind = PlainRequest if call.chat is None else ModelRequest
        self._running += 1
        return kind(service, call, sink).start().addBoth(self._ended)

    def when_idle(self) -> Deferred[None]:
        """Fire when no call is running."""
        idle: Deferred[None] = Deferred()
        self._waiting.append(idle)
        self._tell_idle()
        return idle

    def _ended(self, verdict: Verdict) -> Verdict:
        self._running -= 1
        self._tell_idle()
        return verdict

    def _tell_idle(self) -> None:
        if self._running:
            return
        waiting = self._waiting
        self._waiting = []
        for idle in waiting:
            idle.callback(None)
