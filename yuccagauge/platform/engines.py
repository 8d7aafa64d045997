"""Status reports, weights orders and cache events of model engines."""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import urlencode

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.cachefeed.base import (
    CacheEvent,
    CacheEventBatch,
    HolderBusyError,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServiceSpec
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.fetch import Fetched, FetchError, fetch
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.documents import parse_document, replace_surrogates
from yuccagauge.platform import names
from yuccagauge.platform.requests import PlatformBackendProtocol
from yuccagauge.relay.adapter import AnswerListener
from yuccagauge.relay.base import ResponseInfo
from yuccagauge.relay.identity import process_name
from yuccagauge.rollout.base import (
    EngineStatus,
    OrderAnswer,
    SwapMode,
    WeightsOrder,
)
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

_OK = 200
_TOO_MANY_REQUESTS = 429

#: Timeout of a reply, beyond the time for which the engine may hold a poll.
_REPLY_TIMEOUT = Millis(1200)

#: Longest answer to a call of the router itself, in bytes. A router calls
#: several engines at a time.
_MAXIMUM_ANSWER = 2_097_152

#: Fields of a cache event that are read: number, sign, scope and part.
_EVENT_FIELDS = 4

#: A sequence number that no cache event has, so that an answer has no events.
_NO_EVENTS = 1_000_000_000

_SWAP_MODES = {
    SwapMode.FINISH_RUNS: 'queue',
    SwapMode.RESET_RUNS: 'preempt',
}

_ANSWER_BY_STATUS = {
    200: OrderAnswer.ALREADY_LOADED,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.MISDIRECTED,
}


class PlatformEngineClient:
    """Calls the HTTP interface of model engines.

    Parameters
    ----------
    reactor, pool
        Send the requests and time them out.
    router_name
        Name of this router, sent with each order.
    """

    def __init__(
        self,
        reactor: Any,
        pool: ConnectionPool,
        router_name: str,
    ) -> None:
        """Create the client; does not connect."""
        self._reactor = reactor
        self._pool = pool
        self._router_name = router_name
        self._protocol = PlatformBackendProtocol()
        #: Called when a request goes out; see ``AnswerListener``.
        self.answer_listeners: list[AnswerListener] = []

    def through(self, pool: ConnectionPool) -> 'PlatformEngineClient':
        """Return a client that uses other connections."""
        return PlatformEngineClient(self._reactor, pool, self._router_name)

    @inlineCallbacks
    def read_status(self, server: BackendServer) -> Any:
        """Request the report of an engine and return its ``EngineStatus``."""
        message = BackendMessage(method='GET', path=names.REPORT_PATH)
        response = yield self._fetch(server.endpoint, message, _REPLY_TIMEOUT)
        document = json_object(response)
        try:
            return EngineStatus(
                is_busy=document['busy'],
                last_order_number=document['seq'],
                weights={
                    model['name']: model['version']
                    for model in document['models']
                },
                active_calls=document['active'],
                queued_calls=document['queued'],
            )
        except (KeyError, TypeError) as error:
            raise FetchError(
                f'malformed engine report: {error}', Verdict.ANSWERED
            ) from None

    @inlineCallbacks
    def read_process_name(self, server: BackendServer, timeout: Millis) -> Any:
        """Return what names the process of a server; empty if nothing does.

        That is its start, if its entry states one to compare with, or else the
        epoch of its cache events, which the router knows from its polls.
        """
        started_at = 0
        if server.started_at:
            started_at = yield self._read_start_time(server, timeout)
        if started_at:
            return process_name(started_at)
        epoch = yield self._read_cache_epoch(server, timeout)
        if epoch is None and not server.started_at:
            started_at = yield self._read_start_time(server, timeout)
        return process_name(
            started_at, epoch, is_listed=bool(server.started_at)
        )

    @inlineCallbacks
    def _read_start_time(self, server: BackendServer, timeout: Millis) -> Any:
        """Return the start time that a server reports; 0 if it has none."""
        message = _question(server, names.REPORT_PATH)
        response = yield self._fetch(server.endpoint, message, timeout)
        return _start_time(response)

    @inlineCallbacks
    def _read_cache_epoch(self, server: BackendServer, timeout: Millis) -> Any:
        """Return the epoch of the cache events; ``None`` if there is none.

        Raises
        ------
        FetchError
            If there is no answer.
        """
        path = f'{names.CACHE_EVENTS_PATH}?since={_NO_EVENTS}'
        message = _question(server, path)
        response = yield self._fetch(server.endpoint, message, timeout)
        if response.head.status != _OK:
            return None
        try:
            return json_object(response).get('bootEpoch')
        except FetchError:
            return None

    def encode_check(
        self, server: BackendServer, service: ServiceSpec
    ) -> BackendMessage | None:
        """Return a request that a server answers whatever its load is.

        Plain servers have no report, and their services may have no path for
        health checks.
        """
        path = names.REPORT_PATH if service.is_model else service.health_path
        if not path:
            return None
        return _question(server, path)

    @inlineCallbacks
    def read_health(self, server: BackendServer, path: str) -> Any:
        """Return whether a server says that it is healthy and does not leave.

        Another process may answer at its address, so the answer has to name it.
        """
        message = _question(server, path)
        response = yield self._fetch(server.endpoint, message, _REPLY_TIMEOUT)
        info = self._protocol.parse_head(response.head)
        is_healthy = response.head.status == _OK and not info.is_leaving
        return is_healthy and info.server_id == server.server_id

    @inlineCallbacks
    def send_order(
        self, order: WeightsOrder, may_send: Callable[[], bool]
    ) -> Any:
        """Send a weights order and return the ``OrderAnswer``."""
        document = {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            'swapMode': _SWAP_MODES[order.swap_mode],
            'holder': self._router_name,
            'fence': order.fencing_token,
            'expected': order.expected_order_number,
        }
        message = BackendMessage(
            method='POST',
            path=names.ORDER_PATH,
            headers=(
                (b'Content-Type', b'application/json'),
                (names.EXPECT_INSTANCE, order.server.server_id.encode()),
            ),
            body=json.dumps(document).encode(),
        )
        response = yield self._fetch(
            order.server.endpoint, message, _REPLY_TIMEOUT, may_send
        )
        return _ANSWER_BY_STATUS.get(response.head.status, OrderAnswer.REJECTED)

    @inlineCallbacks
    def poll_events(self, holder: Endpoint, since: int, wait: Millis) -> Any:
        """Return the ``CacheEventBatch`` of an engine or KV cache store."""
        message = BackendMessage(
            method='GET',
            path=f'{names.CACHE_EVENTS_PATH}?{urlencode({"since": since})}',
            headers=((names.WAIT_MS, str(wait).encode()),),
        )
        timeout = Millis(wait + _REPLY_TIMEOUT)
        response = yield self._fetch(holder, message, timeout)
        if response.head.status == _TOO_MANY_REQUESTS:
            raise HolderBusyError('too many concurrent polls', Verdict.NOT_RUN)
        if response.head.status != _OK:
            raise FetchError(
                f'unexpected status {response.head.status}', Verdict.NOT_RUN
            )
        document = json_object(response, parse=json.loads)
        return event_batch(document)

    def _fetch(
        self,
        endpoint: Endpoint,
        message: BackendMessage,
        timeout: Millis,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Deferred[Fetched]:
        takers: list[Callable[[ResponseInfo], None]] = []

        def begin() -> bool:
            takers.clear()
            takers.extend(listen(endpoint) for listen in self.answer_listeners)
            return may_send()

        fetching = fetch(
            self._reactor,
            self._pool,
            endpoint,
            message,
            timeout,
            maximum=_MAXIMUM_ANSWER,
            may_send=begin,
        )
        return fetching.addCallback(self._report_answer, takers)

    def _report_answer(
        self,
        response: Fetched,
        takers: Iterable[Callable[[ResponseInfo], None]],
    ) -> Fetched:
        """Report what the engine states about itself."""
        info = self._protocol.parse_head(response.head)
        for take in takers:
            take(info)
        return response


def event_batch(document: dict[str, Any]) -> CacheEventBatch:
    """Return the cache events of an answer, with texts that can be sent on.

    Raises
    ------
    FetchError
        If a field is missing or of another type.
    """
    try:
        epoch = document['bootEpoch']
        return CacheEventBatch(
            epoch=replace_surrogates(epoch)
            if isinstance(epoch, str)
            else epoch,
            next_sequence=document['next'],
            has_gap=document['lost'],
            events=tuple(_cache_events(document['events'])),
        )
    except (KeyError, TypeError) as error:
        raise FetchError(
            f'malformed cache events: {error}', Verdict.ANSWERED
        ) from None


def _cache_events(rows: Iterable[Any]) -> Iterator[CacheEvent]:
    """Return the events of the rows that have them.

    A row that is left out is like an event that does not arrive.
    """
    for row in rows:
        if isinstance(row, list) and len(row) >= _EVENT_FIELDS:
            _, sign, scope, part_id = row[:_EVENT_FIELDS]
            if isinstance(scope, str) and isinstance(part_id, str):
                yield CacheEvent(
                    is_stored=sign == '+',
                    cache_scope=scope,
                    part_id=replace_surrogates(part_id),
                )


def _question(server: BackendServer, path: str) -> BackendMessage:
    """Return a request that no other server answers at the same address."""
    expected = (names.EXPECT_INSTANCE, server.server_id.encode())
    return BackendMessage(method='GET', path=path, headers=(expected,))


def _start_time(response: Fetched) -> int:
    """Return the start time that a response states; 0 if it states none."""
    try:
        born = json_object(response).get('born')
    except FetchError:
        return 0
    is_time = isinstance(born, int) and not isinstance(born, bool)
    return born if is_time else 0


def json_object(
    response: Fetched, parse: Callable[[bytes], Any] = parse_document
) -> dict[str, Any]:
    """Return the JSON object of an answer.

    Parameters
    ----------
    parse
        Reads the body; ``json.loads`` if texts are looked at one by one.

    Raises
    ------
    FetchError
        If there is none.
    """
    try:
        document = parse(response.body)
    except ValueError:
        document = None
    if response.head.status != _OK or not isinstance(document, dict):
        reason = f'status {response.head.status} without a JSON object'
        raise FetchError(reason, Verdict.ANSWERED)
    return document
