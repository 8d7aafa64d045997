"""Steps for router processes."""

import functools
import http.client
import json
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.loop import (
    join_thread,
    run_blocking,
    start_thread,
    wait_until,
)
from features.router_fleet import (
    Answer,
    RouterFleet,
    admin,
    ask,
    blocking_ask,
    chat_body,
)
from yuccagauge.burn.report import build_report
from yuccagauge.settings.options import Endpoint, parse_endpoint
from yuccagauge.settings.reader import render

_CHAT = '/v1/chat/completions'
_DONE = b'data: [DONE]\n\n'
_GRACE_MS = 1500
#: The slow stream ends after the grace period: 16 to 40 tokens at 8 a second.
_SLOW_TOKENS = 40
_SLOW_RATE = 8


class _Process:
    """One ``yuccagauge`` process that prints where it listens."""

    def __init__(self, context: Context, raw: Any, *command: str) -> None:
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        path = Path(folder.name) / 'settings.ini'
        path.write_text(render(raw), encoding='utf-8')
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'yuccagauge', *command, str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        context.add_cleanup(self.process.wait)
        context.add_cleanup(self.process.kill)
        self.ready = json.loads(run_blocking(self.process.stdout.readline))

    def endpoint(self, name: str) -> Endpoint:
        """Return one of the addresses that it printed."""
        return parse_endpoint(self.ready[name])


class _Server:
    """Stands for a process where the document needs its address."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint


@given('two router processes before an engine process')
def given_processes(context: Context) -> None:
    """Start the platform here and the rest as processes."""
    fleet = RouterFleet()
    context.add_cleanup(fleet.close)
    engine = _Process(
        context,
        {'engine': {'decode_tokens_per_second': str(_SLOW_RATE)}},
        'standin',
        'engine',
    )
    fleet.publish_model([_Server(engine.endpoint('address'))])
    context.processes = []
    # Seeds need the same free port for UDP and TCP before the start.
    peers = [f'127.0.0.1:{_free_port()}' for _ in range(2)]
    for name, peer in zip(('r1', 'r2'), peers, strict=True):
        raw = fleet.settings(name, peers={'seeds': ','.join(peers)})
        raw['router']['peer_listen'] = peer
        raw['router']['drain_grace_ms'] = str(_GRACE_MS)
        context.processes.append(_Process(context, raw, 'router'))
    for process in context.processes:
        wait_until(functools.partial(_serves, process))


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def _serves(process: _Process) -> bool:
    return _chat(process).status == 200


def _chat(process: _Process) -> Answer:
    return ask(process.endpoint('listen'), 'POST', _CHAT, chat_body())


@when('each router process is asked for a chat')
def when_asked(context: Context) -> None:
    """Ask both."""
    context.answers = [_chat(process) for process in context.processes]


@then('each of them answers with a whole stream')
def then_whole(context: Context) -> None:
    """Check the end of both."""
    for answered in context.answers:
        assert answered.body.endswith(_DONE), answered


@then('each of them shows the same version in force')
def then_versions(context: Context) -> None:
    """Compare the status of both."""
    documents = [
        json.loads(
            ask(process.endpoint('admin_listen'), 'GET', '/status').body,
        )['documents']
        for process in context.processes
    ]
    assert documents[0]['matcher-llm']['version'] == 0, documents
    assert documents[0] == documents[1]


@then('each of them lists both as members')
def then_members(context: Context) -> None:
    """Wait until both are alive in both views."""
    for process in context.processes:
        wait_until(functools.partial(_sees_both, process))


def _sees_both(process: _Process) -> bool:
    answered = ask(process.endpoint('admin_listen'), 'GET', '/members')
    members = json.loads(answered.body)['members']
    alive = {each['name'] for each in members if each['state'] == 'alive'}
    return alive == {'r1', 'r2'}


@when('the first router process gets SIGTERM in the middle of a slow stream')
def when_terminated(context: Context) -> None:
    """Begin a stream and read its first bytes."""
    context.router_process = context.processes[0]
    endpoint = context.router_process.endpoint('listen')
    context.slow = run_blocking(_begin_stream, endpoint)
    context.first_bytes = run_blocking(context.slow.read, 1)
    context.router_process.process.send_signal(signal.SIGTERM)


def _begin_stream(endpoint: Endpoint) -> http.client.HTTPResponse:
    connection = http.client.HTTPConnection(endpoint.host, endpoint.port)
    headers = {'Authorization': 'Bearer walvis-bay'}
    body = chat_body(max_tokens=_SLOW_TOKENS)
    connection.request('POST', _CHAT, body, headers)
    return connection.getresponse()


@then('its health check answers 503 during the grace period')
def then_unhealthy(context: Context) -> None:
    """Wait until the signal has been handled."""
    endpoint = context.router_process.endpoint('listen')
    wait_until(lambda: ask(endpoint, 'GET', '/healthz').status == 503)


@then('it still serves a new chat during the grace period')
def then_serves(context: Context) -> None:
    """Ask for a short stream."""
    answered = _chat(context.router_process)
    assert answered.body.endswith(_DONE), answered
    assert answered.headers['connection'] == 'close'


@then('its slow stream is complete')
def then_complete(context: Context) -> None:
    """Read the rest."""
    found = context.first_bytes + run_blocking(context.slow.read)
    assert found.endswith(_DONE), found[-200:]


@then('it ends with exit code 0')
def then_ends(context: Context) -> None:
    """Wait for the end of the process."""
    assert run_blocking(context.router_process.process.wait) == 0


@when('the engine takes the role "{role}"')
def when_role(context: Context, role: str) -> None:
    """Order it."""
    order = {'kind': 'set-role', 'role': role, 'fence': 1}
    endpoint = context.engines[0].endpoint
    answered = ask(endpoint, 'POST', '/orders', json.dumps(order).encode())
    assert answered.status == 200, answered


@then(
    'the admin interface explains that the engine gets no work as "{reason}"',
)
def then_explained(context: Context, reason: str) -> None:
    """Wait for the next load report."""
    expected = f'gets no work: {reason}'

    def explained() -> bool:
        backends = admin(context.router, '/backends')['backends']
        return backends[0]['explanation'] == expected

    wait_until(explained)


@when('the VM list calls the first engine "{state}"')
def when_listed(context: Context, state: str) -> None:
    """Set the VM list of the scenario's platform."""
    vm = {
        'address': str(context.engines[0].endpoint),
        'data_centre': 'khomas-a',
        'service': 'matcher-llm',
        'state': state,
    }
    endpoint = context.fleet.vm_list.endpoint
    body = json.dumps({'vms': [vm]}).encode()
    assert ask(endpoint, 'PUT', '/vms', body).status == 200


