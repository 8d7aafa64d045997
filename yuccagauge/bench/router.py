"""A router of the bench: the real decision classes over the fakes."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from yuccagauge.admission import (
    AdmissionPolicy,
    AdmissionRequest,
    RetryBudget,
    admission_policies,
)
from yuccagauge.bench.engine import EngineFake, Job
from yuccagauge.bench.fleet import Fleet
from yuccagauge.bench.logfake import LoggedDocument
from yuccagauge.bench.trace import TracedRequest
from yuccagauge.cacheview import CacheView
from yuccagauge.clock import Millis
from yuccagauge.load import EngineKey, EngineTable
from yuccagauge.placement import (
    Candidate,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)
from yuccagauge.verdict import Refusal

#: Time after which a connection to an unreachable engine is given up, in ms.
CONNECT_TIMEOUT_MS = 250.0

#: Attempts of one request in all.
MAXIMUM_ATTEMPTS = 4

_RETRY_SHARE = 0.1


@dataclass(slots=True)
class Attempt:
    """A request at a router, with the engines that failed it."""

    request: TracedRequest
    count: int = 0
    failed: set[EngineKey] = field(default_factory=set)


class RouterSim:
    """Places, admits, sends and learns as the daemon does.

    Parameters
    ----------
    fleet
        Engines, network, clock and measures.
    number
        Its number, which also chooses its data centre.
    policy
        Name of the placement policy.
    seed
        Seed of the run.
    """

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        policy: str,
        seed: int,
    ) -> None:
        """Start with empty state."""
        self.number = number
        self.data_centre = fleet.data_centre(number)
        self.is_live = True
        self.document: LoggedDocument | None = None
        self.fleet = fleet
        self._policy_name = policy
        self._random = np.random.default_rng((seed, 3, number))
        self.generation = 0
        self._open: dict[int, Attempt] = {}
        self._reset()

    def stop(self) -> list[TracedRequest]:
        """Lose all state; return the requests without a first token."""
        self.is_live = False
        self.generation += 1
        lost = [attempt.request for attempt in self._open.values()]
        self._open.clear()
        self._reset()
        return lost

    def take_document(self, logged: LoggedDocument | None) -> None:
        """Put a version of the document in force unless it is older."""
        held = self.document
        if logged is None or (held and held.version >= logged.version):
            return
        self.document = logged
        self.admission.configure(logged.document, self.fleet.loop.now)

    def set_leaving(self, engine: EngineKey, *, is_leaving: bool) -> None:
        """Take the state of an engine from the VM list."""
        self.table.set_leaving(engine, is_leaving)

    def receive(self, request: TracedRequest) -> None:
        """Take a request from a client."""
        self.budget.record_request(self.fleet.loop.now)
        attempt = Attempt(request)
        self._open[request.number] = attempt
        self._place(attempt)

    def first_token(self, flight: 'Flight', job: Job) -> None:
        """Pass the token on."""
        now = self.fleet.loop.now
        self.table.record_first_token(flight.engine.key, flight.name, now)
        request = flight.attempt.request
        self._open.pop(request.number, None)
        self.fleet.answered(request)

    def finished(self, flight: 'Flight', job: Job) -> None:
        """Learn from the usage, which comes with the end of an answer."""
        now = self.fleet.loop.now
        self.table.record_end(
            flight.engine.key,
            flight.name,
            now,
            job.prefix.prompt_tokens - job.cached_tokens,
        )
        self.view.record_usage(
            flight.engine.key,
            job.incarnation,
            job.prefix,
            job.cached_tokens,
            now,
        )
        self.admission.finish_request(flight.attempt.request.customer, now)

    def broken(self, flight: 'Flight', job: Job) -> None:
        """Retry within the budget what the engine may have run."""
        now = self.fleet.loop.now
        attempt = flight.attempt
        self._drop(flight)
        if attempt.request.number not in self._open:
            self.admission.finish_request(attempt.request.customer, now)
            return
        if self.budget.try_spend(now):
            self._retry(attempt)
        else:
            self.admission.finish_request(attempt.request.customer, now)
            self._give_up(attempt, 'failed', 'failed_no_retry_budget')

    def not_run(self, flight: 'Flight', job: Job) -> None:
        """Send elsewhere what no engine has run."""
        self._drop(flight)
        self._retry(flight.attempt)

    def _drop(self, flight: 'Flight') -> None:
        now = self.fleet.loop.now
        self.table.record_end(flight.engine.key, flight.name, now)
        self.table.suspend_engine(flight.engine.key, now)
        flight.attempt.failed.add(flight.engine.key)

    def _retry(self, attempt: Attempt) -> None:
        self.fleet.measures.events['retries'] += 1
        if attempt.count < MAXIMUM_ATTEMPTS:
            self._place(attempt)
            return
        self.admission.finish_request(
            attempt.request.customer, self.fleet.loop.now
        )
        self._give_up(attempt, 'failed', 'failed_too_many_attempts')

    def _reset(self) -> None:
        policy = placement_policies.get(self._policy_name)
        self.table = EngineTable()
        self.view = CacheView()
        self.policy: PlacementPolicy = policy(
            self.table,
            self.view,
            self._random,
        )
        self.fleet.prepare(self)
        self.admission: AdmissionPolicy = admission_policies.get('deadline')()
        self.budget = RetryBudget(_RETRY_SHARE)
        self.document = None

    def _place(self, attempt: Attempt) -> None:
        now = self.fleet.loop.now
        request = attempt.request
        deadline = Millis(
            int(self.fleet.sent_at(request))
            + self.fleet.workload.workload.deadline_ms,
        )
        decision = self.policy.place_request(
            PlacementRequest(
                prefix=request.prefix,
                priority=request.priority,
                deadline=deadline,
                excluded_engines=frozenset(attempt.failed),
            ),
            now,
        )
        if not decision.candidates:
            self._give_up(attempt, 'refused', 'refused_no_engine')
            return
        best = decision.candidates[0]
        if attempt.count == 0:
            refusal = self.admission.admit_request(
                AdmissionRequest(
                    customer=request.customer,
                    priority=request.priority,
                    prompt_tokens=request.prefix.prompt_tokens,
                    deadline=deadline,
                    best_cost_ms=best.cost_ms,
                ),
                now,
            )
            if refusal is not None:
                self._refuse(attempt, refusal)
                return
        self._send(attempt, best)

    def _send(self, attempt: Attempt, best: Candidate) -> None:
        attempt.count += 1
        request = attempt.request
        missing = max(0, request.prefix.prompt_tokens - best.expected_tokens)
        flight = Flight(self, attempt, self.fleet.engines[best.engine])
        now = self.fleet.loop.now
        self.table.record_send(best.engine, flight.name, missing, now)
        flight.send()

    def _refuse(self, attempt: Attempt, refusal: Refusal) -> None:
        """Send the client away, or let it come back after Retry-After."""
        request = attempt.request
        if self.fleet.come_back(request, refusal.retry_after or 0):
            self._open.pop(request.number, None)
            self.fleet.measures.events[f'came_back_{refusal.code}'] += 1
        else:
            self._give_up(attempt, 'refused', f'refused_{refusal.code}')

    def _give_up(self, attempt: Attempt, status: str, counter: str) -> None:
        self._open.pop(attempt.request.number, None)
        self.fleet.measures.unanswered(attempt.request, status)
        self.fleet.measures.events[counter] += 1


class Flight:
    """One attempt on its way to an engine, on it, and back.

    What the engine tells reaches the router after the network delay, and
    not at all if the router has lost its state since.
    """

    def __init__(
        self,
        router: RouterSim,
        attempt: Attempt,
        engine: EngineFake,
    ) -> None:
        """Note the state of the router at the start."""
        self.name = f'{attempt.request.number}/{attempt.count}'
        self.attempt = attempt
        self.engine = engine
        self._router = router
        self._generation = router.generation
        self._fleet = router.fleet

    @property
    def _delay(self) -> float:
        return self._fleet.distance(
            self._router.data_centre,
            self.engine.data_centre,
        )

    def send(self) -> None:
        """Put the job on its way."""
        request = self.attempt.request
        job = Job(
            prefix=request.prefix,
            priority=request.priority,
            answer_tokens=request.answer_tokens,
            owner=self,
        )
        self.engine.in_transit.append(job)
        self._fleet.loop.after(self._delay, lambda: self._arrive(job))

    def prefill_began(self, job: Job) -> None:
        """Count the tokens of the prefill."""
        self._fleet.measures.prefill(
            self.attempt.request,
            job,
            self._fleet.all_engines,
        )

    def first_token(self, job: Job) -> None:
        """Tell the router."""
        self._tell(self._router.first_token, job)

    def finished(self, job: Job) -> None:
        """Tell the router."""
        self._tell(self._router.finished, job)

    def broken(self, job: Job) -> None:
        """Tell the router."""
        self._tell(self._router.broken, job)

    def _arrive(self, job: Job) -> None:
        self.engine.in_transit.remove(job)
        reachable = self._fleet.reaches(
            self._router.data_centre,
            self.engine.data_centre,
        )
        if not reachable:
            self._tell(self._router.not_run, job, CONNECT_TIMEOUT_MS)
        elif not self.engine.submit(job):
            self._tell(self._router.not_run, job)

    def _tell(
        self,
        action: 'Callable[[Flight, Job], None]',
        job: Job,
        wait: float = 0,
    ) -> None:
        def later() -> None:
            if self._generation == self._router.generation:
                action(self, job)

        self._fleet.loop.after(self._delay + wait, later)
