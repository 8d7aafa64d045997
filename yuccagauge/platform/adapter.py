"""The members of the product's interfaces that speak to the platform."""

from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.connection import ConnectionPool
from yuccagauge.dispatch.fetch import Fetched, fetch
from yuccagauge.platform import names
from yuccagauge.platform.engines import EnginePort
from yuccagauge.platform.records import RecordReader
from yuccagauge.platform.requests import RequestDecoder, ServerProtocol
from yuccagauge.platform.store import PlatformStore
from yuccagauge.relay.adapter import Adapter
from yuccagauge.settings.relay import RelaySettings


def build_adapter(
    settings: RelaySettings,
    reactor: Any,
    pool: ConnectionPool,
) -> Adapter:
    """Return the adapter of a process."""
    name = settings.relay.name
    store = PlatformStore(partial(_call_store, reactor, pool, settings))
    engines = EnginePort(reactor, pool, name)
    return Adapter(
        calls=RequestDecoder(),
        backend=ServerProtocol(),
        records=RecordReader(),
        store=store,
        lead=store,
        orders=engines,
        cache=engines,
        ready_path=names.READY_PATH,
    )


def _call_store(
    reactor: Any,
    pool: ConnectionPool,
    settings: RelaySettings,
    message: BackendMessage,
    patience: Millis,
) -> Deferred[Fetched]:
    return fetch(reactor, pool, settings.store.address, message, patience)
