"""The stated targets, checked against the figures of one workload."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from yuccagauge.bench.workload import Workload

#: The policy that the targets are about.
MEASURED_POLICY = 'cost'

#: Policies that it has to be better than.
BASELINES = (
    'random',
    'round-robin',
    'least-loaded',
    'rendezvous',
    'prefix-tree',
)

#: The policy with exact knowledge.
ORACLE = 'oracle'

# The bounds below are stated requirements; they do not follow measurements.
HIT_RATE_SHARE = 0.95
WASTE_FACTOR = 1.15
TAIL_FACTOR = 1.25
RECOVERY_MS = 10_000

_HIT_RATE = 'hit_rate_by_tokens'
_TAIL = 'p99_time_to_first_token_ms'
_WASTE = 'wasted_tokens_held_by_a_live_engine'
_RECOMPUTED = 'recomputed_tokens'
_RECOVERY = 'recovery_ms_by_fault'

#: Figures of one workload: policies to keys to values.
Figures = Mapping[str, Mapping[str, object]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One bound and whether a figure keeps it."""

    name: str
    bound: float
    measured: float
    is_met: bool

    def as_json(self) -> dict[str, object]:
        """Return the target for the output file."""
        return {
            'target': self.name,
            'bound': round(self.bound, 5),
            'measured': _finite(self.measured),
            'met': self.is_met,
        }


def check_targets(workload: Workload, figures: Figures) -> list[Target]:
    """Return the targets that apply to a workload."""
    if MEASURED_POLICY not in figures:
        return []
    found: list[Target] = []
    if workload.is_calm:
        if ORACLE in figures:
            found.extend(_against_oracle(figures))
    else:
        found.extend(_against_baselines(workload, figures))
        found.extend(_recoveries(figures[MEASURED_POLICY]))
    return found


def _against_oracle(figures: Figures) -> Iterator[Target]:
    own = figures[MEASURED_POLICY]
    oracle = figures[ORACLE]
    yield _at_least(
        'hit rate at least 95 % of the oracle',
        oracle[_HIT_RATE] * HIT_RATE_SHARE,
        own[_HIT_RATE],
    )
    recomputed = oracle[_RECOMPUTED] * WASTE_FACTOR
    yield _at_most(
        "waste at most 1.15 times the oracle's recomputation",
        recomputed,
        own[_WASTE],
    )
    yield _at_most(
        "recomputation at most 1.15 times the oracle's",
        recomputed,
        own[_RECOMPUTED],
    )
    yield _at_most(
        "p99 time to first token at most 1.25 times the oracle's",
        oracle[_TAIL] * TAIL_FACTOR,
        own[_TAIL],
    )


def _against_baselines(
    workload: Workload,
    figures: Figures,
) -> Iterator[Target]:
    """Compare the first measure of the user with each baseline."""
    own = figures[MEASURED_POLICY]
    is_tail = workload.workload.first_measure == 'p99'
    for name in BASELINES:
        if name not in figures:
            continue
        other = figures[name]
        key = _TAIL if is_tail else _WASTE
        is_better = own[key] < other[key]
        if not is_tail and own[key] == other[key]:
            is_better = own[_HIT_RATE] > other[_HIT_RATE]
        measure = 'p99 time to first token' if is_tail else 'waste'
        yield Target(
            name=f'{measure} better than {name}',
            bound=other[key],
            measured=own[key],
            is_met=is_better,
        )


def _recoveries(own: Mapping[str, object]) -> Iterator[Target]:
    for fault, recovery in own[_RECOVERY].items():
        yield _at_most(
            f'p99 back within 10 % at most 10 s after {fault}',
            RECOVERY_MS,
            math.inf if recovery is None else recovery,
        )


def _at_least(name: str, bound: float, measured: float) -> Target:
    return Target(
        name=name,
        bound=bound,
        measured=measured,
        is_met=measured >= bound,
    )


def _at_most(name: str, bound: float, measured: float) -> Target:
    return Target(
        name=name,
        bound=bound,
        measured=measured,
        is_met=measured <= bound,
    )


def _finite(number: float) -> float | None:
    return None if math.isinf(number) else round(number, 5)
