"""Steps for which router may lead."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from yuccagauge.clock import Millis
from yuccagauge.rollout.handover import EngineTrials, Handover, Reach

_NOW = Millis(100_000)
_ENGINE = 'e0'


@given(
    'a router that has led for {led:d} ms and misses {missed:d} engines, '
    '{due:d} of them with old weights'
)
def start_router(context: Context, led: int, missed: int, due: int) -> None:
    """Create the decision of a router."""
    context.handover = Handover()
    context.handover.observe_lead(Millis(_NOW - led), is_leader=True)
    context.missed = {f'e{each}': _NOW for each in range(missed)}
    context.due = [f'e{each}' for each in range(due)]


@given('{peers:d} peers are alive, of which {fit:d} miss no engine')
def set_peers(context: Context, peers: int, fit: int) -> None:
    """Complete what the router knows."""
    context.reach = Reach(
        missed_since=context.missed,
        due=context.due,
        peers=peers,
        fit_peers=fit,
    )


@when('it handed over {ago:d} ms ago')
def hand_over(context: Context, ago: int) -> None:
    """Record an earlier hand-over."""
    context.handover.record_handover(Millis(_NOW - ago))


@given('a router that begins to ask engines whether it reaches them')
def begin_check(context: Context) -> None:
    """Create the decision of a router, and begin its check."""
    start_router(context, led=0, missed=0, due=0)
    context.now = _NOW
    assert context.handover.begin_reach_check(_NOW)


@when('"{answer:d}" ms pass until an engine answers, and {passed:d} ms in all')
@when('"" ms pass until an engine answers, and {passed:d} ms in all')
def pass_time(context: Context, passed: int, answer: int | None = None) -> None:
    """Let an engine answer, if one does."""
    if answer is not None:
        context.handover.end_reach_check(Millis(_NOW + answer))
    context.now = Millis(_NOW + passed)


@then('it asks engines again: {again}')
def check_again(context: Context, again: str) -> None:
    """Guard against engines that are asked at each message of a peer."""
    found = context.handover.begin_reach_check(context.now)
    assert found is (again == 'yes')


@then('it leads on')
def check_leads_on(context: Context) -> None:
    """Guard against a lease that moves though nobody would do better."""
    assert not context.handover.hands_over(context.reach, _NOW)


@then('it hands over')
def check_hands_over(context: Context) -> None:
    """Guard against a leader that keeps engines from new weights."""
    assert context.handover.hands_over(context.reach, _NOW)


@then('it {stands}, and tells peers that it {can} lead')
def check_stands(context: Context, stands: str, can: str) -> None:
    """Guard against candidates that reach no engine, and against none."""
    now = getattr(context, 'now', _NOW)
    found = context.handover.stands(context.reach, now)
    assert found is (stands == 'stands')
    cannot_lead = context.handover.cannot_lead(context.reach, now)
    assert cannot_lead is (can == 'cannot')


@given('an engine that does not answer directly from 0 ms to {failed:d} ms')
def fail_engine(context: Context, failed: int) -> None:
    """Try an engine without an answer."""
    context.trials = EngineTrials()
    context.trials.begin((_ENGINE,), Millis(0))
    assert context.trials.take_due(Millis(0)) == (_ENGINE,)
    context.trials.record_failure(_ENGINE, Millis(0), Millis(failed))


@given('it answers through a peer at "{at:d}" ms')
@given('it answers through a peer at "" ms')
def answer_peer(context: Context, at: int | None = None) -> None:
    """Record the answer to a peer, if there is one."""
    if at is not None:
        context.trials.record_peer_answer(_ENGINE, Millis(at))


@when('it answers directly')
def answer_directly(context: Context) -> None:
    """Record a direct answer."""
    context.trials.record_answer(_ENGINE)


@then('at {now:d} ms the engine is missed')
def check_missed(context: Context, now: int) -> None:
    """Guard against a router that does not see that it is partitioned."""
    assert context.trials.missed_since(Millis(now)) == {_ENGINE: 0}


@then('at {now:d} ms the engine is not missed')
def check_not_missed(context: Context, now: int) -> None:
    """Guard against a hand-over for an engine that is down or slow."""
    assert not context.trials.missed_since(Millis(now))


@then(
    'of {count:d} engines that do not answer, at most {most:d} are asked '
    'within {seconds:d} s, each {times:d} times or less'
)
def check_load(
    context: Context, count: int, most: int, seconds: int, times: int
) -> None:
    """Guard against a load that grows with the number of engines."""
    trials = EngineTrials()
    asked: Counter[str] = Counter()
    for now in map(Millis, range(0, seconds * 1000, 100)):
        trials.begin([f'e{each}' for each in range(count)], now)
        for name in trials.take_due(now):
            asked[name] += 1
            trials.record_failure(name, now, now)
    assert 0 < len(asked) <= most, asked
    assert max(asked.values()) <= times, asked
