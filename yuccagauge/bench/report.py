"""Tables of results for a person."""

import math
from collections.abc import Mapping, Sequence

from tabulate import tabulate

_COLUMNS = (
    ('hit rate', 'hit_rate_by_tokens'),
    ('p50 ms', 'p50_time_to_first_token_ms'),
    ('p95 ms', 'p95_time_to_first_token_ms'),
    ('p99 ms', 'p99_time_to_first_token_ms'),
    ('recomputed', 'recomputed_tokens'),
    ('waste', 'wasted_tokens_held_by_a_live_engine'),
    ('refused', 'refused'),
    ('failed', 'failed'),
    ('late', 'late'),
    ('goodput/s', 'goodput_requests_per_second'),
)


def render_result(result: Mapping[str, object]) -> str:
    """Return the table of one workload and its targets."""
    header = ['policy', *(title for title, _ in _COLUMNS), 'recovery ms']
    rows = [
        [
            policy,
            *(figures[key] for _, key in _COLUMNS),
            _recovery(figures['recovery_ms_by_fault']),
        ]
        for policy, figures in result['policies'].items()
    ]
    table = tabulate(rows, header, disable_numparse=True)
    title = f'{result["workload"]} (user {result["user"]})'
    lines = [title, table, *map(_target_line, result['targets'])]
    return '\n'.join(lines)


def render_summary(results: Sequence[Mapping[str, object]]) -> str:
    """Return how many targets are met, and which are missed."""
    targets = [
        (result['workload'], target)
        for result in results
        for target in result['targets']
    ]
    missed = [
        f'missed in {workload}: {target["target"]}'
        for workload, target in targets
        if not target['met']
    ]
    met = len(targets) - len(missed)
    return '\n'.join([*missed, f'{met} targets met, {len(missed)} missed'])


def _recovery(by_fault: Mapping[str, int | None]) -> str:
    return ', '.join(
        'never' if recovery is None else str(recovery)
        for recovery in by_fault.values()
    )


def _target_line(target: Mapping[str, object]) -> str:
    word = 'met   ' if target['met'] else 'MISSED'
    measured = target['measured']
    shown = math.inf if measured is None else measured
    return f'  {word} {target["target"]}: {shown} (bound {target["bound"]})'
