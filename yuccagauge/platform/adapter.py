"""Implements the interfaces of the relay for the platform."""

from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.fetch import Fetched, fetch
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.platform import names
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.platform.records import PlatformRecordDecoder
from yuccagauge.platform.requests import (
    PlatformBackendProtocol,
    PlatformCallDecoder,
)
from yuccagauge.platform.store import PlatformStore
from yuccagauge.relay.adapter import PlatformAdapter
from yuccagauge.settings.relay import RelaySettings


def build_adapter(
    settings: RelaySettings,
    reactor: Any,
    pool: ConnectionPool,
) -> PlatformAdapter:
    """Create the platform adapter of a relay process."""
    name = settings.relay.name
    store = PlatformStore(
        partial(_send_to_store, reactor, pool, settings), reactor.seconds
    )
    engines = PlatformEngineClient(reactor, pool, name)
    return PlatformAdapter(
        call_decoder=PlatformCallDecoder(),
        backend_protocol=PlatformBackendProtocol(),
        record_decoder=PlatformRecordDecoder(),
        store=store,
        lease_store=store,
        crash_store=store,
        version_store=store,
        target_store=store,
        origin_log_store=store,
        order_client=engines,
        cache_event_source=engines,
        ready_path=names.READY_PATH,
        answer_listeners=engines.answer_listeners,
        process_name_source=engines,
        identity_source=engines,
        health_source=engines,
    )


def _send_to_store(
    reactor: Any,
    pool: ConnectionPool,
    settings: RelaySettings,
    message: BackendMessage,
    timeout: Millis,
) -> Deferred[Fetched]:
    return fetch(reactor, pool, settings.store.address, message, timeout)
