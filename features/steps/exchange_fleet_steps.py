"""Steps for the exchange of large fleets, without connections."""

import dataclasses
import random
from collections import defaultdict
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from yuccagauge.clock import Millis
from yuccagauge.directory.readpolicy import (
    ReadLimits,
    is_reader,
    read_delay,
)
from yuccagauge.directory.state import Topic
from yuccagauge.exchange.builder import MAXIMUM_MEMBERS
from yuccagauge.exchange.members import Member, MemberList
from yuccagauge.exchange.partners import (
    choose_partners,
    exchanges_in_period,
    weights_notification_delay,
)
from yuccagauge.exchange.service import EXCHANGE_PERIOD
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
    'a fleet of {routers:d} routers in 3 data centres, of which {readers:d} '
    'read every {ms:d} ms for a bound of {bound:d} ms'
)
def start_fleet(
    context: Context, routers: int, readers: int, ms: int, bound: int
) -> None:
    """Create the routers and choose those that read the store."""
    context.bound = bound
    context.fleet = [_member(number) for number in range(routers)]
    context.read_period = ms
    context.readers = {
        member.name
        for member in context.fleet
        if not _delay(context, member, age=1)
    }
    assert len(context.readers) == readers, len(context.readers)


def _data_centres(context: Context) -> dict[str, str]:
    return {member.name: member.data_centre for member in context.fleet}


@when('they exchange for {seconds:d} s')
def exchange(context: Context, seconds: int) -> None:
    """Simulate periods in which each router asks its partners.

    A router that asks gets the partner's state at the time of the answer.
    The routers ask one after the other within a period. Readers of data
    centres replace those of the fleet, and the other routers read nothing.
    """
    context.seconds = seconds
    centre_of = _data_centres(context)
    standbys = {
        name
        for name in centre_of
        if is_reader(name, centre_of) and name not in context.readers
    }
    context.standby_count = len(standbys)
    context.standby_reads = 0
    random_source = random.Random(_SEED)
    fleet = context.fleet
    confirmed = {member.endpoint: 0 for member in fleet}
    centres = {member.endpoint: member.data_centre for member in fleet}
    context.ages: list[int] = []
    context.remote_answers: dict[str, list[bool]] = defaultdict(list)
    for at in range(EXCHANGE_PERIOD, seconds * 1000, EXCHANGE_PERIOD):
        has_exchange = exchanges_in_period(at // EXCHANGE_PERIOD, len(fleet))
        for member in random_source.sample(fleet, len(fleet) * has_exchange):
            known = confirmed[member.endpoint]
            if member.name in context.readers:
                known = at - at % context.read_period
            elif member.name in standbys and not _delay(
                context, member, at - known
            ):
                known = at
                context.standby_reads += 1
            others = [other for other in fleet if other is not member]
            partners = choose_partners(
                others,
                member.data_centre,
                random_source.random,
            )
            received = [confirmed[partner] for partner in partners]
            confirmed[member.endpoint] = max(known, *received)
            context.remote_answers[member.data_centre].extend(
                centres[partner] != member.data_centre for partner in partners
            )
        if at <= 2000:
            context.standby_reads = 0
        else:
            context.ages.extend(at - known for known in confirmed.values())


def _delay(context: Context, member: Member, age: int) -> Millis:
    """Return how long a router still relies on others."""
    limits = ReadLimits.from_bounds(
        Millis(context.bound), Millis(context.bound)
    )
    return read_delay(
        Topic.SERVERS,
        member.name,
        _data_centres(context),
        Millis(age),
        limits,
    )


@then('the other readers of data centres read less than half as often')
def check_standbys(context: Context) -> None:
    """Guard against calls to the store that grow with the data centres."""
    periods = (context.seconds - 2) * 1000 / context.read_period
    most = context.standby_count * periods / 2
    assert context.standby_reads <= most, (context.standby_reads, most)


@then(
    'the state of a router was confirmed less than {age:d} ms ago in 99 of 100 '
    'samples'
)
def check_ages(context: Context, age: int) -> None:
    """Guard against routers that go on using a server that left."""
    outdated = sum(found >= age for found in context.ages)
    assert outdated <= len(context.ages) / 100, (outdated, len(context.ages))


@then('no data centre gets more than half of its answers from others')
def check_centres(context: Context) -> None:
    """Guard against traffic between data centres, which is costly."""
    assert len(context.remote_answers) == 3, context.remote_answers.keys()
    for centre, answers in context.remote_answers.items():
        assert sum(answers) <= len(answers) / 2, (centre, sum(answers))


@given(
    'a fleet of {routers:d} routers in 3 data centres, of which each knows the '
    'first'
)
def start_members(context: Context, routers: int) -> None:
    """Create routers that know only the first one."""
    context.fleet = [_member(number) for number in range(routers)]
    context.member_lists = {
        member.endpoint: MemberList(member.name) for member in context.fleet
    }
    for member_list in context.member_lists.values():
        member_list.observe_members([context.fleet[0]], Millis(0))


@when(
    'they send each other samples of the routers that they know for '
    '{seconds:d} s'
)
def exchange_samples(context: Context, seconds: int) -> None:
    """Simulate exchange periods and record the smallest list."""
    random_source = random.Random(_SEED)
    context.known: list[tuple[int, int]] = []
    for at in range(EXCHANGE_PERIOD, seconds * 1000, EXCHANGE_PERIOD):
        now = Millis(at)
        has_exchange = exchanges_in_period(
            at // EXCHANGE_PERIOD, len(context.fleet)
        )
        count = len(context.fleet) * has_exchange
        for member in random_source.sample(context.fleet, count):
            _exchange_members(context, member, now, random_source.random)
        least = min(
            len(member_list.live(now))
            for member_list in context.member_lists.values()
        )
        context.known.append((at, least))
    context.seconds = seconds


def _exchange_members(
    context: Context,
    member: Member,
    now: Millis,
    random_fraction: Callable[[], float],
) -> None:
    own = context.member_lists[member.endpoint]
    others = {other.endpoint: other for other in context.fleet}
    for partner in choose_partners(
        own.live(now), member.data_centre, random_fraction
    ):
        other = context.member_lists[partner]
        sent = _message(member, own, now, random_fraction)
        answered = _message(others[partner], other, now, random_fraction)
        other.observe_members(sent, now)
        own.observe_members(answered, now)


def _message(
    member: Member,
    member_list: MemberList,
    now: Millis,
    random_fraction: Callable[[], float],
) -> list[Member]:
    sender = dataclasses.replace(member, last_seen_at=now)
    return [sender, *member_list.sample(MAXIMUM_MEMBERS, now, random_fraction)]


@then('every router knows all others in the last {seconds:d} s')
def check_known(context: Context, seconds: int) -> None:
    """Guard against a live router that counts as dead."""
    start = (context.seconds - seconds) * 1000
    counts = [least for at, least in context.known if at >= start]
    assert min(counts) == len(context.fleet) - 1, counts


@then(
    'a notification of loaded weights waits {ms:d} ms in a fleet of {routers:d}'
)
def check_delay(context: Context, ms: int, routers: int) -> None:
    """Guard against a message to each router for each engine."""
    assert weights_notification_delay(routers) == ms
