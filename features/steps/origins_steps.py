"""Steps for the origins of streams."""

import json
from functools import partial
from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock as TaskClock
from twisted.internet.task import deferLater

from features.relay_fixture import KEY, MODEL_HEADERS, configuration, request
from features.relay_servers import event, send_events, stream_events
from features.rollout_engines import VirtualClock
from features.scripted_server import Exchange
from features.steps.relay_steps import (
    add_engine,
    send_request,
    start_relay_with_engine,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, Route, ServerState
from yuccagauge.exchange import parts
from yuccagauge.origins.archive import VersionArchive
from yuccagauge.origins.base import (
    ORIGIN_LIFETIME,
    StreamOrigin,
    origin_key,
)
from yuccagauge.origins.versions import VersionHistory
from yuccagauge.platform.records import PlatformRecordDecoder
from yuccagauge.relay.base import CallFields
from yuccagauge.relay.relay import Relay
from yuccagauge.settings.options import Endpoint


class _KnownOrigins:
    """Keeps the origins of a test."""

    def __init__(self) -> None:
        self.origins: dict[bytes, StreamOrigin] = {}

    def record(self, key: bytes, origin: StreamOrigin) -> None:
        """Keep an origin."""
        self.origins[key] = origin

    def keep(self, key: bytes, origin: StreamOrigin) -> Deferred[None]:
        """Keep an origin at once."""
        self.record(key, origin)
        return succeed(None)

    def find(self, key: bytes) -> Deferred[StreamOrigin | None]:
        """Return an origin at once."""
        return succeed(self.origins.get(key))


class _StatedName:
    """Engines that all state the same name of their process."""

    def __init__(self, name: str) -> None:
        self._name = name

    def through(self, pool: Any) -> '_StatedName':
        """Return this source."""
        return self

    def read_process_name(
        self, server: BackendServer, timeout: Millis
    ) -> Deferred[str]:
        """Return the name at once."""
        return succeed(self._name)


def _start(context: Context, versions: str, script: object) -> None:
    context.versions = versions.split()
    start_relay_with_engine(context, script)
    for _ in context.versions[1:]:
        add_engine(context, script)
    for number, version in enumerate(context.versions):
        _list(context, number, version)
    context.origins = _KnownOrigins()
    context.fixture.relay_context.use_origin_store(context.origins)


def _split(document: dict[str, Any], **weights: int) -> None:
    """Split a route of a configuration."""
    route = next(
        each for each in document['routes'] if each['name'] == 'resume'
    )
    route['trafficSplit'] = [
        {'service': name, 'weight': weight} for name, weight in weights.items()
    ]


def _list(context: Context, number: int, version: str) -> None:
    context.fixture.add_server(
        f'i{number}', 'model', context.servers[number], version=version
    )


@given(
    'a relay with engines of the versions "{versions}" that know how to go on'
)
def relay_with_versions(context: Context, versions: str) -> None:
    """Start engines that go on with any stream."""
    _start(context, versions, stream_events(4, resets=False))


@given(
    'a relay with engines of the versions "{versions}" whose streams break off'
)
def relay_with_breaking_engines(context: Context, versions: str) -> None:
    """Start engines that reset each stream after an event."""
    _start(context, versions, send_events(event(1), resets=True))


@given('the process of the engines is "{name}"')
def name_process(context: Context, name: str) -> None:
    """Let the relay ask the engines which process they run."""
    context.fixture.relay_context.use_process_names(_StatedName(name))


@then(
    'the stream "{request_id}" of the customer "{customer}" is still known to'
    ' be begun by "{version}"'
)
def check_origin(
    context: Context, request_id: str, customer: str, version: str
) -> None:
    """Guard against origins that change as a stream is taken up."""
    origin = context.origins.origins[origin_key(customer, request_id)]
    assert origin.software_version == version, origin


@given('the route is split, and all its calls get these engines')
def split_without_weight(context: Context) -> None:
    """Add a service that gets no call."""
    document = configuration()
    document['version'] += 1
    _split(document, model=1, plain=0)
    context.fixture.configure(document)


@given('the engine of "{version}" has left')
def remove_engine(context: Context, version: str) -> None:
    """Remove the entry of an engine."""
    context.fixture.remove_server(f'i{context.versions.index(version)}')


@given(
    'the stream "{request_id}" of the customer "{customer}" was begun by "{version}"'
)
def record_origin(
    context: Context, request_id: str, customer: str, version: str
) -> None:
    """Let the origin of a stream be known."""
    origin = StreamOrigin(service='model', software_version=version)
    context.origins.record(origin_key(customer, request_id), origin)


@given(
    'the stream "{request_id}" of the customer "{customer}" was begun by '
    '"{version}" of another service'
)
def record_other_service(
    context: Context, request_id: str, customer: str, version: str
) -> None:
    """Let a stream have begun before its route moved."""
    origin = StreamOrigin(service='old', software_version=version)
    context.origins.record(origin_key(customer, request_id), origin)


@given('the engine of "{old}" restarts as "{new}" before it answers')
def restart_engine(context: Context, old: str, new: str) -> None:
    """Let the entry change between the send and the answer."""
    number = context.versions.index(old)
    server = context.servers[number]
    answer = server.script

    def restart(exchange: Exchange) -> None:
        _list(context, number, new)
        answer(exchange)

    server.script = restart


def _fail(*_: object) -> None:
    raise RuntimeError('unexpected')


@given(
    'the origin of a stream is found after {ms:d} ms, and the selection of a '
    'server then fails'
)
def fail_after_origin(context: Context, ms: int) -> None:
    """Answer the question for an origin late, and break what follows."""
    origin = StreamOrigin(service='model', software_version='v1')

    def find(key: bytes) -> Deferred[StreamOrigin | None]:
        return deferLater(reactor, ms / 1000, lambda: origin)

    context.origins.find = find
    context.fixture.selector.choose = _fail


@when('a caller takes up the stream of "{request_id}" after event {number:d}')
def take_up(context: Context, request_id: str, number: int) -> None:
    """Send a request for the rest of a stream."""
    headers = (*MODEL_HEADERS, f'Last-Event-Id: {number}')
    send_request(
        context,
        request('resume', headers=(*headers, f'Resumes: {request_id}')),
    )


@when('a caller takes up the stream of "" after event {number:d}')
def take_up_nameless(context: Context, number: int) -> None:
    """Send a request for the rest of a stream that it does not name."""
    headers = (*MODEL_HEADERS, f'Last-Event-Id: {number}')
    send_request(context, request('resume', headers=headers))


@then('the caller gets status {status:d} and the code "{code}"')
def check_code(context: Context, status: int, code: str) -> None:
    """Compare the status, and the code of a refusal."""
    received = context.caller.read_until(b'}' if code else b'\r\n\r\n')
    assert received.startswith(b'HTTP/1.1 %d' % status), received
    assert code.encode() in received, received


@then('the caller gets status {status:d} and the code ""')
def check_success(context: Context, status: int) -> None:
    """Compare the status of an answer."""
    check_code(context, status, '')


@then('an engine of "{version}" was asked to go on after "{number}"')
def check_engine(context: Context, version: str, number: str) -> None:
    """Guard against a stream whose rest does not fit."""
    asked = [
        (name, headers['last-event-id'])
        for name, server in zip(context.versions, context.servers, strict=True)
        for headers in server.headers
    ]
    assert asked == [(version, number)], asked


@given('a relay whose route is split between two services')
def split_route(context: Context) -> None:
    """Decode a configuration with a traffic split."""
    document = configuration()
    _split(document, model=60, plain=40)
    decoder = PlatformRecordDecoder()
    decoded = decoder.decode_operator_record(
        'config', json.dumps(document).encode()
    )
    context.route = decoded.find_route('test.example', '/resume/x')
    context.customer = decoded.customer_by_api_key[KEY]
    start_relay_with_engine(context, stream_events(4, resets=False))


@when('callers begin and take up {count:d} streams')
def draw_services(context: Context, count: int) -> None:
    """Draw the service of each try."""
    draw = partial(
        _draw, context.fixture.relay, context.route, context.customer
    )
    context.drawn = [
        (
            draw(
                CallFields(
                    request_id=f'a{number}', host='', caller_timeout=None
                )
            ),
            draw(
                CallFields(
                    request_id=f'b{number}',
                    host='',
                    caller_timeout=None,
                    resumed_request_id=f'a{number}',
                )
            ),
        )
        for number in range(count)
    ]


def _draw(
    relay: Relay, route: Route, customer: object, fields: CallFields
) -> str:
    return relay.draw_service(route, fields, customer)


@then('each stream is placed at one service, and both services get some')
def check_draw(context: Context) -> None:
    """Guard against a stream that goes on at another service by chance."""
    assert all(first == second for first, second in context.drawn)
    assert {first for first, _ in context.drawn} == {'model', 'plain'}


def _servers(versions: str) -> list[BackendServer]:
    return [
        BackendServer(
            server_id=version,
            service='model',
            endpoint=Endpoint('10.0.0.1', number),
            data_centre='a',
            slots=1,
            state=ServerState.READY,
            software_version=version,
        )
        for number, version in enumerate(versions.split())
    ]


@given('a history of the versions "{first}" and one of "{second}"')
def two_histories(context: Context, first: str, second: str) -> None:
    """Let one history be long, and the other one begin now."""
    context.histories = [VersionHistory(), VersionHistory()]
    context.now = ORIGIN_LIFETIME
    context.histories[0].observe(_servers(first), Millis(0))
    context.histories[0].observe(_servers(first), context.now)
    context.histories[1].observe(_servers(second), context.now)


@when('the second one merges the message of the first one')
def merge_histories(context: Context) -> None:
    """Pass the versions through the parts of a message."""
    sender, receiver = context.histories
    fields = parts.versions(sender, context.now)
    receiver.merge(
        parts.version_sightings(fields['versions']),
        Millis(fields['versions_known_ms']),
        context.now,
    )


@then('both know the versions "{versions}", and how far back')
def check_histories(context: Context, versions: str) -> None:
    """Compare both."""
    for history in context.histories:
        assert history.versions_of('model') == set(versions.split())
        assert history.known_age(context.now) == ORIGIN_LIFETIME


class _Store:
    """Keeps versions in memory."""

    def __init__(self, versions: dict[str, tuple[str, ...]]) -> None:
        self.versions = versions

    def list_versions(self) -> Deferred[dict[str, tuple[str, ...]]]:
        """Return all."""
        return succeed(dict(self.versions))

    def write_versions(
        self, service: str, versions: tuple[str, ...]
    ) -> Deferred[None]:
        """Keep or remove the versions of a service."""
        self.versions[service] = versions
        return succeed(None)


@given('an archive over a store with the versions "{versions}"')
def archive_with_versions(context: Context, versions: str) -> None:
    """Create the archive of a router that starts."""
    context.reactor = TaskClock()
    context.history = VersionHistory()
    context.version_store = _Store({'model': tuple(versions.split())})
    context.archive = VersionArchive(
        context.history,
        context.version_store,
        context.reactor,
        VirtualClock(context.reactor),
        lambda: True,
    )


@when('a router starts with engines of "{version}" only')
def start_archive(context: Context, version: str) -> None:
    """List the engines, and read the store."""
    context.history.observe(_servers(version), Millis(0))
    context.archive.start()
    context.add_cleanup(context.archive.close)
    context.reactor.advance(1)


@then('it knows that "{versions}" may have begun a stream')
def check_archive(context: Context, versions: str) -> None:
    """Guard against a router that takes the present version for the only one."""
    assert context.history.versions_of('model') == set(versions.split())
    assert context.history.only_version('model', Millis(1000)) is None


@then('it writes "nothing" once "{version}" is forgotten')
def check_removal(context: Context, version: str) -> None:
    """Guard against a roll-out that counts for ever."""
    later = Millis(ORIGIN_LIFETIME + 1000)
    context.history.observe(_servers('v2'), later)
    context.reactor.advance(1)
    assert version not in context.history.versions_of('model')
    assert not context.version_store.versions['model']
