"""Run the behave suite and close with ``N passed, N failed``."""

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.formatter.progress import ScenarioProgressFormatter
from behave.model import Scenario, Status
from behave.runner import Runner

_KNOWN_RED_FILE = Path('KNOWN-RED.txt')
_TEST_PREFIX = 'test: '


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


def _reason(scenario: Scenario) -> str:
    """Return the step that did not pass, and its error."""
    for step in scenario.all_steps:
        if step.status not in {Status.passed, Status.skipped}:
            error = (step.error_message or '').strip().splitlines()
            return f'\n  step: {step.name}\n  error: {" | ".join(error[-3:])}'
    return ''


def main(arguments: list[str]) -> int:
    """Run the features named by the arguments, or all; return the exit code."""
    # behave 1.3.3 has no letter for this status and stops with a KeyError.
    ScenarioProgressFormatter.dot_status.setdefault(Status.cleanup_error, 'C')
    configuration = Configuration(
        [*arguments, '--no-capture', '--format=progress', '--no-summary'],
    )
    runner = Runner(configuration)
    runner.run()
    known_red = known_red_names()
    passed = 0
    failures: list[str] = []
    red: list[str] = []
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if scenario.status == Status.passed:
                passed += 1
            elif scenario.name.strip() in known_red:
                red.append(f'{scenario.name}{_reason(scenario)}')
            else:
                where = f'{scenario.location} {scenario.name}'
                failures.append(f'{where}{_reason(scenario)}')
    for name in red:
        sys.stdout.write(f'known red: {name}\n')
    for name in failures:
        sys.stdout.write(f'failed: {name}\n')
    if runner.aborted or runner.hook_failures or runner.undefined_steps:
        failures.append('run aborted, failing hook or undefined step')
        sys.stdout.write(f'failed: {failures[-1]}\n')
    sys.stdout.write(f'{passed} passed, {len(failures)} failed\n')
    return 1 if failures or not passed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