@then('the router takes the first engine out of use')
def then_out(context: Context) -> None:
    """Wait until the router shows the engine as drained."""
    engine = str(context.engines[0].endpoint)
    wait_until(lambda: engine in _drained(context))


@then('the router takes the first engine into use')
def then_in(context: Context) -> None:
    """Wait until the router no longer shows the engine as drained."""
    engine = str(context.engines[0].endpoint)
    wait_until(lambda: engine not in _drained(context))


def _drained(context: Context) -> list[str]:
    return admin(context.router, '/status')['drains']['matcher-llm']


@then('{count:d} routed chats all run on the second engine')
def then_second(context: Context, count: int) -> None:
    """Read from the engines' records where the chats ran."""
    before = len(context.engines[0].records)
    for number in range(count):
        body = chat_body(f'Does worker {number} match?')
        answered = ask(context.router.endpoints[0], 'POST', _CHAT, body)
        assert answered.body.endswith(_DONE), answered
    assert len(context.engines[0].records) == before
    kinds = [record['kind'] for record in context.engines[1].records]
    assert kinds.count('started') >= count, kinds


@given('a router whose services have no document')
def given_bare_router(context: Context) -> None:
    """Start a router before anything is published."""
    fleet = RouterFleet()
    context.add_cleanup(fleet.close)
    context.router = fleet.router()


@when('it is asked for a chat with a credential that it cannot know')
def when_unknown(context: Context) -> None:
    """Ask with the credential of the later document."""
    endpoint = context.router.endpoints[0]
    context.answered = ask(endpoint, 'POST', _CHAT, chat_body())


