"""Steps for verdicts."""

from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import settings, strategies

from features.loop import wait_for_call, wait_until
from features.router_fleet import RouterFleet, admin, ask, chat, wait_until
from features.scripted_server import Exchange, ScriptedServer
from yuccagauge.claims.base import issue_key
from yuccagauge.dispatch.recovery import Ending, Progress, Step, next_step
from yuccagauge.verdict import Verdict

_PATH = '/services/roster-api/bookings'
#: Long enough for a claim on a busy machine.
_SHORT_TIMEOUT = '2000'
_TRIES = 40
_RERUNS = frozenset((Step.RESUME, Step.RERUN, Step.RERUN_WITHIN_BUDGET))
_FINAL = frozenset((Step.FINISH, Step.PASS_ON, Step.GIVE_UP))


def _reset(exchange: Exchange) -> None:
    exchange.cut()


def _reset_in_answer(exchange: Exchange) -> None:
    exchange.transport.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{')
    exchange.transport.loseConnection()


def _refuse(exchange: Exchange) -> None:
    exchange.answer(503, b'{}', 'Yuccagauge-Not-Run: true')


def _answer_without_length(exchange: Exchange) -> None:
    exchange.transport.write(b'HTTP/1.1 200 OK\r\n\r\n{"booked": true}')
    exchange.transport.loseConnection()


_SCRIPTS: dict[str, Callable[[Exchange], None]] = {
    'refuses connections': _reset,
    'resets at the first byte': _reset,
    'resets after the request': _reset,
    'resets in the answer': _reset_in_answer,
    'never answers': lambda exchange: None,
    'truthfully refuses': _refuse,
    'untrustedly refuses': _refuse,
    'answers': lambda exchange: exchange.answer(200, b'{"booked": true}'),
    'ends the answer by closing': _answer_without_length,
    'is killed in the answer': _answer_without_length,
    'fails': lambda exchange: exchange.answer(500, b'{}'),
}


def _server(context: Context, behaviour: str) -> ScriptedServer:
    server = ScriptedServer(_SCRIPTS[behaviour])
    if behaviour == 'resets at the first byte':

        def first_byte(exchange: Exchange) -> None:
            server.requests.append(('POST', ''))
            exchange.cut()

        server.on_first_byte = first_byte
    if behaviour == 'is killed in the answer':

        def be_killed(exchange: Exchange) -> None:
            _answer_without_length(exchange)
            server.kill()
            server.close()

        server.script = be_killed
    wait_for_call(server.start)
    context.add_cleanup(wait_for_call, server.close)
    if behaviour == 'refuses connections':
        wait_for_call(server.close)
    return server


def _start(context: Context, *behaviours: str) -> None:
    context.fleet = RouterFleet()
    context.add_cleanup(context.fleet.close)
    context.behaviours = behaviours
    context.servers = [_server(context, each) for each in behaviours]
    is_trusted = 'truthfully refuses' in behaviours
    backend = {'truthful_not_run': 'yes' if is_trusted else 'no'}
    context.fleet.publish_plain(context.servers, backend=backend)
    context.router = context.fleet.router()
    context.key = issue_key()


def _call(context: Context, kind: str, body: bytes = b'{"shift": 1}') -> None:
    endpoint = context.router.endpoints[0]
    headers: dict[str, str] = {}
    if context.behaviours[0] == 'never answers':
        headers['Yuccagauge_Timeout_Ms'] = _SHORT_TIMEOUT
    if kind == 'reading':
        context.answer = ask(endpoint, 'GET', _PATH, **headers)
        return
    headers['Idempotency_Key'] = f'"{context.key}"'
    context.answer = ask(endpoint, 'POST', _PATH, body, **headers)


@given('a routed plain service whose only server {behaviour}')
def given_only_server(context: Context, behaviour: str) -> None:
    """Start one server and a router."""
    _start(context, behaviour)


@given(
    'a routed plain service whose first server {behaviour} '
    'and whose second answers',
)
def given_two_servers(context: Context, behaviour: str) -> None:
    """Start two servers and a router."""
    _start(context, behaviour, 'answers')
    context.behaviour = behaviour


@given('a booking was made through the router')
@when('a booking is made through the router')
@when('the same booking is made through the router')
def when_booking(context: Context) -> None:
    """Make the booking."""
    _call(context, 'booking')
    _wait_for_outcome(context)


def _wait_for_outcome(context: Context) -> None:
    claims = context.router.dispatcher.around.claims
    wait_until(lambda: not claims._submitting)


@when('a reading is made through the router')
def when_reading(context: Context) -> None:
    """Ask for the bookings."""
    _call(context, 'reading')


@when('another booking by its key is made through the router')
def when_other_booking(context: Context) -> None:
    """Use the key for other content."""
    _call(context, 'booking', b'{"shift": 2}')


@when('a {kind} is sent through the router until the first server was used')
def when_sent_first(context: Context, kind: str) -> None:
    """Repeat until the first server was chosen; each time with a new key."""
    first = str(context.servers[0].endpoint)
    for _ in range(_TRIES):
        context.key = issue_key()
        _call(context, kind)
        request_id = context.answer.headers['yuccagauge-request-id']
        record = admin(context.router, f'/explain/{request_id}')
        if record['attempts'][0]['backend_server'] == first:
            return
    raise AssertionError('the first server was never chosen')


@when('the server comes up and the same booking is made until it is answered')
def when_comes_up(context: Context) -> None:
    """Open the port again; the release may take a moment in the log."""
    server = context.servers[0]
    server.script = _SCRIPTS['answers']
    wait_for_call(server.start)

    def answered() -> bool:
        _call(context, 'booking')
        return context.answer.status == 200

    wait_until(answered)


@given('the log of the fleet is down')
def given_log_down(context: Context) -> None:
    """Let the log answer 503."""
    wait_for_call(lambda: context.fleet.log.set_faults(outage=True))


@then(
    'the routed call ends with {status:d}, verdict "{verdict}" '
    'and code "{code}"',
)
def then_code(
    context: Context,
    status: int,
    verdict: str,
    code: str,
) -> None:
    """Check status, header and body."""
    found = context.answer
    assert found.status == status, found
    assert found.verdict == verdict, found
    assert found.error['code'] == code, found
    assert found.error['verdict'] == verdict, found


@then(
    'the routed call ends with {status:d}, verdict "{verdict}" and code ""',
)
def then_no_code(context: Context, status: int, verdict: str) -> None:
    """Check status and header; the body is the server's."""
    found = context.answer
    assert found.status == status, found
    assert found.verdict == verdict, found
    assert b'"verdict"' not in found.body


@then('the server got the booking {times:d} times')
def then_times(context: Context, times: int) -> None:
    """Count the requests that reached the server."""
    requests = context.servers[0].requests
    assert len(requests) == times, requests


@given(
    'a routed model service whose engine resets after the request '
    'and then refuses',
)
def given_closing_engine(context: Context) -> None:
    """Start an engine that closes its port at the first request."""
    context.fleet = RouterFleet()
    context.add_cleanup(context.fleet.close)

    def script(exchange: Exchange) -> None:
        engine.close()
        exchange.cut()

    engine = ScriptedServer(script)
    wait_for_call(engine.start)
    context.fleet.publish_model([engine])
    context.router = context.fleet.router()
    context.fleet.wait_for_engines(1)


@when('a routed chat is asked for')
def when_chat(context: Context) -> None:
    """Ask for a stream."""
    context.answer = chat(context.router, Yuccagauge_Timeout_Ms='3000')


def _check_steps(check: Callable[[Ending, Verdict, Progress, Step], None]):
    @settings(derandomize=True, database=None, deadline=None)
    @given_values(
        strategies.sampled_from(Ending),
        strategies.sampled_from((Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)),
        strategies.builds(
            Progress,
            begun=strategies.booleans(),
            resumable=strategies.booleans(),
            runs=strategies.integers(1, 6),
            resumes=strategies.integers(0, 6),
            idempotent=strategies.booleans(),
            late=strategies.booleans(),
        ),
    )
    def run(ending: Ending, verdict: Verdict, progress: Progress) -> None:
        check(ending, verdict, progress, next_step(ending, verdict, progress))

    run()


@then('a call that may have run is never rerun unless it is idempotent')
def then_never_rerun(context: Context) -> None:
    """Check all combinations."""

    def check(
        ending: Ending,
        verdict: Verdict,
        progress: Progress,
        step: Step,
    ) -> None:
        if verdict is Verdict.MAY_HAVE_RUN and not progress.idempotent:
            assert step not in _RERUNS, (ending, progress)
        if verdict is Verdict.MAY_HAVE_RUN:
            assert step is not Step.RERUN, (ending, progress)

    _check_steps(check)


@then('no step follows a passed deadline but the final answer')
def then_final(context: Context) -> None:
    """Check all combinations."""

    def check(
        ending: Ending,
        verdict: Verdict,
        progress: Progress,
        step: Step,
    ) -> None:
        if progress.late:
            assert step in _FINAL, (ending, progress)

    _check_steps(check)
