"""Run the behave suite in several processes; close with the counts."""

import os
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave.model import Scenario
from behave.parser import parse_file

from features import run_part
from features.run_part import PartResult, known_red_names

_ROOT = Path('features')

#: Features whose scenarios take long. Each of these is a part of its own, so
#: that no process runs on when all others have ended.
_SPLIT_FEATURES = frozenset(
    Path(name)
    for name in (
        'features/origins/fleet.feature',
        'features/origins/upgrade.feature',
        'features/peerpath/fleet.feature',
        'features/peerpath/refusing.feature',
        'features/quarantine/fleet.feature',
        'features/quarantine/parts_fleet.feature',
        'features/ratelimit/brittle.feature',
        'features/ratelimit/fleet.feature',
        'features/weights/beginning.feature',
        'features/weights/evidence.feature',
        'features/weights/fleet.feature',
        'features/rollout/handover_fleet.feature',
    )
)

#: Features whose scenarios mostly wait for timeouts on the real reactor, and so
#: share the processors with the others.
_WAITING_FEATURES = frozenset(
    Path(name)
    for name in (
        'features/dispatch/silent_servers.feature',
        'features/relay/silent_servers.feature',
    )
)

#: Waiting scenarios that one process runs: it takes a second to start.
_SCENARIOS_PER_PROCESS = 4

#: Features that measure time or start many processes; they run by themselves.
_LONE_FEATURES = frozenset((Path('features/soak/soak.feature'),))

#: Share of the processors that run features.
_PROCESSOR_SHARE = 0.75


def _feature_files(arguments: list[str]) -> list[Path]:
    """Return the features that the arguments name, or all."""
    found: list[Path] = []
    for argument in arguments or [str(_ROOT)]:
        path = Path(argument)
        found += sorted(path.rglob('*.feature')) if path.is_dir() else [path]
    return found


def _scenarios(feature: Path) -> list[Scenario]:
    return list(parse_file(str(feature)).walk_scenarios())


def _parts(features: list[Path]) -> list[list[str]]:
    """Return what each process runs: whole features, or single scenarios."""
    split: list[list[str]] = []
    whole: list[list[str]] = []
    for feature in features:
        if feature in _SPLIT_FEATURES:
            split += _groups(feature, 1)
        else:
            whole.append([str(feature)])
    return split + whole


def _groups(feature: Path, size: int) -> list[list[str]]:
    """Return the scenarios of a feature in groups of a size."""
    locations = [f'{feature}:{each.line}' for each in _scenarios(feature)]
    return [
        locations[start : start + size]
        for start in range(0, len(locations), size)
    ]


def _run(parts: list[list[str]], workers: int) -> list[PartResult]:
    with ThreadPoolExecutor(workers) as pool:
        return list(pool.map(run_part.start, parts))


def main(arguments: list[str]) -> int:
    """Run the features named by the arguments, or all; return the exit code."""
    features = _feature_files(arguments)
    workers = max(1, int((os.cpu_count() or 1) * _PROCESSOR_SHARE))
    waiting = [each for each in features if each in _WAITING_FEATURES]
    alone = [each for each in features if each in _LONE_FEATURES]
    beside = [each for each in features if each not in {*waiting, *alone}]
    groups = [
        group
        for feature in waiting
        for group in _groups(feature, _SCENARIOS_PER_PROCESS)
    ]
    with ThreadPoolExecutor(1) as pool:
        waited = pool.submit(_run, groups, workers)
        results = _run(_parts(beside), workers)
        results += waited.result()
    results += _run(_parts(alone), 1)
    expected = sum(len(_scenarios(feature)) for feature in features)
    known_red = known_red_names()
    passed = 0
    failures: list[str] = []
    red: list[str] = []
    for result in results:
        passed += len(result.passed)
        failures += result.aborted
        for name, report in result.failed:
            (red if name in known_red else failures).append(report)
    if passed + sum(len(each.failed) for each in results) != expected:
        failures.append(f'not all of the {expected} scenarios ran')
    for report in red:
        sys.stdout.write(f'known red: {report}\n')
    for report in failures:
        sys.stdout.write(f'failed: {report}\n')
    sys.stdout.write(f'{passed} passed, {len(failures)} failed\n')
    return 1 if failures or not passed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
