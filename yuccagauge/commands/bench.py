"""The command that measures placement and admission on a virtual clock."""

import json
import sys
from pathlib import Path

from yuccagauge.commands.base import command


@command('bench')
def bench(
    settings: str = '',
    seed: int = 1,
    output: str = '',
    policies: str = '',
) -> None:
    """Run one workload file, or all that are shipped.

    Parameters
    ----------
    settings
        A workload file or the name of a shipped one; all if empty.
    seed
        Seed of all random streams.
    output
        Where the JSON goes; nowhere if empty.
    policies
        Names of placement policies with commas; all if empty.
    """
    from yuccagauge.bench import report, runner, workload

    paths = [str(path) for path in workload.shipped_workloads()]
    if settings:
        paths = [workload.find_workload(settings)]
    names = _split(policies) or runner.POLICIES
    results = runner.run_workloads(
        [workload.load_workload(path) for path in paths],
        seed,
        names,
        lambda result: _print(report.render_result(result)),
    )
    _print(report.render_summary(results['workloads']))
    if output:
        text = json.dumps(results, indent=2, sort_keys=True)
        Path(output).write_text(f'{text}\n', encoding='utf-8')


@command('measure-decisions')
def measure_decisions(output: str = '') -> None:
    """Measure the time of one decision and the bytes of state.

    Parameters
    ----------
    output
        Where the JSON goes; nowhere if empty.
    """
    from yuccagauge.bench import deciding

    figures = deciding.measure_decisions()
    text = json.dumps(figures, indent=2)
    _print(text)
    if output:
        Path(output).write_text(f'{text}\n', encoding='utf-8')


def _split(names: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return names that fire may have split already."""
    words = names.split(',') if isinstance(names, str) else names
    return tuple(word.strip() for word in words if word.strip())


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n\n')
    sys.stdout.flush()
