"""The client of the platform's log, over HTTP."""

import base64
from collections import Counter
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from treq.client import HTTPClient
from twisted.internet.defer import Deferred, TimeoutError, inlineCallbacks
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
)
from twisted.internet.interfaces import IReactorTCP
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.logstream.base import (
    AppendReceipt,
    AppendUnknownError,
    LogAnswerError,
    LogPage,
    LogRateLimitedError,
    LogRecord,
    LogUnavailableError,
)
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.http import NumericEndpointFactory

__all__ = (
    'AppendReceipt',
    'AppendUnknownError',
    'LogClient',
    'LogPage',
    'LogRecord',
    'LogUnavailableError',
)

_MILLISECONDS_PER_SECOND = 1000
_OK = 200
_FIRST_ERROR = 300
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503

#: No byte of the request was written when one of these is raised.
_NOT_SENT = (ConnectError, DNSLookupError, ConnectingCancelledError)


class LogClient:
    """Append to and read from the log's streams.

    Parameters
    ----------
    endpoint
        Address of the log.
    reactor
        The reactor that connects and keeps time.
    timeout
        Bound on an append, and on a read beyond its own wait, in
        milliseconds.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        reactor: IReactorTCP,
        *,
        timeout: Millis = Millis(5000),
    ) -> None:
        """Open no connection yet."""
        self._reactor = reactor
        self._timeout = timeout
        self._base = f'http://{endpoint}/streams'
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        # An automatic second attempt would hide a doubled append.
        self._pool.retryAutomatically = False
        agent = Agent.usingEndpointFactory(
            reactor,
            NumericEndpointFactory(reactor),
            self._pool,
        )
        self._http = HTTPClient(agent)
        self._counts: Counter[str] = Counter()

    @property
    def counters(self) -> Mapping[str, int]:
        """Calls by outcome, such as ``append_unknown``."""
        return dict(self._counts)

    @inlineCallbacks
    def append(self, stream: str, payload: bytes) -> Deferred[AppendReceipt]:
        """Append one record.

        Raises
        ------
        LogRateLimitedError, LogUnavailableError
            If the record was not appended.
        AppendUnknownError
            If nobody can say whether it was.
        """
        call = self._fetch('POST', self._url(stream), Millis(0), data=payload)
        try:
            status, answer = yield call
        except _NOT_SENT as error:
            self._counts['append_unavailable'] += 1
            raise LogUnavailableError(f'log: {error}') from error
        except Exception as error:
            self._counts['append_unknown'] += 1
            raise AppendUnknownError(f'append to {stream}: {error}') from error
        self._check_append(stream, status)
        try:
            receipt = AppendReceipt(
                offset=int(answer['offset']),
                time=Millis(int(answer['time_ms'])),
            )
        except (KeyError, TypeError, ValueError) as error:
            self._counts['append_unknown'] += 1
            raise AppendUnknownError(f'receipt of {stream}') from error
        self._counts['append_done'] += 1
        return receipt

    @inlineCallbacks
    def read(
        self,
        stream: str,
        after: int,
        limit: int,
        wait: Millis,
    ) -> Deferred[LogPage]:
        """Return records with a higher offset than ``after``.

        Parameters
        ----------
        stream
            Name of the stream.
        after
            The last offset that is known; -1 reads from the start.
        limit
            The largest number of records to return.
        wait
            How long the log may hold the answer back while there is no
            record, in milliseconds.

        Raises
        ------
        LogUnavailableError
            If the log cannot be reached, is down or answers too late.
        LogAnswerError
            If its answer is not understood.
        """
        query = f'after={after}&limit={limit}&wait_ms={wait}'
        url = f'{self._url(stream)}?{query}'
        try:
            status, answer = yield self._fetch('GET', url, wait)
        except Exception as error:
            self._counts['read_unavailable'] += 1
            raise LogUnavailableError(f'read {stream}: {error}') from error
        if status != _OK:
            self._counts['read_unavailable'] += 1
            raise LogUnavailableError(f'read {stream}: status {status}')
        page = parse_page(stream, answer)
        self._counts['read_records'] += len(page.records)
        return page

    def close(self) -> Deferred[None]:
        """Close the connections that are idle."""
        return self._pool.closeCachedConnections()

    def _url(self, stream: str) -> str:
        return f'{self._base}/{quote(stream, safe="")}/records'

    @inlineCallbacks
    def _fetch(
        self,
        method: str,
        url: str,
        extra: Millis,
        **options: Any,
    ) -> Deferred[tuple[int, Any]]:
        call = self._exchange(method, url, options)
        seconds = (self._timeout + extra) / _MILLISECONDS_PER_SECOND
        call.addTimeout(seconds, self._reactor, onTimeoutCancel=_timed_out)
        status, answer = yield call
        return status, answer

    @inlineCallbacks
    def _exchange(
        self,
        method: str,
        url: str,
        options: Mapping[str, Any],
    ) -> Deferred[tuple[int, Any]]:
        response = yield self._http.request(method, url, **options)
        if response.code >= _FIRST_ERROR:
            # Reading the body frees the connection for the next call.
            yield response.content()
            return response.code, None
        answer = yield response.json()
        return response.code, answer

    def _check_append(self, stream: str, status: int) -> None:
        if status < _FIRST_ERROR:
            return
        if status == _TOO_MANY_REQUESTS:
            self._counts['append_rate_limited'] += 1
            raise LogRateLimitedError(f'append to {stream}: rate limit')
        if status == _SERVICE_UNAVAILABLE:
            self._counts['append_unavailable'] += 1
            raise LogUnavailableError(f'append to {stream}: log is down')
        self._counts['append_unknown'] += 1
        raise AppendUnknownError(f'append to {stream}: status {status}')


def _timed_out(result: Any, seconds: float) -> Any:
    if isinstance(result, Failure) and result.check(*_NOT_SENT):
        return result
    raise TimeoutError(f'no answer within {seconds} s')


def parse_page(stream: str, answer: Any) -> LogPage:
    """Return the page of an answer.

    Raises
    ------
    LogAnswerError
        If the answer has another form.
    """
    try:
        return LogPage(
            first_offset=int(answer['first_offset']),
            next_offset=int(answer['next_offset']),
            records=tuple(map(_parse_record, answer['records'])),
            era=_parse_era(answer.get('era')),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise LogAnswerError(f'page of {stream}: {error!r}') from error


def _parse_era(value: Any) -> int:
    """Return the era; older builds of the log name none."""
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return value if is_number and value >= 0 else UNKNOWN_ERA


def _parse_record(fields: Mapping[str, Any]) -> LogRecord:
    return LogRecord(
        offset=int(fields['offset']),
        time=Millis(int(fields['time_ms'])),
        payload=base64.b64decode(fields['data'], validate=True),
    )
