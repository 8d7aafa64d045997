"""Steps for plain servers whose answers end with their connections."""

from collections import Counter
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features.unframed_service import (
    HALF_INTERVAL_S,
    UnframedPlainServer,
    UnframedService,
)
from yuccagauge.clock import Millis
from yuccagauge.verdict import Verdict

#: Time from a call to the disturbance: its server is amid the answer.
_BEGIN_S = HALF_INTERVAL_S / 2

#: Time for the end of a connection to leave its host, in seconds.
_END_S = 0.002

#: Time for all calls to end, in seconds.
_RUN_OUT_S = 6.0

#: Time from one call to a later one, whose connections are not those of the
#: first one any more, in seconds.
_LATER_S = 0.3

_TIMEOUT = Millis(5000)
_WHOLE_BODY = b'ok'
_NUMBERS = {'first': 1, 'second': 2}
_METHODS = {'booking': 'POST', 'reading': 'GET'}


@given('a plain service whose answers have {framing}')
def start_service(context: Context, framing: str) -> None:
    """Start the servers and a router."""
    context.service = UnframedService()
    for server in context.service.servers:
        server.is_framed = framing == 'a length'


@given('its servers end each connection with an answer')
def close_connections(context: Context) -> None:
    """Let the servers keep no connection open."""
    for server in context.service.servers:
        server.closes_connections = True


@given('the {number} connection to each server opens {delay:g} s later')
def delay_connection(context: Context, number: str, delay: float) -> None:
    """Lose the first packet of a connection."""
    opened: Counter[str] = Counter()

    def delay_s(source: str, host: str) -> float:
        opened[host] += 1
        return delay if opened[host] == _NUMBERS[number] else 0

    context.service.network.connect_delay_s = delay_s


@given('its servers serve one connection after the other')
def serve_in_sequence(context: Context) -> None:
    """Let the servers read nothing before the last connection has ended."""
    for server in context.service.servers:
        server.is_sequential = True


@when(
    'a {call} is answered by a server that is down for {down:g} s, and the '
    'router is paused for {pause:g} s'
)
def restart_while_paused(
    context: Context, call: str, down: float, pause: float
) -> None:
    """Pause the router as a server ends, so that it reads its end late."""

    def disturb(server: UnframedPlainServer) -> None:
        context.service.pause_router(pause)
        server.go_down(down)

    _disturb(context, call, disturb)


@when('a {call} is answered by a server that is down for {down:g} s')
def restart(context: Context, call: str, down: float) -> None:
    """End a server, which is back before its end can be looked for."""
    _disturb(context, call, lambda server: server.go_down(down))


@when(
    'a {call} is answered by a server that is killed, and its port stays open'
)
def kill_with_open_port(context: Context, call: str) -> None:
    """End a server whose port accepts connections all the same."""
    _disturb(context, call, UnframedPlainServer.leave_port_open)


@when('a {call} is answered while the router is paused for {pause:g} s')
def pause_router(context: Context, call: str, pause: float) -> None:
    """Pause the router while all servers live."""
    _disturb(context, call, lambda server: context.service.pause_router(pause))


@when(
    'a {call} is answered by a server that falls silent for {silence:g} s at '
    'its end'
)
def silence_server(context: Context, call: str, silence: float) -> None:
    """Let a server do nothing once it has ended an answer."""

    def fall_silent(server: UnframedPlainServer) -> None:
        server.later(_END_S, lambda: server.fall_silent(silence))

    _at_end_of_answers(context, fall_silent)
    _send(context, call)


@when(
    'a server loses power at the end of its answer to a booking with a '
    'deadline of {timeout:d} ms'
)
def cut_power(context: Context, timeout: int) -> None:
    """Let the deadline pass while nothing is heard of a server."""
    service = context.service

    def lose_power(server: UnframedPlainServer) -> None:
        server.later(
            _END_S,
            lambda: service.network.end_host(server.host, silently=True),
        )

    _at_end_of_answers(context, lose_power)
    service.book(Millis(timeout))
    service.run(_RUN_OUT_S)


