"""Steps for servers that fall silent and go on."""

import json
import time
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.loop import wait_for_call
from features.router_fleet import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    Answer,
    RouterFleet,
    admin,
    ask,
    chat,
    chat_body,
)
from features.scripted_server import Exchange, ScriptedServer, frames
from features.steps.dispatch_streams_steps import answer, start_scripted
from yuccagauge.claims.base import issue_key
from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import Call
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.placement.base import Decision
from yuccagauge.settings.options import Endpoint

_WORDS = ('one ', 'two ', 'three ')
_SILENT_AFTER = 2
_LOST = 'drops'
_TRIES = 40
_PATH = '/services/roster-api/bookings'
_BODY = b'{"shift": 1}'
_ANSWER_PARTS = (b'{"booked"', b': true}')


class _SpentBudget:
    """Has no retry left."""

    def record_request(self, now: int) -> None:
        """Earn nothing."""

    def try_spend(self, now: int) -> bool:
        """Refuse."""
        return False


class _SilentServer(ScriptedServer):
    """Neither answers nor writes for a while; then goes on with all of it."""

    def __init__(self, script: Callable[[Exchange], None]) -> None:
        super().__init__(script)
        self._until = reactor.seconds()

    def fall_silent(self, seconds: float) -> None:
        """Hold whatever is due in this time."""
        self._until = reactor.seconds() + seconds

    def when_awake(self, function: Callable[..., None], *args: object) -> None:
        """Call a function as soon as the server is not silent."""
        left = max(0, self._until - reactor.seconds())
        reactor.callLater(left, function, *args)

    def serve(self, exchange: Exchange) -> None:
        """Answer once the server is not silent."""
        self.when_awake(super().serve, exchange)


class _SilentEngine:
    """Script of an engine that falls silent in a run.

    A run goes on while its connection is open, or, if the engine keeps
    streams, without one.
    """

    def __init__(self, silence: float, pauses: frozenset[int]) -> None:
        self.server = _SilentServer(self._follow)
        #: Whether requests other than the run are silent too.
        self.is_all_silent = True
        self.keeps = False
        self._silence = silence
        #: Numbers of the events before which the engine falls silent.
        self._pauses = pauses
        self._has_paused: set[int] = set()
        self._events: list[bytes] = []

    def _follow(self, exchange: Exchange) -> None:
        if exchange.method == 'POST':
            request_id = json.loads(exchange.body)['request_id']
            self._events = frames(request_id, *_WORDS)
            self._send(exchange, 0)
        elif exchange.method == 'GET' and self.keeps:
            after = int(exchange.path.rpartition('=')[2])
            self._send(exchange, after + 1)
        else:
            exchange.answer(404, b'{}')

    def _send(
        self,
        exchange: Exchange,
        number: int,
        *,
        is_begun: bool = False,
    ) -> None:
        if exchange.lost:
            return
        if number in self._pauses - self._has_paused:
            self._has_paused.add(number)
            if self.is_all_silent:
                self.server.fall_silent(self._silence)
            self._send_after(self._silence, exchange, number, is_begun)
            return
        if not is_begun:
            exchange.open_stream('i1', 'w1')
        exchange.chunk(self._events[number])
        if number + 1 < len(self._events):
            self._send_after(0, exchange, number + 1, is_begun=True)
        else:
            exchange.chunk(b'')

    def _send_after(
        self,
        delay: float,
        exchange: Exchange,
        number: int,
        is_begun: bool,
    ) -> None:
        reactor.callLater(
            delay, self._send, exchange, number, is_begun=is_begun
        )


def _keep_engine(context: Context, engine: _SilentEngine) -> None:
    context.silent = engine
    context.servers = [engine.server]


@given(
    'a scripted engine that is silent for {silence:g} s before its head '
    'and {keeping} streams',
)
def given_silent_head(context: Context, silence: float, keeping: str) -> None:
    """Prepare the engine."""
    engine = _SilentEngine(silence, frozenset((0,)))
    engine.keeps = keeping != _LOST
    _keep_engine(context, engine)


