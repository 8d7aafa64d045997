"""Decides at which software version a call may go on with a stream."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.base import BackendServer, CustomerSpec
from yuccagauge.origins.base import (
    UNLISTED,
    OriginNotHeardError,
    StreamOrigin,
    origin_key,
)
from yuccagauge.origins.events import log_resumption
from yuccagauge.origins.versions import VersionHistory
from yuccagauge.relay import refusals
from yuccagauge.relay.base import CallFields, RelayCall
from yuccagauge.verdict import Refusal

#: Longest request id that a caller may name. Others are taken for unknown.
_MAXIMUM_ID_LENGTH = 200

#: Delay after which a caller may ask again for a stream whose version is not
#: known yet.
_UNKNOWN_RETRY_AFTER = Millis(500)

#: Gets the version that the server has to have, ``None`` for any, or a refusal.
OriginCallback = Callable[[str | None, Refusal | None], None]


class OriginStore(Protocol):
    """Keeps the origins of streams."""

    def record(self, key: bytes, origin: StreamOrigin) -> None:
        """Keep the origin of a stream."""

    def keep(self, key: bytes, origin: StreamOrigin) -> Deferred[None]:
        """Keep the origin of a stream; return once another router keeps it.

        It also returns if no other one does.
        """

    def find(self, key: bytes) -> Deferred[StreamOrigin | None]:
        """Return the origin of a stream, ``None`` if nobody knows it.

        Raises
        ------
        OriginNotHeardError
            If others may know it that were not heard.
        """


class NoOrigins:
    """Knows no stream, and keeps none."""

    def record(self, key: bytes, origin: StreamOrigin) -> None:
        """Keep nothing."""

    def keep(self, key: bytes, origin: StreamOrigin) -> Deferred[None]:
        """Keep nothing."""
        return succeed(None)

    def find(self, key: bytes) -> Deferred[StreamOrigin | None]:
        """Return that the stream is not known."""
        return succeed(None)


class StreamOrigins:
    """Records which version begins each stream, and finds it for the rest.

    Only streams that may be resumed have an origin.

    Parameters
    ----------
    store
        Keeps the origins.
    history
        Tells which versions can have begun a stream that nobody knows.
    clock
        The source of time.
    """

    def __init__(
        self, store: OriginStore, history: VersionHistory, clock: Clock
    ) -> None:
        """Use a store and a history."""
        self._store = store
        self._history = history
        self._clock = clock

    def record_beginning(self, call: RelayCall, server: BackendServer) -> None:
        """Record that a server has sent the first event of a stream.

        Copies of an origin are not ordered, so it is recorded once it cannot
        change: until its first event a stream may move to any version.
        """
        if call.route.is_resumable and not call.takes_stream_up:
            self._record(call, server.service, server.software_version)

    def must_be_kept(self, call: RelayCall, server: BackendServer) -> bool:
        """Return whether a stream must not begin before peers know where.

        Nobody but this router knows of a process that is not listed.
        """
        return (
            call.route.is_resumable
            and not call.takes_stream_up
            and server.software_version.startswith(UNLISTED)
        )

    def keep_beginning(
        self, call: RelayCall, server: BackendServer
    ) -> Deferred[None]:
        """Keep where a stream begins; return once a peer keeps it too."""
        origin = StreamOrigin(
            service=server.service, software_version=server.software_version
        )
        return self._store.keep(stream_key(call.fields, call.customer), origin)

    def renew(self, call: RelayCall, version: str) -> None:
        """Keep the origin of a stream that is taken up for longer.

        That is the version which the call needs. The server that gets it may
        turn out to run another one.
        """
        if call.takes_stream_up:
            self._record(call, call.service, version)

    def resolve(self, call: RelayCall, on_result: OriginCallback) -> None:
        """Find the version at which a call has to go on, or a refusal."""
        if not call.takes_stream_up:
            on_result(None, None)
            return
        resumed = call.fields.resumed_request_id
        if not resumed or len(resumed) > _MAXIMUM_ID_LENGTH:
            self._handle_unknown(call, on_result)
            return

        def handle(origin: StreamOrigin | None) -> None:
            if origin is None:
                self._handle_unknown(call, on_result)
            elif origin.service == call.service:
                version = origin.software_version
                self._report(call, 'known', version)
                on_result(version, None)
            else:
                self._report(call, 'other_service', None)
                on_result(None, refusals.not_run('stream_gone', None))

        def handle_silence(failure: Failure) -> None:
            failure.trap(OriginNotHeardError)
            self._refuse_unknown(call, 'not_heard', on_result)

        self._store.find(stream_key(call.fields, call.customer)).addCallbacks(
            handle, handle_silence
        )

    def _handle_unknown(
        self, call: RelayCall, on_result: OriginCallback
    ) -> None:
        """Go on only at a version that must have begun the stream.

        All calls that name the same stream are for the same service, even if
        the route is split; calls that name none may be for another one.
        """
        version = self._history.only_version(call.service, self._clock.now())
        is_split = len(call.route.traffic_shares) > 1
        if version is None or (is_split and not call.fields.resumed_request_id):
            self._refuse_unknown(call, 'unknown', on_result)
            return
        self._report(call, 'only_version', version)
        on_result(version, None)

    def _refuse_unknown(
        self, call: RelayCall, source: str, on_result: OriginCallback
    ) -> None:
        self._report(call, source, None)
        refusal = refusals.not_run('stream_unknown', _UNKNOWN_RETRY_AFTER)
        on_result(None, refusal)

    def _record(self, call: RelayCall, service: str, version: str) -> None:
        origin = StreamOrigin(service=service, software_version=version)
        self._store.record(stream_key(call.fields, call.customer), origin)

    def _report(
        self, call: RelayCall, source: str, version: str | None
    ) -> None:
        fields = call.fields
        log_resumption(
            fields.request_id, fields.resumed_request_id, source, version
        )


def stream_key(fields: CallFields, customer: CustomerSpec | None) -> bytes:
    """Return the key of the stream that a call begins or takes up."""
    name = '' if customer is None else customer.name
    return origin_key(name, fields.resumed_request_id or fields.request_id)