@when('{count:d} bookings are made, {interval:g} s apart')
def book_together(context: Context, count: int, interval: float) -> None:
    """Let one booking end while others run."""
    for _ in range(count):
        context.service.book(_TIMEOUT)
        context.service.run(interval)
    context.service.run(_RUN_OUT_S)


@when('a {call} is answered')
def send_call(context: Context, call: str) -> None:
    """Send a call that nothing disturbs."""
    _send(context, call)


@when('a {first} is answered, and later a {call} without a length')
def send_after_framed(context: Context, first: str, call: str) -> None:
    """Let the servers leave out the length of an answer."""
    for _ in context.service.servers:
        context.service.send(_METHODS[first], _TIMEOUT)
        context.service.run(_LATER_S)
    for server in context.service.servers:
        server.is_framed = False
    _send(context, call)


@when('a request for the head of an answer is made')
def send_head(context: Context) -> None:
    """Ask for an answer without its body."""
    context.service.send('HEAD', _TIMEOUT)
    context.service.run(_RUN_OUT_S)


@then('the {call} ends as after a broken answer')
def check_broken(context: Context, call: str) -> None:
    """Guard against parts of answers, and against second runs of bookings."""
    service = context.service
    figures = (service.verdicts, service.sink.body, service.sink.refusal)
    request_id = str(len(service.sinks))
    if call == 'booking':
        assert service.verdicts == [Verdict.MAY_HAVE_RUN], figures
        assert service.sink.body == b'', figures
        assert service.runs_of(request_id) == 1
    else:
        assert service.verdicts == [Verdict.ANSWERED], figures
        assert service.sink.body == _WHOLE_BODY, figures
        assert service.runs_of(request_id) == 2


@then('the {call} has a whole answer of one run')
def check_whole(context: Context, call: str) -> None:
    """Guard against whole answers that are lost or asked for again."""
    service = context.service
    _check_whole(service, len(service.sinks) - 1)


@then('all bookings have whole answers of one run')
def check_all_whole(context: Context) -> None:
    """Guard against whole answers that are lost."""
    for number, _ in enumerate(context.service.sinks):
        _check_whole(context.service, number)


@then('it is answered after one run')
def check_answered_once(context: Context) -> None:
    """Guard against repetitions."""
    service = context.service
    figures = (service.verdicts, service.sink.refusal)
    assert service.verdicts == [Verdict.ANSWERED], figures
    assert service.runs_of('1') == 1


@then('the booking ends as one that may have run')
def check_may_have_run(context: Context) -> None:
    """Guard against verdicts that promise an answer."""
    refusal = context.service.sink.refusal
    assert refusal is not None
    assert refusal.verdict is Verdict.MAY_HAVE_RUN, refusal
    assert context.service.verdicts == [Verdict.MAY_HAVE_RUN]


def _check_whole(service: UnframedService, number: int) -> None:
    sink = service.sinks[number]
    figures = (number, service.verdicts, sink.body, sink.refusal)
    assert sink.body == _WHOLE_BODY, figures
    assert sink.refusal is None, figures
    assert service.runs_of(str(number + 1)) == 1, figures


def _send(context: Context, call: str) -> None:
    context.service.send(_METHODS[call], _TIMEOUT)
    context.service.run(_RUN_OUT_S)


def _at_end_of_answers(
    context: Context, action: Callable[[UnframedPlainServer], None]
) -> None:
    for server in context.service.servers:
        server.on_answered = action


def _disturb(
    context: Context,
    call: str,
    disturb: Callable[[UnframedPlainServer], None],
) -> None:
    """Make a call, and disturb the server that answers it."""
    service = context.service
    service.send(_METHODS[call], _TIMEOUT)
    service.run(_BEGIN_S)
    running = next(server for server in service.servers if server.running)
    disturb(running)
    service.run(_RUN_OUT_S)
