"""Run the load tool against routers that are there already."""

import json
import sys
from dataclasses import asdict

from twisted.internet import defer

from yuccagauge.clock import Millis, SystemClock
from yuccagauge.errors import SettingsError
from yuccagauge.loadgen import load_profiles
from yuccagauge.loadgen.base import PROFILES, Profile, Volume
from yuccagauge.loadgen.client import LoadClient
from yuccagauge.loadgen.main import run_to_end
from yuccagauge.loadgen.outcomes import judge_call, judge_chat
from yuccagauge.loadgen.report import report_load
from yuccagauge.loadgen.run import run_plans
from yuccagauge.settings.options import Endpoint, parse_endpoint

_MILLISECONDS_PER_SECOND = 1000
_PATIENCE = Millis(60_000)
_WEIGHTS_VERSIONS = frozenset(('w1',))
_EXIT_BROKEN = 1


def run(
    routers: tuple[str, ...],
    profile: str,
    requests: int,
    seconds: int,
    seed: int,
) -> None:
    """Send the traffic, print one JSON object and leave the process.

    The exit code is 1 if an answer was wrong.

    Raises
    ------
    ProfileNotFoundError
        If there is no such profile.
    SettingsError
        If an address is wrong.
    """
    load_profiles()
    kind = PROFILES.get(profile)
    endpoints = _parse(routers)
    volume = Volume(
        requests=requests,
        duration=Millis(seconds * _MILLISECONDS_PER_SECOND),
    )
    run_to_end(lambda: _run(endpoints, kind(seed), volume, seed))


def _parse(routers: tuple[str, ...]) -> tuple[Endpoint, ...]:
    texts = [text for one in routers for text in one.split(',')]
    try:
        return tuple(parse_endpoint(text) for text in texts)
    except ValueError:
        raise SettingsError(
            'command line',
            '',
            '--routers',
            ','.join(routers),
            'IP addresses and ports, separated by commas',
        ) from None


@defer.inlineCallbacks
def _run(
    routers: tuple[Endpoint, ...],
    profile: Profile,
    volume: Volume,
    seed: int,
) -> defer.Deferred[None]:
    clock = SystemClock()
    client = LoadClient(routers, clock, seed, _PATIENCE)
    result = yield run_plans(client, profile.plans(volume), clock)
    broken = [
        violation
        for outcome in result.chats
        for violation in judge_chat(outcome, _WEIGHTS_VERSIONS)
    ]
    broken.extend(
        violation
        for outcome in result.calls
        for violation in judge_call(outcome)
    )
    report = report_load(result.chats, result.calls)
    figures = {
        **asdict(report),
        'hit_rate': report.hit_rate,
        'violations': [asdict(one) for one in broken],
    }
    sys.stdout.write(f'{json.dumps(figures, indent=2)}\n')
    if broken:
        sys.exit(_EXIT_BROKEN)
