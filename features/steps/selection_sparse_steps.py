"""Steps for the placement by many routers that know little."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from features.selection_fixture import new_request, place, start_selector
from features.sparse_fleet import SparseFleet
from yuccagauge.selection.spread import choice_count


@given(
    '{routers:d} routers that hear little of each other, before {engines:d} '
    'engines'
)
def describe_fleet(context: Context, routers: int, engines: int) -> None:
    """Take the size of the fleet."""
    context.sizes = (routers, engines)


@when(
    '{rate:d} prompts a second about {subjects:d} subjects come for '
    '{seconds:d} s, {hot:d} % about one of them'
)
def run_fleet(
    context: Context, rate: int, subjects: int, seconds: int, hot: int
) -> None:
    """Let the prompts come in virtual time."""
    routers, engines = context.sizes
    context.sparse_fleet = SparseFleet(routers, engines, subjects, hot / 100)
    context.sparse_fleet.run(rate, seconds)


@then('half of the prompts whose subject came before find it cached')
def check_cached(context: Context) -> None:
    """Guard against parts of prompts that are prefilled at one engine after another."""
    fleet = context.sparse_fleet
    assert fleet.repeated > 100, fleet.repeated
    assert 2 * fleet.cached >= fleet.repeated, (fleet.cached, fleet.repeated)


@then('at most {percent:d} % of the prompts start late')
def check_late(context: Context, percent: int) -> None:
    """Guard against prompts that queue at a few engines while others are idle."""
    late = context.sparse_fleet.late_share
    assert late <= percent / 100, late


@then(
    'prompts of {routers:d} routers are spread over {choices:d} of {engines:d} '
    'engines'
)
def check_choices(
    context: Context, routers: int, choices: int, engines: int
) -> None:
    """Guard against a size from which a mechanism is switched off."""
    found = choice_count(engines, routers)
    assert found == choices, found


@when('{calls:d} prompts come, each to a router that knows of no other call')
def place_apart(context: Context, calls: int) -> None:
    """Place each prompt with a selector of its own."""
    count = Counter()
    for number in range(calls):
        start_selector(context, 3, version=1)
        context.number = number
        decision = place(context, new_request(context))
        count[decision.placement.server.server_id] += 1
    context.placed = count


@then('each engine got from {least:d} to {most:d} of them')
def check_even(context: Context, least: int, most: int) -> None:
    """Guard against routers that all take the first engine by name."""
    counts = sorted(context.placed.values())
    assert len(counts) == 3, counts
    assert least <= counts[0], counts
    assert counts[-1] <= most, counts
