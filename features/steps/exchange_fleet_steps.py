"""Steps for the exchange of large fleets, without connections."""

import dataclasses
import random
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from yuccagauge.clock import Millis
from yuccagauge.directory.readpolicy import is_reader
from yuccagauge.exchange.members import Member, Members
from yuccagauge.exchange.partners import (
    draw_partners,
    is_turn,
    weights_delay,
)
from yuccagauge.exchange.service import MAXIMUM_MEMBERS, PERIOD
from yuccagauge.settings.options import Endpoint

_SEED = 7


def _member(number: int, last_seen_at: int = 0) -> Member:
    return Member(
        name=f'r{number}',
        endpoint=Endpoint('127.0.0.1', number + 1),
        data_centre=f'd{number % 3}',
        last_seen_at=Millis(last_seen_at),
    )


@given(
    'a fleet of {routers:d} routers in 3 data centres, of which 2 in each '
    'read every {ms:d} ms'
)
def start_fleet(context: Context, routers: int, ms: int) -> None:
    """Name the routers and those that read."""
    context.fleet = [_member(number) for number in range(routers)]
    context.read_period = ms
    context.readers = {
        member.name
        for member in context.fleet
        if is_reader(
            member.name,
            (
                other.name
                for other in context.fleet
                if other.data_centre == member.data_centre
                and other is not member
            ),
        )
    }


@when('they exchange for {seconds:d} s')
def exchange(context: Context, seconds: int) -> None:
    """Replay periods in which each router asks its partners.

    A router that asks learns what the partner knew when it answered. The
    routers ask one after the other within a period.
    """
    random_source = random.Random(_SEED)
    fleet = context.fleet
    confirmed = {member.endpoint: 0 for member in fleet}
    centres = {member.endpoint: member.data_centre for member in fleet}
    context.ages: list[int] = []
    context.answers: list[bool] = []
    for at in range(PERIOD, seconds * 1000, PERIOD):
        is_due = is_turn(at // PERIOD, len(fleet))
        for member in random_source.sample(fleet, len(fleet) * is_due):
            known = confirmed[member.endpoint]
            if member.name in context.readers:
                known = at - at % context.read_period
            others = [other for other in fleet if other is not member]
            partners = draw_partners(
                others,
                member.data_centre,
                random_source.random,
            )
            told = [confirmed[partner] for partner in partners]
            confirmed[member.endpoint] = max(known, *told)
            context.answers.extend(
                centres[partner] != member.data_centre for partner in partners
            )
        if at > 2000:
            context.ages.extend(at - known for known in confirmed.values())


@then(
    'what a router knows was confirmed less than {age:d} ms ago, in 99 of 100 '
    'looks'
)
def check_ages(context: Context, age: int) -> None:
    """Guard against routers that go on with a server that left."""
    late = sum(found >= age for found in context.ages)
    assert late <= len(context.ages) / 100, (late, len(context.ages))


@then('no data centre gets more than half of its answers from others')
def check_centres(context: Context) -> None:
    """Guard against bytes between data centres, which cost."""
    assert sum(context.answers) <= len(context.answers) / 2


@given(
    'a fleet of {routers:d} routers in 3 data centres, of which each knows the '
    'first'
)
def start_members(context: Context, routers: int) -> None:
    """Start routers that know one seed."""
    context.fleet = [_member(number) for number in range(routers)]
    context.views = {
        member.endpoint: Members(member.name) for member in context.fleet
    }
    for view in context.views.values():
        view.observe_members([context.fleet[0]], Millis(0))


@when('they name some of those that they know to each other for {seconds:d} s')
def name_members(context: Context, seconds: int) -> None:
    """Replay the periods of exchanges."""
    random_source = random.Random(_SEED)
    context.known: list[tuple[int, int]] = []
    for at in range(PERIOD, seconds * 1000, PERIOD):
        now = Millis(at)
        is_due = is_turn(at // PERIOD, len(context.fleet))
        count = len(context.fleet) * is_due
        for member in random_source.sample(context.fleet, count):
            _exchange_members(context, member, now, random_source.random)
        least = min(len(view.live(now)) for view in context.views.values())
        context.known.append((at, least))
    context.seconds = seconds


def _exchange_members(
    context: Context,
    member: Member,
    now: Millis,
    draw: Callable[[], float],
) -> None:
    own = context.views[member.endpoint]
    others = {other.endpoint: other for other in context.fleet}
    for partner in draw_partners(own.live(now), member.data_centre, draw):
        other = context.views[partner]
        told = _message(member, own, now, draw)
        answered = _message(others[partner], other, now, draw)
        other.observe_members(told, now)
        own.observe_members(answered, now)


def _message(
    member: Member,
    view: Members,
    now: Millis,
    draw: Callable[[], float],
) -> list[Member]:
    sender = dataclasses.replace(member, last_seen_at=now)
    return [sender, *view.sample(MAXIMUM_MEMBERS, now, draw)]


@then('every router knows all others in the last {seconds:d} s')
def check_known(context: Context, seconds: int) -> None:
    """Guard against a living router that counts as dead."""
    start = (context.seconds - seconds) * 1000
    late = [least for at, least in context.known if at >= start]
    assert min(late) == len(context.fleet) - 1, late


@then('the news of loaded weights wait {ms:d} ms in a fleet of {routers:d}')
def check_delay(context: Context, ms: int, routers: int) -> None:
    """Guard against a message to each router for each engine."""
    assert weights_delay(routers) == ms
