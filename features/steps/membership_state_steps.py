"""Steps for the state of the membership, apart from the network."""

import random

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import strategies as st

from features.steps.membership_steps import PROPERTY
from yuccagauge.clock import Millis
from yuccagauge.membership.base import Member, MemberState
from yuccagauge.membership.items import ItemTable
from yuccagauge.membership.suspicion import Suspicion
from yuccagauge.membership.table import MemberTable
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.messages import Item

_NAMES = ('a', 'b', 'c')


_LIFETIME = 5000


def _member(name: str, incarnation: int, state: MemberState) -> Member:
    return Member(
        name=name,
        peer=Endpoint('10.0.0.1', 7100),
        data_centre='khomas-a',
        region='khomas',
        incarnation=incarnation,
        state=state,
    )


_STATEMENTS = st.lists(
    st.builds(
        _member,
        st.sampled_from(_NAMES),
        st.integers(0, 3),
        st.sampled_from(MemberState),
    ),
    max_size=20,
)


_ITEMS = st.lists(
    st.builds(
        Item,
        topic=st.integers(1, 2),
        key=st.sampled_from([b'x', b'y']),
        version=st.integers(0, 2),
        value=st.sampled_from([b'', b'1', b'2']),
        lifetime_ms=st.just(_LIFETIME),
    ),
    max_size=12,
)


@then('any membership statements give one table in any order')
def then_one_table(context: Context) -> None:
    """Routers that hear the same in another order have to agree."""

    @PROPERTY
    @for_any(_STATEMENTS, st.randoms(use_true_random=False))
    def check(statements: list[Member], source: random.Random) -> None:
        # A dead member that was unknown is not kept, so all are known.
        known = [_member(name, 0, MemberState.ALIVE) for name in _NAMES]
        tables = []
        for order in range(2):
            table = MemberTable(10)
            for statement in (*known, *statements, *statements):
                table.apply(statement, Millis(0))
            tables.append(set(table.members()))
            source.shuffle(statements)
        assert tables[0] == tables[1]

    check()


@then('any membership items give one table in any order')
def then_one_item_table(context: Context) -> None:
    """The highest version wins, then the highest value."""

    @PROPERTY
    @for_any(_ITEMS, st.randoms(use_true_random=False))
    def check(items: list[Item], source: random.Random) -> None:
        tables = []
        for order in range(2):
            table = ItemTable()
            for item in (*items, *items):
                table.apply(item, Millis(0))
            tables.append(frozenset(table.messages(Millis(0))))
            source.shuffle(items)
        assert tables[0] == tables[1]

    check()


@then('membership items disappear after their lifetime')
def then_items_expire(context: Context) -> None:
    """A notice about a server must not outlive the server."""
    table = ItemTable()
    item = Item(topic=1, key=b'x', version=1, lifetime_ms=_LIFETIME)
    table.apply(item, Millis(0))
    assert table.held(1, Millis(_LIFETIME - 1))
    assert not table.held(1, Millis(_LIFETIME))
    table.expire(Millis(_LIFETIME))
    assert not len(table)


@given(
    'a membership suspicion from {shortest:d} ms to {longest:d} ms '
    'needing {needed:d} reports',
)
def given_suspicion(
    context: Context,
    shortest: int,
    longest: int,
    needed: int,
) -> None:
    """Start at time 0 with one report."""
    context.suspicion = Suspicion(
        Millis(0),
        'first',
        Millis(shortest),
        Millis(longest),
        needed,
    )


@when('"{name}" reports the membership suspicion twice')
def when_reported(context: Context, name: str) -> None:
    """The second report of one router is not independent."""
    assert context.suspicion.confirm(name)
    assert not context.suspicion.confirm(name)


@then('the membership suspicion ends at {time:d} ms')
def then_deadline(context: Context, time: int) -> None:
    """Compare the deadline."""
    assert context.suspicion.deadline == time, context.suspicion.deadline
