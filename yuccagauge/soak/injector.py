"""Inject the planned faults, at most one at a time into each target."""

from collections import Counter

from twisted.internet import defer, task
from twisted.internet.interfaces import IReactorTime

from yuccagauge.clock import Millis
from yuccagauge.soak.base import FAULTS, Fault, PlannedFault, SoakFleet

_MILLISECONDS_PER_SECOND = 1000


class Injector:
    """Injects the faults of one run.

    Parameters
    ----------
    fleet
        What the faults are injected into.
    scheduler
        Calls at the planned times.
    """

    def __init__(self, fleet: SoakFleet, scheduler: IReactorTime) -> None:
        """Start without faults."""
        self._fleet = fleet
        self._scheduler = scheduler
        self._busy: set[str] = set()
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> dict[str, int]:
        """How many faults of each kind have been injected."""
        return dict(sorted(self._counts.items()))

    def run(self, plan: list[PlannedFault]) -> defer.Deferred[object]:
        """Inject all; fire when the last has been taken back."""
        running = [
            task.deferLater(
                self._scheduler,
                _seconds(fault.at),
                self._inject,
                fault,
            )
            for fault in plan
        ]
        return defer.gatherResults(running, consumeErrors=True)

    @defer.inlineCallbacks
    def _inject(self, planned: PlannedFault) -> defer.Deferred[None]:
        kind = FAULTS.get(planned.kind)
        targets = kind.targets(self._fleet)
        target = targets[int(planned.choice * len(targets))]
        names = frozenset(target.split(','))
        if names & self._busy:
            return
        self._busy |= names
        try:
            yield self._run_fault(kind(self._fleet, target), planned.duration)
        finally:
            self._busy -= names
        self._counts[planned.kind] += 1

    @defer.inlineCallbacks
    def _run_fault(
        self,
        fault: Fault,
        duration: Millis,
    ) -> defer.Deferred[None]:
        yield fault.begin()
        yield task.deferLater(
            self._scheduler,
            _seconds(duration),
            lambda: None,
        )
        yield fault.end()


def _seconds(duration: Millis) -> float:
    return duration / _MILLISECONDS_PER_SECOND
