"""Keeps the origins of streams in the store, for a restart of all routers.

While a service has several software versions, a few routers append what all
begin. The store drops these records after some time, like the callers that
have not come back.
"""

from collections.abc import Callable, Mapping, Sequence
from itertools import islice
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.clock import Millis, in_seconds
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.origins.base import StreamOrigin
from yuccagauge.telemetry.journal import log_state_change

#: Routers whose streams one router appends.
ROUTERS_PER_WRITER = 64

#: How long streams wait for others that are appended in the same call.
_APPEND_DELAY = Millis(100)

#: Time after which streams are appended again if the store did not answer.
_APPEND_RETRY_DELAY = Millis(500)

#: Streams of one append, whose size the store limits.
_STREAMS_PER_APPEND = 65_536

#: Streams that wait for the store; the oldest are dropped first. Peers keep
#: them as well.
MAXIMUM_PENDING = 131_072

#: Reads of the log after a start until one succeeds.
_MAXIMUM_READS = 10


class OriginLogStore(Protocol):
    """Appends the origins of streams to a log, and reads them."""

    def append_origins(
        self, streams: Mapping[StreamOrigin, Sequence[bytes]]
    ) -> Deferred[None]:
        """Append the keys of streams by their origin.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """

    def read_origins(self) -> Deferred[Mapping[bytes, StreamOrigin]]:
        """Return the origin of each stream in the log, by its key.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """


class OriginLog:
    """Appends streams in groups, and reads all of them once after a start.

    Parameters
    ----------
    store
        Keeps the log.
    reactor
        Schedules the appends.
    """

    def __init__(self, store: OriginLogStore, reactor: Any) -> None:
        """Create a log that makes no call yet."""
        self._store = store
        self._reactor = reactor
        #: Streams to append; the oldest come first.
        self._pending: dict[bytes, StreamOrigin] = {}
        self._is_append_planned = False
        self._reads = 0
        self._is_reading = False
        self._is_read = False

    @property
    def must_be_read(self) -> bool:
        """Whether the log has not been read, and a read may succeed."""
        may_read = self._reads < _MAXIMUM_READS and not self._is_reading
        return may_read and not self._is_read

    def add(self, key: bytes, origin: StreamOrigin) -> None:
        """Append a stream soon."""
        self._pending.pop(key, None)
        self._pending[key] = origin
        if len(self._pending) > MAXIMUM_PENDING:
            self._pending.pop(next(iter(self._pending)))
        self._plan_append(_APPEND_DELAY)

    @inlineCallbacks
    def read(self, on_stream: Callable[[bytes, StreamOrigin], None]) -> Any:
        """Read the log; call a function with each stream in it."""
        self._is_reading = True
        self._reads += 1
        try:
            streams = yield self._store.read_origins()
        except StoreUnavailableError as error:
            log_state_change('origin_log_unread', reason=str(error))
            return
        finally:
            self._is_reading = False
        self._is_read = True
        log_state_change('origin_log_read', streams=len(streams))
        for key, begun_by in streams.items():
            on_stream(key, begun_by)

    def _plan_append(self, delay: Millis) -> None:
        if not self._is_append_planned:
            self._is_append_planned = True
            self._reactor.callLater(in_seconds(delay), self._append)

    @inlineCallbacks
    def _append(self) -> Any:
        """Append the oldest streams, and the others after them."""
        streams = dict(islice(self._pending.items(), _STREAMS_PER_APPEND))
        groups: dict[StreamOrigin, list[bytes]] = {}
        for key, origin in streams.items():
            groups.setdefault(origin, []).append(key)
        next_delay = _APPEND_DELAY
        try:
            yield self._store.append_origins(groups)
        except StoreUnavailableError as error:
            next_delay = _APPEND_RETRY_DELAY
            log_state_change(
                'origin_log_not_written',
                streams=len(self._pending),
                reason=str(error),
            )
        else:
            self._remove(streams)
        self._is_append_planned = False
        if self._pending:
            self._plan_append(next_delay)

    def _remove(self, streams: Mapping[bytes, StreamOrigin]) -> None:
        """Remove what was appended, unless it has changed meanwhile."""
        for key, appended in streams.items():
            if self._pending.get(key) == appended:
                self._pending.pop(key)