@given(
    'a scripted engine that is silent for {silence:g} s between its events '
    'and {keeping} streams',
)
def given_silent_stream(
    context: Context,
    silence: float,
    keeping: str,
) -> None:
    """Prepare the engine."""
    engine = _SilentEngine(silence, frozenset((_SILENT_AFTER,)))
    engine.keeps = keeping != _LOST
    _keep_engine(context, engine)


@given(
    'a scripted engine that is silent for {silence:g} s between its events, '
    'but answers resumes as unknown',
)
def given_silent_connection(context: Context, silence: float) -> None:
    """Prepare an engine of which only the stream is silent."""
    engine = _SilentEngine(silence, frozenset((_SILENT_AFTER,)))
    engine.is_all_silent = False
    _keep_engine(context, engine)


@given(
    'a scripted engine that falls silent for {silence:g} s before each of its '
    'last {count:d} events and drops streams',
)
def given_often_silent(context: Context, silence: float, count: int) -> None:
    """Prepare the engine."""
    last = len(_WORDS) + 2
    pauses = frozenset(range(last - count, last))
    _keep_engine(context, _SilentEngine(silence, pauses))


def _reject(exchange: Exchange) -> None:
    exchange.answer(429, b'{}')


def _reject_plain(exchange: Exchange) -> None:
    exchange.answer(503, b'{}')


@given('{second} scripted engine, and a retry budget that is {budget}')
def given_second_engine(context: Context, second: str, budget: str) -> None:
    """Start the engines and a router."""
    if second != 'no second':
        script = _reject if second == 'a rejecting' else answer
        context.servers.append(ScriptedServer(script))
    start_scripted(context, *context.servers)
    _spend_budget(context, MODEL_SERVICE, budget)


def _spend_budget(context: Context, service: str, budget: str) -> None:
    if budget == 'spent':
        state = context.router.dispatcher.services[service]
        state.budget = _SpentBudget()


@when('a routed {kind} is asked of the silent engine')
def when_asked(context: Context, kind: str) -> None:
    """Ask the silent engine first."""
    _ask_silent(context, stream=kind == 'stream')


@when('a routed stream is asked of the silent engine with {limit:d} ms')
def when_asked_with_limit(context: Context, limit: int) -> None:
    """Limit the time of the call."""
    _ask_silent(context, Yuccagauge_Timeout_Ms=str(limit))


def _prefer(context: Context, engine: Endpoint) -> None:
    """Place each call at an engine first, wherever it can take the call."""
    place = ServiceState.place

    def place_first(
        service: ServiceState,
        call: Call,
        blocked: frozenset[Endpoint],
        now: Millis,
    ) -> Decision:
        decision = place(service, call, blocked, now)
        ordered = sorted(
            decision.candidates, key=lambda each: each.engine != engine
        )
        return replace(decision, candidates=tuple(ordered))

    patch = mock.patch.object(ServiceState, 'place', place_first)
    patch.start()
    context.add_cleanup(patch.stop)


def _ask_silent(
    context: Context,
    *,
    stream: bool = True,
    **headers: str,
) -> None:
    silent = context.silent.server.endpoint
    _prefer(context, silent)
    context.fleet.wait_for_engines(len(context.servers))
    body = chat_body('shift', stream=stream)
    started_at = time.monotonic()
    context.answer = chat(context.router, body, **headers)
    context.duration = time.monotonic() - started_at
    attempts = _record(context)['attempts']
    assert attempts[0]['backend_server'] == str(silent), attempts


def _record(context: Context) -> dict[str, object]:
    request_id = context.answer.headers['yuccagauge-request-id']
    return admin(context.router, f'/explain/{request_id}')


