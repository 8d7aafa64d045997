"""Steps for the soak of answers that end with their connection."""

import json
import subprocess
import sys
from itertools import permutations
from typing import Any

from behave import then, when
from behave.runner import Context

from features.restartsoak.client import Answer
from features.restartsoak.judge import Judge
from features.restartsoak.plan import STREAMS, PlannedRequest, plan_run

_MODULE = 'features.restartsoak.run'
_LIMIT_SECONDS = 150
_SECONDS = 12
_LONGEST_LAG_SECONDS = 0.8
#: What each mark after the number of a piece changes in it.
_MARKS = {
    '': {},
    'p': {'born': 2},
    's': {'born': 2, 'software': 'v2'},
    'r': {'label': 'another'},
}
_REQUEST = PlannedRequest(
    label='1.1',
    route='talk',
    pieces=3,
    is_unframed=True,
    gap=0,
    rest=0,
    leaves_after=0,
)


@when('the restart soak is planned with seeds 1 to {last:d}')
def when_planned(context: Context, last: int) -> None:
    """Plan each run twice."""
    seeds = range(1, last + 1)
    context.plans = [plan_run(seed, _SECONDS) for seed in seeds]
    context.repeated = [plan_run(seed, _SECONDS) for seed in seeds]


@then('each restart soak is repeated exactly by its seed and no two are equal')
def then_repeated(context: Context) -> None:
    """Compare the plans."""
    assert context.plans == context.repeated
    for index, plan in enumerate(context.plans):
        assert plan not in context.plans[:index]


@then('servers are down for "{times}" s, with the same and other software')
def then_downs(context: Context, times: str) -> None:
    """Compare the kills of all plans."""
    kills = [kill for plan in context.plans for kill in plan.kills]
    expected = {float(time) for time in times.split()}
    assert {kill.down for kill in kills} == expected
    assert {kill.changes_software for kill in kills} == {True, False}
    assert max(kill.lag for kill in kills) <= _LONGEST_LAG_SECONDS


@then('in each plan a pause of a router covers the time a server is down')
def then_covered(context: Context) -> None:
    """Look for a router that sees a server only after its next start."""
    for plan in context.plans:
        assert any(
            pause.at <= kill.at
            and kill.at + kill.down < pause.at + pause.duration
            for pause in plan.pauses
            for kill in plan.kills
        )


@then('some pauses of two routers overlap')
def then_overlapping(context: Context) -> None:
    """Look for two routers that are paused at once."""
    pairs = [
        pair for plan in context.plans for pair in permutations(plan.pauses, 2)
    ]
    assert any(
        one.router != other.router
        and one.at <= other.at < one.at + one.duration
        for one, other in pairs
    )


def _piece(word: str, route: str) -> bytes:
    """Return a piece, cut inside if the word ends with a hyphen."""
    mark = word[1:].rstrip('-')
    fields = {'label': _REQUEST.label, 'born': 1, 'software': 'v1'}
    fields |= _MARKS[mark]
    number = int(word[0])
    text = json.dumps(
        [
            fields['label'],
            number,
            _REQUEST.pieces,
            fields['born'],
            fields['software'],
        ]
    )
    whole = (
        f'id: {number}\ndata: {text}\n\n' if route in STREAMS else f'{text}\n'
    )
    return whole[:-3].encode() if word.endswith('-') else whole.encode()


def _answer(text: str, route: str) -> Answer:
    """Return an answer that ends whole (``.``) or broken off (``!``)."""
    pieces = [_piece(word, route) for word in text[:-1].split()]
    return Answer(
        router='r',
        request_id='1',
        status=200,
        body=b''.join(pieces),
        is_complete=text.endswith('.'),
    )


@when('the restart soak judges "{answers}" on route "{route}"')
def when_judged(context: Context, answers: str, route: str) -> None:
    """Judge all tries of one request of three pieces."""
    request = PlannedRequest(
        **{
            name: getattr(_REQUEST, name)
            for name in _REQUEST.__slots__
            if name != 'route'
        },
        route=route,
    )
    judge = Judge(request, 1)
    tries = [_answer(text, route) for text in answers.split(' then ')]
    context.violations = judge.judge(tries)


