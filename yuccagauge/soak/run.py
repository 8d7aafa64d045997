"""One run: load, faults, and the audit afterwards."""

import json
import sys
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from twisted.internet import defer, reactor, task

from yuccagauge.clock import Millis, SystemClock
from yuccagauge.demo.fleet import WEIGHTS_VERSION, FleetPlan
from yuccagauge.demo.processes import StartError
from yuccagauge.loadgen import load_profiles
from yuccagauge.loadgen.audit import audit_calls, audit_chats, count_executed
from yuccagauge.loadgen.base import PROFILES, Profile, Volume
from yuccagauge.loadgen.client import LoadClient
from yuccagauge.loadgen.main import run_to_end
from yuccagauge.loadgen.outcomes import Violation
from yuccagauge.loadgen.report import report_load
from yuccagauge.loadgen.run import LoadResult, run_plans
from yuccagauge.soak import load_faults
from yuccagauge.soak.base import PlannedFault, SoakFleet, plan_faults
from yuccagauge.soak.injector import Injector
from yuccagauge.soak.versions import VersionWatch

_MILLISECONDS_PER_SECOND = 1000
#: For each user.
_REQUESTS_PER_SECOND = 12
_PATIENCE = Millis(20_000)
#: Lets calls end that their callers have given up.
_SETTLE_SECONDS = 3
_EXIT_BROKEN = 1
_FLEET = FleetPlan(routers=3, engines=3, servers=2)

#: Promises that every run reports, found broken or not.
VIOLATION_KINDS = (
    'executed twice',
    'acknowledged but not executed',
    'false not-run',
    'wrong answer',
    'crossed answer',
    'answer cut',
    'stream out of order',
    'stream silently cut',
    'error in a whole stream',
    'version reverted',
    'not in force within 8 s',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """What one run does."""

    seed: int
    duration: Millis
    faults: tuple[PlannedFault, ...]

    @property
    def volume(self) -> Volume:
        """The load of each user."""
        seconds = self.duration // _MILLISECONDS_PER_SECOND
        return Volume(
            requests=seconds * _REQUESTS_PER_SECOND,
            duration=self.duration,
        )


def run(seconds: int, seed: int, kinds: tuple[str, ...]) -> None:
    """Run once, print the counts and leave the process with 0 or 1.

    Parameters
    ----------
    seconds
        The length of the load.
    seed
        Decides load and faults.
    kinds
        The kinds of faults to choose from; all if there are none.

    Raises
    ------
    FaultNotFoundError
        If there is no such kind.
    """
    load_profiles()
    load_faults()
    duration = Millis(seconds * _MILLISECONDS_PER_SECOND)
    plan = SoakPlan(
        seed=seed,
        duration=duration,
        faults=tuple(plan_faults(seed, duration, kinds)),
    )
    run_to_end(lambda: _run(plan))


@defer.inlineCallbacks
def _run(plan: SoakPlan) -> defer.Deferred[None]:
    profiles = tuple(PROFILES.get(name)(plan.seed) for name in PROFILES.names)
    with tempfile.TemporaryDirectory(prefix='yuccagauge-soak-') as directory:
        fleet = SoakFleet(Path(directory), profiles, _FLEET)
        try:
            counts = yield _soak(fleet, profiles, plan)
        except StartError as error:
            counts = {'seed': plan.seed, 'details': [str(error)]}
        finally:
            yield fleet.close()
    sys.stdout.write(f'{json.dumps(counts, indent=2)}\n')
    sys.stdout.flush()
    if counts['details']:
        sys.exit(_EXIT_BROKEN)


@defer.inlineCallbacks
def _soak(
    fleet: SoakFleet,
    profiles: tuple[Profile, ...],
    plan: SoakPlan,
) -> defer.Deferred[dict[str, Any]]:
    yield fleet.start()
    clock = SystemClock()
    client = LoadClient(fleet.callers, clock, plan.seed, _PATIENCE)
    watch = VersionWatch(fleet, profiles, plan.seed)
    watch.start()
    injector = Injector(fleet, reactor)
    injecting = injector.run(list(plan.faults))
    results = yield defer.gatherResults(
        [run_plans(client, one.plans(plan.volume), clock) for one in profiles],
    )
    yield injecting
    yield task.deferLater(reactor, _SETTLE_SECONDS, lambda: None)
    yield watch.finish()
    violations = yield _audit(fleet, profiles, results)
    violations.extend(watch.violations)
    executed = yield _executed(fleet, profiles)
    return {
        'seed': plan.seed,
        'seconds': plan.duration // _MILLISECONDS_PER_SECOND,
        **_load_counts(results),
        'executed': executed,
        'published': watch.accepted,
        'faults': injector.counts,
        **_violation_counts(violations),
    }


@defer.inlineCallbacks
def _audit(
    fleet: SoakFleet,
    profiles: tuple[Profile, ...],
    results: list[LoadResult],
) -> defer.Deferred[list[Violation]]:
    versions = frozenset((WEIGHTS_VERSION,))
    violations: list[Violation] = []
    for profile, result in zip(profiles, results, strict=True):
        engines = yield fleet.records((profile.model_service,))
        servers = yield fleet.records((profile.plain_service,))
        violations.extend(audit_chats(result.chats, engines, versions))
        violations.extend(audit_calls(result.calls, servers))
    return violations


@defer.inlineCallbacks
def _executed(
    fleet: SoakFleet,
    profiles: tuple[Profile, ...],
) -> defer.Deferred[int]:
    services = tuple(profile.plain_service for profile in profiles)
    records = yield fleet.records(services)
    return count_executed(records)


def _load_counts(results: list[LoadResult]) -> dict[str, Any]:
    chats = [outcome for result in results for outcome in result.chats]
    calls = [outcome for result in results for outcome in result.calls]
    chat_report = report_load(chats, [])
    call_report = report_load([], calls)
    return {
        'chats': chat_report.requests,
        'chats_answered': chat_report.answered,
        'chats_not_answered': chat_report.refusals,
        'calls': call_report.requests,
        'calls_answered': call_report.answered,
        'calls_not_answered': call_report.refusals,
    }


def _violation_counts(violations: list[Violation]) -> dict[str, Any]:
    counts = Counter(violation.kind for violation in violations)
    return {
        'violations': {kind: counts[kind] for kind in VIOLATION_KINDS},
        'details': [asdict(violation) for violation in violations],
    }