@then('the routed stream is complete')
def then_complete_stream(context: Context) -> None:
    """Guard against a call that is ended although its server goes on."""
    found = context.answer
    request_id = found.headers['yuccagauge-request-id']
    expected = b''.join(frames(request_id, *_WORDS))
    assert found.body == expected, (context.duration, found)


@then('the routed object is complete')
def then_complete_object(context: Context) -> None:
    """Guard against a call that is ended although its server goes on."""
    found = context.answer
    assert found.status == 200, (context.duration, found)
    message = json.loads(found.body)['choices'][0]['message']
    assert message['content'] == ''.join(_WORDS), found


@then('at most {count:d} runs of it were at work, one after the other')
def then_runs(context: Context, count: int) -> None:
    """Guard against runs that are doubled for a silence."""
    attempts = _record(context)['attempts']
    runs = [each for each in attempts if each['kind'] != 'resume']
    assert len(runs) <= count, attempts
    for earlier, later in zip(runs, runs[1:], strict=False):
        ends = earlier['started_at'] + earlier['duration_ms']
        assert ends <= later['started_at'], attempts


@then('the routed stream ends with an error event in {least:d} to {most:d} s')
def then_error(context: Context, least: int, most: int) -> None:
    """Guard against calls that end too soon, and that never end."""
    assert least <= context.duration <= most, context.duration
    assert context.answer.error['code'] == 'deadline_exceeded', context.answer


@then('no request was suspected of a crash')
def then_no_suspicion(context: Context) -> None:
    """Guard against a silence that counts towards a quarantine."""
    quarantine = context.router.dispatcher.around.quarantine
    assert len(quarantine) == 0, quarantine.recent_suspicions(9, 0)


@given('a scripted plain server that is silent for {silence:g} s {state}')
def given_silent_plain(context: Context, silence: float, state: str) -> None:
    """Prepare the server."""
    first, second = _ANSWER_PARTS

    def finish(exchange: Exchange) -> None:
        exchange.transport.write(second)

    def script(exchange: Exchange) -> None:
        server.fall_silent(silence)
        if state == 'before its answer':
            server.when_awake(exchange.answer, 200, first + second)
            return
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        exchange.transport.write(head % len(first + second) + first)
        server.when_awake(finish, exchange)

    server = _SilentServer(script)
    context.servers = [server]


@given('{second} scripted server, and a retry budget that is {budget}')
def given_second_server(context: Context, second: str, budget: str) -> None:
    """Start the servers and a router."""
    if second != 'no second':
        script = _reject_plain if second == 'a rejecting' else _answer_plain
        context.servers.append(ScriptedServer(script))
    fleet = RouterFleet()
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    for server in context.servers:
        wait_for_call(server.start)
        context.add_cleanup(wait_for_call, server.close)
    fleet.publish_plain(context.servers)
    context.router = fleet.router()
    _spend_budget(context, PLAIN_SERVICE, budget)


def _answer_plain(exchange: Exchange) -> None:
    exchange.answer(200, b''.join(_ANSWER_PARTS))


@when('a {kind} is asked of the silent server')
def when_plain_asked(context: Context, kind: str) -> None:
    """Repeat until the silent server was chosen."""
    endpoint = context.router.endpoints[0]
    for _ in range(_TRIES):
        if kind == 'reading':
            context.answer = ask(endpoint, 'GET', _PATH)
        else:
            key = f'"{issue_key()}"'
            context.answer = ask(
                endpoint, 'POST', _PATH, _BODY, Idempotency_Key=key
            )
        if context.servers[0].requests:
            return
    raise AssertionError('the silent server was never chosen')


@then('the {kind} is answered by one run')
def then_plain_answered(context: Context, kind: str) -> None:
    """Guard against a call that is ended, or run twice, for a silence."""
    found: Answer = context.answer
    assert found.status == 200, found
    assert found.body == b''.join(_ANSWER_PARTS), found
    attempts = _record(context)['attempts']
    assert len(attempts) == 1, attempts
