"""Reports, orders and cache events of model engines."""

import json
from typing import Any
from urllib.parse import urlencode

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.cachefeed.base import (
    CacheEvent,
    CacheEventBatch,
    HolderBusyError,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.connection import ConnectionPool
from yuccagauge.dispatch.fetch import Fetched, FetchError, fetch
from yuccagauge.platform import names
from yuccagauge.rollout.base import (
    EngineStatus,
    OrderAnswer,
    SwapMode,
    WeightsOrder,
)
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

_OK = 200
_TOO_MANY = 429

#: Time for an answer, beyond the time that the engine may wait.
_PATIENCE = Millis(1200)

_SWAP_MODES = {
    SwapMode.FINISH_RUNS: 'queue',
    SwapMode.RESET_RUNS: 'preempt',
}

_ANSWERS = {
    200: OrderAnswer.ALREADY_LOADED,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    421: OrderAnswer.MISDIRECTED,
}


class PlatformEngineClient:
    """Calls the engines' own interfaces.

    Parameters
    ----------
    reactor, pool
        Connect.
    holder
        Name of this router in its orders.
    """

    def __init__(self, reactor: Any, pool: ConnectionPool, holder: str) -> None:
        """Prepare without calling."""
        self._reactor = reactor
        self._pool = pool
        self._holder = holder

    @inlineCallbacks
    def read_status(self, server: BackendServer) -> Any:
        """Return the ``EngineStatus`` of an engine."""
        message = BackendMessage(method='GET', path=names.REPORT_PATH)
        found = yield self._call(server.endpoint, message, _PATIENCE)
        document = _json(found)
        try:
            return EngineStatus(
                is_busy=document['busy'],
                last_order_number=document['seq'],
                weights={
                    model['name']: model['version']
                    for model in document['models']
                },
                active=document['active'],
                queued=document['queued'],
            )
        except (KeyError, TypeError) as error:
            raise FetchError(
                f'unreadable report: {error}', Verdict.ANSWERED
            ) from None

    @inlineCallbacks
    def send_order(self, order: WeightsOrder) -> Any:
        """Give an order; return the ``OrderAnswer``."""
        document = {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            'swapMode': _SWAP_MODES[order.swap_mode],
            'holder': self._holder,
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
        found = yield self._call(order.server.endpoint, message, _PATIENCE)
        return _ANSWERS.get(found.head.status, OrderAnswer.REJECTED)

    @inlineCallbacks
    def poll_events(self, holder: Endpoint, since: int, wait: Millis) -> Any:
        """Return the ``CacheEventBatch`` of an engine or kept store."""
        message = BackendMessage(
            method='GET',
            path=f'{names.EVENTS_PATH}?{urlencode({"since": since})}',
            headers=((names.WAIT, str(wait).encode()),),
        )
        timeout = Millis(wait + _PATIENCE)
        found = yield self._call(holder, message, timeout)
        if found.head.status == _TOO_MANY:
            raise HolderBusyError('too many polls', Verdict.NOT_RUN)
        if found.head.status != _OK:
            raise FetchError(f'status {found.head.status}', Verdict.NOT_RUN)
        document = _json(found)
        try:
            return CacheEventBatch(
                epoch=document['bootEpoch'],
                next_sequence=document['next'],
                has_gap=document['lost'],
                events=tuple(
                    CacheEvent(
                        is_stored=row[1] == '+',
                        scope=row[2],
                        part_id=row[3],
                    )
                    for row in document['events']
                ),
            )
        except (KeyError, TypeError, IndexError) as error:
            raise FetchError(
                f'unreadable events: {error}', Verdict.ANSWERED
            ) from None

    def _call(
        self,
        endpoint: Endpoint,
        message: BackendMessage,
        timeout: Millis,
    ) -> Deferred[Fetched]:
        return fetch(self._reactor, self._pool, endpoint, message, timeout)


def _json(found: Fetched) -> dict[str, Any]:
    try:
        document = json.loads(found.body)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise FetchError('the answer is no JSON object', Verdict.ANSWERED)
    return document
