"""Steps for the benchmark of the decisions."""

import dataclasses
import json
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from yuccagauge.bench import targets
from yuccagauge.bench.faults import FaultNotFoundError, fault_kinds
from yuccagauge.bench.runner import run_workload
from yuccagauge.bench.simulation import Simulation
from yuccagauge.bench.trace import make_trace
from yuccagauge.bench.workload import (
    FaultSection,
    load_workload,
    shipped_workloads,
)

_SAMPLES = Path(__file__).parent.parent / 'bench'


@given('the bench workload "{name}"')
def given_workload(context: Context, name: str) -> None:
    """Read a sample workload."""
    context.bench = load_workload(str(_SAMPLES / name))


@given(
    'the bench fault "{kind}" from {start:d} for {length:d} ms hits {count:d}'
)
def given_fault(
    context: Context,
    kind: str,
    start: int,
    length: int,
    count: int,
) -> None:
    """Add a fault to the workload."""
    fault = FaultSection(
        kind=kind,
        at_ms=start,
        duration_ms=length,
        count=count,
        share=0.5,
    )
    context.bench = dataclasses.replace(context.bench, faults={kind: fault})


@given(
    'the bench load is {factor:d} times as high from {start:d} to {end:d} and '
    'clients come back {returns:d} times',
)
def given_overload(
    context: Context,
    factor: int,
    start: int,
    end: int,
    returns: int,
) -> None:
    """Change the arrivals of the workload."""
    curve = ('0:1', f'{start}:1', f'{start}:{factor}', f'{end}:{factor}')
    arrivals = dataclasses.replace(
        context.bench.arrivals,
        curve=(*curve, f'{end}:1', '40000:1'),
        client_retries=returns,
    )
    context.bench = dataclasses.replace(
        context.bench,
        arrivals=arrivals,
        workload=dataclasses.replace(
            context.bench.workload,
            duration_ms=40_000,
        ),
    )


@when('the bench runs policy "{policy}" with seed {seed:d}')
def when_runs(context: Context, policy: str, seed: int) -> None:
    """Run one policy."""
    context.requests = make_trace(context.bench, seed)
    simulation = Simulation(context.bench, context.requests, policy, seed)
    context.measures = simulation.run()


@then(
    'two bench runs with seed {seed:d} write the same bytes and seed '
    '{other:d} others',
)
def then_same_bytes(context: Context, seed: int, other: int) -> None:
    """Guard against hidden clocks and unseeded randomness."""
    first, second, third = (
        json.dumps(run_workload(context.bench, each), sort_keys=True)
        for each in (seed, seed, other)
    )
    assert first == second
    assert first != third


@then(
    'every bench request has one outcome and at least {share:d} % are answered',
)
def then_outcomes(context: Context, share: int) -> None:
    """Guard against requests that vanish in a fault."""
    outcomes = context.measures.outcomes
    assert sorted(outcomes) == [each.number for each in context.requests]
    answered = sum(each.status == 'answered' for each in outcomes.values())
    assert answered * 100 >= share * len(outcomes), answered / len(outcomes)


@then('the bench counted "{counter}"')
def then_counted(context: Context, counter: str) -> None:
    """Guard against faults that break nothing."""
    assert context.measures.events[counter] > 0, context.measures.events


@then(
    'in the bench at least {share:d} % of the requests sent after {time:d} '
    'are in time',
)
def then_in_time(context: Context, share: int, time: int) -> None:
    """Guard against a collapse that outlasts its cause."""
    refused = context.measures.events['came_back_deadline_unreachable']
    assert refused > 0, 'there was no overload'
    late = [
        each
        for each in context.measures.outcomes.values()
        if each.sent_at >= time
    ]
    deadline = context.bench.workload.deadline_ms
    good = sum(
        each.status == 'answered' and each.first_token_ms <= deadline
        for each in late
    )
    assert late, 'no request was sent'
    assert good * 100 >= share * len(late), good / len(late)


@then(
    'the bench checks hit rate {hit:g}, waste {waste:g}, tail {tail:g} and '
    'recovery {recovery:d}',
)
def then_bounds(
    context: Context,
    hit: float,
    waste: float,
    tail: float,
    recovery: int,
) -> None:
    """Guard against bounds that follow the measurements."""
    assert targets.HIT_RATE_SHARE == hit
    assert targets.WASTE_FACTOR == waste
    assert targets.TAIL_FACTOR == tail
    assert targets.RECOVERY_MS == recovery


@then(
    'the shipped bench workloads of "{user}" are calm or have one fault of '
    'each kind',
)
def then_shipped(context: Context, user: str) -> None:
    """Guard against a fault that no shipped workload has."""
    workloads = [load_workload(str(path)) for path in shipped_workloads()]
    own = [each for each in workloads if each.workload.user == user]
    kinds = [fault.kind for each in own for fault in each.faults.values()]
    assert sorted(kinds) == sorted(fault_kinds.names)
    assert sum(each.is_calm for each in own) == 1


@then('a bench fault of an unknown kind is refused with the known kinds')
def then_unknown(context: Context) -> None:
    """Check the message."""
    given_fault(context, 'flood', 1000, 1000, 1)
    try:
        when_runs(context, 'random', 1)
    except FaultNotFoundError as error:
        assert 'engine-crash' in str(error)
        return
    raise AssertionError('the fault was accepted')