@then('the restart soak finds "{kinds}"')
def then_found(context: Context, kinds: str) -> None:
    """Compare the kinds of violations."""
    found = {kind for kind, _ in context.violations}
    expected = set() if kinds == 'nothing' else set(kinds.split(', '))
    assert found == expected, context.violations


def _run(*arguments: str) -> Any:
    """Return the counts of a soak that runs in a process, as by hand."""
    run = subprocess.run(
        (sys.executable, '-m', *arguments),
        capture_output=True,
        text=True,
        timeout=_LIMIT_SECONDS,
    )
    assert run.stdout, run.stderr
    return json.loads(run.stdout)


@when('the restart soak runs for {seconds:d} s with seed {seed:d}')
def when_run(context: Context, seconds: int, seed: int) -> None:
    """Run it with all that the seed plans."""
    arguments = (f'--seconds={seconds}', f'--seed={seed}')
    context.counts = _run(_MODULE, *arguments)


@when(
    'the restart soak runs for {seconds:d} s with seed {seed:d} and '
    'statements "{names}"'
)
def when_run_stating(
    context: Context, seconds: int, seed: int, names: str
) -> None:
    """Run it with servers that make these statements."""
    arguments = (f'--seconds={seconds}', f'--seed={seed}')
    context.counts = _run(_MODULE, *arguments, f'--states={names}')


@when(
    'the restart soak runs calm for {seconds:d} s with seed {seed:d} and '
    'statements "{names}"'
)
def when_run_calm_stating(
    context: Context, seconds: int, seed: int, names: str
) -> None:
    """Run it without disturbances."""
    arguments = (f'--seconds={seconds}', f'--seed={seed}', '--calm')
    context.counts = _run(_MODULE, *arguments, f'--states={names}')


@then('each request of the restart soak is answered')
def then_answered(context: Context) -> None:
    """Check that streams were taken up, and that nothing was refused."""
    counts = context.counts
    assert counts['taken up'] > 0, counts
    assert not counts['not answered'], counts
    assert counts['answered'] == counts['requests'], counts


@then('each answer of the restart soak is whole')
def then_whole(context: Context) -> None:
    """Compare the counts of each kind of answer."""
    counts = context.counts
    for kind in ('streams', 'calls'):
        for framing in ('framed', 'unframed'):
            name = f'{framing} {kind}'
            assert counts[name] > 0, counts
            assert counts[f'whole {name}'] == counts[name], counts


@then('no answer of the restart soak is cut, joined or out of order')
def then_held(context: Context) -> None:
    """Check the counts of all violations."""
    counts = context.counts
    assert not any(counts['violations'].values()), counts
    assert counts['routers ended'] == 0, counts


@then('servers of the restart soak state "{names}", otherwise "{otherwise}"')
def then_stated(context: Context, names: str, otherwise: str) -> None:
    """Compare the choice that the run prints."""
    counts = context.counts
    assert counts['states'] == names, counts
    assert counts.get('states otherwise', 'no') == otherwise, counts


@then('some answers of the restart soak were broken off')
def then_disturbed(context: Context) -> None:
    """Check that servers ended amid answers, and that streams went on."""
    counts = context.counts
    assert counts['broken'] > 0, counts
    assert counts['moved'] > 0, counts
    assert counts['answered'] > counts['requests'] / 2, counts


@when(
    'the soak of the own interface runs for {seconds:d} s with seed {seed:d} '
    'and faults "{faults}"'
)
def when_own_run(
    context: Context, seconds: int, seed: int, faults: str
) -> None:
    """Run it with faults of these kinds."""
    arguments = (
        f'--seconds={seconds}',
        f'--seed={seed}',
        f'--faults={faults}',
    )
    context.counts = _run('yuccagauge', 'soak', *arguments)


@then('no promise of the own interface is broken')
def then_promises_held(context: Context) -> None:
    """Check the counts of all violations, and that faults were injected."""
    counts = context.counts
    assert counts['faults']['servers-restart'] > 0, counts
    assert counts['calls_answered'] > 0, counts
    assert not counts['details'], (counts['violations'], counts['details'][:3])
