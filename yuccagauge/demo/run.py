"""The demonstration: traffic of both users through three routers."""

import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path

from twisted.internet import defer, reactor, task

from yuccagauge.clock import Millis, SystemClock
from yuccagauge.demo.fleet import WEIGHTS_VERSION, Fleet, FleetPlan
from yuccagauge.demo.processes import StartError
from yuccagauge.loadgen import load_profiles
from yuccagauge.loadgen.audit import audit_calls, audit_chats, count_executed
from yuccagauge.loadgen.base import PROFILES, Profile, Volume
from yuccagauge.loadgen.client import LoadClient
from yuccagauge.loadgen.main import run_to_end
from yuccagauge.loadgen.outcomes import Violation
from yuccagauge.loadgen.report import LoadReport, report_load
from yuccagauge.loadgen.run import LoadResult, run_plans
from yuccagauge.loadgen.waste import CacheFigures, cache_figures

_SEED = 1
_VOLUME = Volume(requests=220, duration=Millis(12_000))
_PATIENCE = Millis(20_000)
_EXIT_BROKEN = 1


def run(hold_seconds: int) -> None:
    """Run the demonstration and leave the process with 0 or 1.

    Parameters
    ----------
    hold_seconds
        How long the fleet goes on after the traffic, for trying commands.
    """
    load_profiles()
    run_to_end(lambda: _run(hold_seconds))


@defer.inlineCallbacks
def _run(hold_seconds: int) -> defer.Deferred[None]:
    profiles = tuple(PROFILES.get(name)(_SEED) for name in PROFILES.names)
    with tempfile.TemporaryDirectory(prefix='yuccagauge-demo-') as directory:
        fleet = Fleet(Path(directory), profiles, FleetPlan())
        try:
            violations = yield _demonstrate(fleet, profiles)
            if hold_seconds:
                yield _hold(fleet, hold_seconds)
        except StartError as error:
            violations = [Violation(kind='not started', detail=str(error))]
        finally:
            yield fleet.close()
    for violation in violations:
        _say(f'failed: {violation.kind}: {violation.detail}')
    if violations:
        sys.exit(_EXIT_BROKEN)
    _say('no promise was broken')


@defer.inlineCallbacks
def _demonstrate(
    fleet: Fleet,
    profiles: tuple[Profile, ...],
) -> defer.Deferred[list[Violation]]:
    yield fleet.start()
    _say(f'{len(fleet.routers)} routers serve {len(fleet.versions)} services')
    clock = SystemClock()
    client = LoadClient(fleet.callers, clock, _SEED, _PATIENCE)
    results: list[LoadResult] = yield defer.gatherResults(
        [run_plans(client, one.plans(_VOLUME), clock) for one in profiles],
    )
    violations: list[Violation] = []
    for profile, result in zip(profiles, results, strict=True):
        violations.extend((yield _judge(fleet, profile, result)))
    return violations


def _hold(fleet: Fleet, seconds: int) -> defer.Deferred[None]:
    admin = ','.join(str(ports.admin) for ports in fleet.ports)
    _say(f'routers go on for {seconds} s; --admin={admin}')
    return task.deferLater(reactor, seconds)


@defer.inlineCallbacks
def _judge(
    fleet: Fleet,
    profile: Profile,
    result: LoadResult,
) -> defer.Deferred[list[Violation]]:
    engines = yield fleet.records((profile.model_service,))
    servers = yield fleet.records((profile.plain_service,))
    versions = frozenset((WEIGHTS_VERSION,))
    violations = [
        *audit_chats(result.chats, engines, versions),
        *audit_calls(result.calls, servers),
    ]
    report = report_load(result.chats, result.calls)
    lines = _lines(report, cache_figures(engines), count_executed(servers))
    _say(f'{profile.name}:')
    for line in lines:
        _say(f'  {line}')
    return violations


def _lines(
    report: LoadReport,
    figures: CacheFigures,
    executed: int,
) -> Iterable[str]:
    first = report.first_token
    yield f'requests {report.requests}, answered {report.answered}'
    for ending, count in sorted(report.refusals.items()):
        yield f'not answered {count}: {ending}'
    yield f'plain calls executed {executed}'
    yield f'prefix hit rate {report.hit_rate:.1%}'
    yield f'time to first token p50 {first.p50:.1f} ms, p99 {first.p99:.1f} ms'
    yield f'wasted recomputation {figures.waste:.1%} of prompt tokens'


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
