"""Steps for the simulated search for guilty parts."""

from behave import then, when
from behave.runner import Context

from yuccagauge.clock import Millis
from yuccagauge.quarantine.measure import PartSimulation, PartWorkload

_SEEDS = 3
_ALLOWED_SENDS = 3
_OTHER_CRASH_PERIOD = Millis(2000)


@when(
    '{routers:d} routers are simulated with {parts:d} guilty parts in '
    '{percent:d} % of the requests'
)
def simulate(context: Context, routers: int, parts: int, percent: int) -> None:
    """Simulate engines of which some crash by themselves, too."""
    workload = PartWorkload(
        routers=routers,
        guilty_parts=parts,
        guilty_share=percent / 100,
        other_crash_period=_OTHER_CRASH_PERIOD,
    )
    context.outcomes = [
        PartSimulation(workload, seed).run() for seed in range(_SEEDS)
    ]


@then('at most 3 guilty requests are sent later than 3 s after the fifth crash')
def check_late_sends(context: Context) -> None:
    """Guard against a part that ends one engine after the other."""
    late = [each.late_sends for each in context.outcomes]
    assert max(late) <= _ALLOWED_SENDS, late


@then('less than {percent:d} % of the sound requests are refused')
def check_refused(context: Context, percent: int) -> None:
    """Guard against sound parts that are accused."""
    refused = sum(each.refused for each in context.outcomes)
    sound = sum(each.sound for each in context.outcomes)
    assert refused < sound * percent / 100, (refused, sound)
