"""Read an engine's state and send it orders, over HTTP."""

import enum
from dataclasses import dataclass

from treq.client import HTTPClient
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool

from yuccagauge.clock import Millis
from yuccagauge.errors import UnavailableError
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.http import NumericEndpointFactory

_MILLISECONDS_PER_SECOND = 1000
_OK = 200
_FIRST_ERROR = 300
_CONFLICT = 409


class EngineUnavailableError(UnavailableError):
    """An engine that does not answer, or not in time."""


@enum.unique
class OrderAnswer(enum.Enum):
    """What an engine made of an order."""

    ACCEPTED = 'accepted'
    #: Its fence is older than one that the engine has seen.
    FENCED_OFF = 'fenced-off'
    #: It may take effect, now or later.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine reports of itself."""

    incarnation: str
    weights_version: str


class EnginePort:
    """The calls of lease holders to engines.

    Parameters
    ----------
    reactor
        The reactor that connects and keeps time.
    timeout
        Bound on each call, in milliseconds. A load of weights may be
        answered only when it is done, and then counts as unknown.
    """

    def __init__(
        self,
        reactor: object,
        *,
        timeout: Millis = Millis(2000),
    ) -> None:
        """Open no connection yet."""
        self._reactor = reactor
        self._seconds = timeout / _MILLISECONDS_PER_SECOND
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        agent = Agent.usingEndpointFactory(
            reactor,
            NumericEndpointFactory(reactor),
            self._pool,
        )
        self._http = HTTPClient(agent)

    @inlineCallbacks
    def state(self, engine: Endpoint) -> Deferred[EngineState]:
        """Read the state of an engine.

        Raises
        ------
        EngineUnavailableError
            If it gives none.
        """
        call = self._read(f'http://{engine}/load')
        call.addTimeout(self._seconds, self._reactor)
        try:
            report = yield call
            state = EngineState(
                incarnation=str(report['incarnation']),
                weights_version=str(report['weights_version']),
            )
        except Exception as error:
            raise EngineUnavailableError(f'{engine}: {error!r}') from error
        return state

    @inlineCallbacks
    def load_version(
        self,
        engine: Endpoint,
        version: str,
        fence: int,
    ) -> Deferred[OrderAnswer]:
        """Order an engine to load a weights version."""
        order = {'kind': 'load-version', 'fence': fence, 'version': version}
        call = self._http.post(f'http://{engine}/orders', json=order)
        call.addTimeout(self._seconds, self._reactor)
        try:
            response = yield call
            yield response.content()
        except Exception:
            return OrderAnswer.UNKNOWN
        if response.code == _CONFLICT:
            return OrderAnswer.FENCED_OFF
        if response.code >= _FIRST_ERROR:
            return OrderAnswer.UNKNOWN
        return OrderAnswer.ACCEPTED

    def close(self) -> Deferred[None]:
        """Close the connections that are idle."""
        return self._pool.closeCachedConnections()

    @inlineCallbacks
    def _read(self, url: str) -> Deferred[dict]:
        response = yield self._http.get(url)
        report = yield response.json()
        if response.code != _OK:
            raise EngineUnavailableError(f'status {response.code}')
        return report