@then(
    'the chat is refused with {status:d}, "{verdict}" and "{code}", to be retried'
)
def then_refused(
    context: Context,
    status: int,
    verdict: str,
    code: str,
) -> None:
    """Check status, verdict, code and Retry-After."""
    answered = context.answered
    assert answered.status == status, answered
    assert answered.verdict == verdict
    assert answered.error['code'] == code
    assert int(answered.headers['retry-after']) >= 1


@given('a routed model service with an objective and {count:d} engines')
def given_objective(context: Context, count: int) -> None:
    """Start engines and a router under a document with an objective."""
    fleet = RouterFleet()
    context.add_cleanup(fleet.close)
    engines = [fleet.standin('engine') for _ in range(count)]
    objective = {'objective first': {'time_to_first_token_ms': '620'}}
    fleet.publish_model(engines, **objective)
    context.router = fleet.router()
    fleet.wait_for_engines(count)


@when('{count:d} routed chats are answered')
def when_answered(context: Context, count: int) -> None:
    """Ask for whole answers."""
    for _ in range(count):
        answered = ask(context.router.endpoints[0], 'POST', _CHAT, chat_body())
        assert answered.body.endswith(_DONE), answered


@then('the objective report of the router counts {count:d} requests')
def then_counted(context: Context, count: int) -> None:
    """Build the report from what the admin interface answers."""
    report = build_report([admin(context.router, '/burn')])
    assert report.summary, report
    assert {line.requests for line in report.summary} == {count}


@given('a routed model service whose only engine is in another data centre')
def given_elsewhere(context: Context) -> None:
    """Start one engine in khomas-b and a router in khomas-a."""
    fleet = RouterFleet()
    context.add_cleanup(fleet.close)
    engine = fleet.standin('engine')
    fleet.publish_model([engine], backend={'data_centre': 'khomas-b'})
    context.engine = engine
    context.router = fleet.router()
    fleet.wait_for_engines(1)


@when('its load report is renewed')
def when_renewed(context: Context) -> None:
    """Wait for a report that is younger than the first."""
    first = _report_time(context)
    wait_until(lambda: _report_time(context) > first)


def _report_time(context: Context) -> int:
    endpoint = context.engine.endpoint
    service = context.router.dispatcher.services['matcher-llm']
    return service.table_of(endpoint).last_report(endpoint).measured_at


@then('a routed chat runs on it')
def then_runs(context: Context) -> None:
    """Ask for a whole answer."""
    answered = ask(context.router.endpoints[0], 'POST', _CHAT, chat_body())
    assert answered.body.endswith(_DONE), answered


@given('a routed plain service with an objective and a slow server')
def given_slow_server(context: Context) -> None:
    """Start a server that takes a second for a call."""
    fleet = RouterFleet()
    context.add_cleanup(fleet.close)
    server = fleet.standin('plain')
    knobs = json.dumps({'delay_ms': 1000}).encode()
    assert ask(server.endpoint, 'PUT', '/_faults', knobs).status == 200
    objective = {'objective done': {'target': '0.99'}}
    fleet.publish_plain([server], **objective)
    context.router = fleet.router()


@when('a booking is sent twice with the same key')
def when_twice(context: Context) -> None:
    """Send the second call while the first one runs."""
    endpoint = context.router.endpoints[0]
    keys = ask(endpoint, 'POST', '/v1/idempotency-keys')
    headers = {'Idempotency_Key': json.loads(keys.body)['idempotency_key']}
    found: list[Answer] = []
    first = start_thread(lambda: found.append(_book(endpoint, headers)))
    service = context.router.dispatcher.services['roster-api']
    wait_until(lambda: context.router.dispatcher.running > 0)
    wait_until(lambda: service.around.claims.counters.get('granted'))
    assert run_blocking(_book, endpoint, headers).status == 409
    join_thread(first)
    assert found[0].status == 200, found[0]


def _book(endpoint: Endpoint, headers: dict[str, str]) -> Answer:
    path = '/services/roster-api/bookings'
    return blocking_ask(endpoint, 'POST', path, b'{"shift": 1}', headers)
