"""Moves kept prefixes between engines and the store, over HTTP."""

from collections.abc import Mapping
from typing import Any

from treq.client import HTTPClient
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTCP
from twisted.web.client import Agent, HTTPConnectionPool

from yuccagauge.clock import Clock, Millis
from yuccagauge.errors import UnavailableError
from yuccagauge.keptkv.catalogue import KeptCatalogue
from yuccagauge.keptkv.manifest import (
    ManifestError,
    check_manifest,
    expected_manifest,
)
from yuccagauge.keptkv.rates import ImportRate
from yuccagauge.prefixes.base import CacheScope, PrefixLevel
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.meter import counter

_MILLISECONDS_PER_SECOND = 1000
_OK = 200
_NOT_FOUND = 404

TRANSFERS = counter(
    'yuccagauge.kept_kv.transfers',
    'Exports and imports of kept prefixes, by outcome.',
    '{transfer}',
)


class KeptKvTransfer:
    """Exports levels to the store and imports them into engines.

    Parameters
    ----------
    store
        Address of the kept-KV store.
    reactor
        The reactor that connects and keeps time.
    clock
        Measures how long imports take.
    timeout
        Bound on each HTTP call, in milliseconds.
    """

    def __init__(
        self,
        store: Endpoint,
        reactor: IReactorTCP,
        clock: Clock,
        *,
        timeout: Millis = Millis(1000),
    ) -> None:
        """Open no connection yet."""
        self._store = store
        self._clock = clock
        self._timeout = timeout / _MILLISECONDS_PER_SECOND
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        agent = Agent(
            reactor,
            connectTimeout=self._timeout,
            pool=self._pool,
        )
        self._http = HTTPClient(agent)
        self._catalogue = KeptCatalogue()
        self._rate = ImportRate()
        self._exporting: set[bytes] = set()

    @property
    def catalogue(self) -> KeptCatalogue:
        """What the store is known to hold."""
        return self._catalogue

    @property
    def rate(self) -> ImportRate:
        """How fast imports are."""
        return self._rate

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    @inlineCallbacks
    def export_level(
        self,
        engine: Endpoint,
        cache_scope: CacheScope,
        level: PrefixLevel,
    ) -> Deferred[bool]:
        """Copy a level from an engine to the store.

        Returns
        -------
        bool
            Whether the store holds it now; a failure is counted only,
            since the level can always be recomputed.
        """
        if level.digest in self._exporting:
            return False
        self._exporting.add(level.digest)
        try:
            document = yield self._fetch(self._engine_url(engine, level))
            check_manifest(document, expected_manifest(cache_scope, level))
            yield self._send(self._store_url(level), document)
        except (ManifestError, UnavailableError) as error:
            _count('export', type(error).__name__)
            return False
        finally:
            self._exporting.discard(level.digest)
        self._catalogue.kept(level.digest)
        _count('export', 'done')
        return True

    @inlineCallbacks
    def import_level(
        self,
        engine: Endpoint,
        cache_scope: CacheScope,
        level: PrefixLevel,
    ) -> Deferred[bool]:
        """Copy a level from the store to an engine.

        Returns
        -------
        bool
            Whether the engine holds it now.
        """
        started = self._clock.now()
        try:
            document = yield self._fetch(self._store_url(level))
            check_manifest(document, expected_manifest(cache_scope, level))
        except (ManifestError, UnavailableError) as error:
            self._catalogue.gone(level.digest)
            _count('import', type(error).__name__)
            return False
        try:
            yield self._send(self._engine_url(engine, level), document)
        except UnavailableError as error:
            _count('import', type(error).__name__)
            return False
        duration = Millis(self._clock.now() - started)
        self._rate.observed(level.tokens, duration)
        _count('import', 'done')
        return True

    def _engine_url(self, engine: Endpoint, level: PrefixLevel) -> str:
        return f'http://{engine}/kv/{level.digest.hex()}'

    def _store_url(self, level: PrefixLevel) -> str:
        return f'http://{self._store}/kept/{level.digest.hex()}'

    @inlineCallbacks
    def _fetch(self, url: str) -> Deferred[Mapping[str, Any]]:
        status, document = yield self._call('GET', url)
        if status == _NOT_FOUND:
            raise UnavailableError(f'{url}: not held')
        if status != _OK or not isinstance(document, dict):
            raise UnavailableError(f'{url}: status {status}')
        return document

    @inlineCallbacks
    def _send(self, url: str, document: Mapping[str, Any]) -> Deferred[None]:
        status, _ = yield self._call('PUT', url, json=document)
        if status != _OK:
            raise UnavailableError(f'{url}: status {status}')

    @inlineCallbacks
    def _call(
        self,
        method: str,
        url: str,
        **options: Any,
    ) -> Deferred[tuple[int, Any]]:
        call = self._http.request(
            method,
            url,
            timeout=self._timeout,
            **options,
        )
        try:
            response = yield call
            document = yield response.json()
        except Exception as error:
            raise UnavailableError(f'{url}: {error}') from error
        return response.code, document


def _count(direction: str, outcome: str) -> None:
    TRANSFERS.add(1, {'direction': direction, 'outcome': outcome})
