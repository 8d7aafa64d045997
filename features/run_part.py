"""Run a part of the behave suite in a process of its own."""

import json
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from behave.configuration import Configuration
from behave.formatter.progress import ScenarioProgressFormatter
from behave.model import Scenario, Status
from behave.runner import Runner

_KNOWN_RED_FILE = Path('KNOWN-RED.txt')
_TEST_PREFIX = 'test: '


@dataclass(frozen=True, slots=True, kw_only=True)
class PartResult:
    """How the scenarios of one part ended."""

    passed: list[str]
    #: Name and report of each scenario that did not pass.
    failed: list[tuple[str, str]]
    #: Why the part was not run to its end.
    aborted: list[str]


def known_red_names() -> frozenset[str]:
    """Return the scenarios that KNOWN-RED.txt lists as failing."""
    if not _KNOWN_RED_FILE.exists():
        return frozenset()
    lines = _KNOWN_RED_FILE.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(_TEST_PREFIX).strip()
        for line in lines
        if line.startswith(_TEST_PREFIX)
    )


def start(locations: list[str]) -> PartResult:
    """Run features or scenarios in another process; return how they ended."""
    started_at = time.monotonic()
    with tempfile.NamedTemporaryFile(suffix='.json') as results:
        command = [sys.executable, '-m', 'features.run_part', results.name]
        process = subprocess.run(
            [*command, *locations],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors='replace',
        )
        content = Path(results.name).read_text(encoding='utf-8')
    if not content:
        output = process.stdout[-2000:]
        name = ' '.join(locations)
        return PartResult(
            passed=[], failed=[], aborted=[f'{name} did not end:\n{output}']
        )
    seconds = time.monotonic() - started_at
    sys.stdout.write(f'{" ".join(locations)} ({seconds:.0f} s)\n')
    sys.stdout.flush()
    return PartResult(**json.loads(content))


def _reason(scenario: Scenario) -> str:
    """Return the step that did not pass, and its error."""
    for step in scenario.all_steps:
        if step.status not in {Status.passed, Status.skipped}:
            error = (step.error_message or '').strip().splitlines()
            return f'\n  step: {step.name}\n  error: {" | ".join(error[-3:])}'
    return ''


def _result(runner: Runner) -> PartResult:
    result = PartResult(passed=[], failed=[], aborted=[])
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if scenario.status == Status.passed:
                result.passed.append(scenario.name)
            elif scenario.status not in {Status.untested, Status.skipped}:
                name = scenario.name.strip()
                report = f'{scenario.location} {name}{_reason(scenario)}'
                result.failed.append((name, report))
    if runner.aborted or runner.hook_failures or runner.undefined_steps:
        result.aborted.append('run aborted, failing hook or undefined step')
    return result


def main(arguments: list[str]) -> None:
    """Run the features or scenarios that follow the name of a result file."""
    results, *locations = arguments
    # behave 1.3.3 has no letter for this status and stops with a KeyError.
    ScenarioProgressFormatter.dot_status.setdefault(Status.cleanup_error, 'C')
    configuration = Configuration(
        [*locations, '--no-capture', '--format=progress', '--no-summary'],
    )
    runner = Runner(configuration)
    runner.run()
    result = _result(runner)
    Path(results).write_text(
        json.dumps(
            {
                'passed': result.passed,
                'failed': result.failed,
                'aborted': result.aborted,
            }
        ),
        encoding='utf-8',
    )


if __name__ == '__main__':
    main(sys.argv[1:])
