"""Steps for the fault injection of the soak test."""

import base64
import functools
from types import SimpleNamespace
from typing import Any

import httpx2
from behave import given, then, when
from behave.runner import Context
from twisted.internet.task import Clock

from features.loop import run_blocking, wait_for, wait_for_call
from yuccagauge.clock import Millis
from yuccagauge.soak import load_faults
from yuccagauge.soak.base import FAULTS, PlannedFault, plan_faults
from yuccagauge.soak.injector import Injector
from yuccagauge.soak.relay import TcpRelay
from yuccagauge.standins import load_kinds
from yuccagauge.standins.base import STANDINS

_DURATION = Millis(60_000)
_FAULTLESS_MS = 3000


@when('soak faults for {duration:d} ms are planned with seeds 1 to {last:d}')
def when_planned(context: Context, duration: int, last: int) -> None:
    """Plan each run twice."""
    load_faults()
    seeds = range(1, last + 1)
    length = Millis(duration)
    context.plans = [plan_faults(seed, length) for seed in seeds]
    context.repeated = [plan_faults(seed, length) for seed in seeds]


@then('each soak plan is repeated exactly by its seed and no two are equal')
def then_repeated(context: Context) -> None:
    """Compare the plans."""
    assert context.plans == context.repeated
    for index, plan in enumerate(context.plans):
        assert plan not in context.plans[:index]


@then('all soak faults end before the time without faults')
def then_ended(context: Context) -> None:
    """Check the ends."""
    for plan in context.plans:
        ends = [fault.at + fault.duration for fault in plan]
        assert max(ends) <= _DURATION - _FAULTLESS_MS, max(ends)


@then('every kind of soak fault is in at least one plan')
def then_kinds(context: Context) -> None:
    """Collect the kinds."""
    kinds = {fault.kind for plan in context.plans for fault in plan}
    assert kinds == set(FAULTS.names)


@given('a soak relay in front of a log stand-in')
def given_relay(context: Context) -> None:
    """Start both on the reactor."""
    load_kinds()
    context.log = STANDINS.get('log')({})
    context.log.start()
    context.add_cleanup(wait_for_call, context.log.close)
    context.relay = TcpRelay(context.log.endpoint)
    context.relay.start()
    context.add_cleanup(wait_for_call, context.relay.close)


def append(context: Context, text: str, timeout: float) -> Any:
    """Append through the relay."""
    url = f'http://{context.relay.endpoint}/streams/s/records'
    return run_blocking(
        functools.partial(httpx2.post, url, content=text, timeout=timeout),
    )


@when('"{text}" is appended through the soak relay')
def when_appended(context: Context, text: str) -> None:
    """Append and expect an answer."""
    assert append(context, text, 15).status_code == 200


@when('"{text}" is appended through the soak relay without an answer')
def when_unanswered(context: Context, text: str) -> None:
    """Append and expect none."""
    try:
        append(context, text, 0.3)
    except httpx2.TimeoutException:
        return
    raise AssertionError('there was an answer')


@when('the soak relay is cut')
def when_cut(context: Context) -> None:
    """Cut the link."""
    context.relay.cut()


@when('the soak relay is healed')
def when_healed(context: Context) -> None:
    """Heal the link, which breaks what hung."""
    context.relay.heal()


@then('the log behind the soak relay holds "{texts}"')
def then_held(context: Context, texts: str) -> None:
    """Read the log directly."""
    url = f'http://{context.log.endpoint}/streams/s/records?after=-1'
    page = run_blocking(httpx2.get, url).json()
    payloads = [base64.b64decode(one['data']) for one in page['records']]
    assert payloads == texts.encode().split(b', '), payloads


class CountingRelay:
    """Counts cuts and how many of them overlap."""

    def __init__(self) -> None:
        """Start healed."""
        self.cuts = 0
        self.open = 0
        self.most = 0

    def cut(self) -> None:
        """Count."""
        self.cuts += 1
        self.open += 1
        self.most = max(self.most, self.open)

    def heal(self) -> None:
        """Count down."""
        self.open -= 1


@when('soak faults of one router overlap')
def when_overlapping(context: Context) -> None:
    """Run an injector on three overlapping faults, then one more."""
    load_faults()
    relay = context.counting = CountingRelay()
    fleet = SimpleNamespace(routers={'r': None}, relays={'r': [relay]})
    times = ((0, 60), (20, 10), (30, 90), (130, 10))
    plan = [
        PlannedFault(
            at=Millis(at),
            duration=Millis(duration),
            kind='router-partition',
            choice=0,
        )
        for at, duration in times
    ]
    clock = Clock()
    context.injector = Injector(fleet, clock)
    finished = context.injector.run(plan)
    clock.pump([0.01 for _ in range(20)])
    wait_for(finished)


@then('the soak injector ran one fault at a time')
def then_alone(context: Context) -> None:
    """Check the counts."""
    relay = context.counting
    assert (relay.cuts, relay.most, relay.open) == (2, 1, 0)
    assert context.injector.counts == {'router-partition': 2}
