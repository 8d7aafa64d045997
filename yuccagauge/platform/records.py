"""Records of the platform's store, decoded into the product's types."""

import json
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    CallerLimits,
    Configuration,
    CustomerSpec,
    KvCacheStore,
    Route,
    RouteKind,
    ServerState,
    ServiceSpec,
    TrafficShare,
    WeightsTarget,
)
from yuccagauge.directory.store import RecordError
from yuccagauge.platform import names
from yuccagauge.settings.options import parse_endpoint
from yuccagauge.telemetry.journal import log_state_change

_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'streaming': RouteKind.STREAMING,
}
_STATES = {'ready': ServerState.READY, 'draining': ServerState.DRAINING}

#: What a malformed document raises while it is read.
_MALFORMED = (
    AttributeError,
    KeyError,
    RecordError,
    # JSON that is nested too deeply.
    RecursionError,
    TypeError,
    ValueError,
)

#: Timeout of a route that names none.
_DEFAULT_TIMEOUT = 60_000


class PlatformRecordDecoder:
    """Decodes what the operator and the backend servers write."""

    def decode_operator_record(
        self,
        key: str,
        value: bytes,
    ) -> Configuration | WeightsTarget | None:
        """Return what the operator wrote; ``None`` for other records."""
        try:
            if key == names.CONFIG_KEY:
                return _configuration(json.loads(value))
            if key.startswith(names.VERSION_KEY_PREFIX):
                return _target(json.loads(value))
        except _MALFORMED as error:
            _log_unreadable(key, error)
        return None

    def decode_server(self, key: str, value: bytes) -> BackendServer | None:
        """Return the server; ``None`` if the entry names none to use."""
        try:
            return _server(key, json.loads(value))
        except _MALFORMED as error:
            _log_unreadable(key, error)
            return None


def _log_unreadable(key: str, error: Exception) -> None:
    reason = f'{type(error).__name__}: {error}'
    log_state_change('record_unreadable', key=key[:80], reason=reason)


def _configuration(document: dict[str, Any]) -> Configuration:
    services = [_service(entry) for entry in document['services']]
    return Configuration(
        version=_whole(document, 'version'),
        routes=tuple(_route(entry) for entry in document['routes']),
        services={service.name: service for service in services},
        customers=tuple(
            CustomerSpec(
                name=entry['name'],
                keys=tuple(entry['apiKeys']),
                priority=entry.get('priority'),
                is_isolated=bool(entry.get('isolated', False)),
            )
            for entry in document.get('tenants', ())
        ),
        limits=_limits(document.get('limits', {})),
    )


def _route(entry: dict[str, Any]) -> Route:
    split = entry.get('trafficSplit')
    if split:
        traffic_shares = tuple(
            TrafficShare(service=part['service'], weight=part['weight'])
            for part in split
        )
    else:
        traffic_shares = (TrafficShare(service=entry['service'], weight=1),)
    timeout = int(entry.get('timeoutMs') or _DEFAULT_TIMEOUT)
    objective = int(entry.get('sloMs') or timeout)
    return Route(
        name=entry['name'],
        host=entry['host'].lower(),
        path_prefix=entry['pathPrefix'],
        kind=_KINDS[entry['kind']],
        timeout=Millis(timeout),
        objective=Millis(objective),
        event_gap_objective=Millis(int(entry.get('gapAimMs') or objective)),
        attempts=int(entry.get('attempts') or 1),
        priority=int(entry.get('priority') or 0),
        is_public=bool(entry.get('public', False)),
        is_resumable=bool(entry.get('canResume', False)),
        traffic_shares=traffic_shares,
    )


def _service(entry: dict[str, Any]) -> ServiceSpec:
    engine = entry.get('engine') or {}
    store = entry.get('kvStoreAddr')
    kept = None
    if store:
        kept = KvCacheStore(
            endpoint=parse_endpoint(store),
            data_centre=entry.get('zone', ''),
        )
    return ServiceSpec(
        name=entry['name'],
        health_path=entry.get('healthPath', ''),
        connection_limit=int(entry.get('maxConns') or 0),
        is_model=bool(engine),
        slots=int(engine.get('slots') or 0),
        kv_tokens=int(engine.get('kvCapacity') or 0),
        # The store's entry has the field beside its address.
        poll_limit=int(
            engine.get('maxInflight') or entry.get('maxInflight') or 0,
        ),
        kv_cache_store=kept,
    )


def _limits(entry: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=entry.get('maxHeaderBytes', default.header_bytes),
        body_bytes=entry.get('maxBodyBytes', default.body_bytes),
        header_timeout=Millis(
            entry.get('headerTimeoutMs', default.header_timeout),
        ),
        idle_timeout=Millis(entry.get('idleTimeoutMs', default.idle_timeout)),
    )


def _target(document: dict[str, Any]) -> WeightsTarget:
    version = _whole(document, 'version')
    return WeightsTarget(model=_text(document, 'model'), version=version)


def _server(server_id: str, entry: dict[str, Any]) -> BackendServer:
    """Return the server of an entry.

    Raises
    ------
    RecordError
        If a field is missing or has another type than it should.
    """
    if not isinstance(entry, dict):
        raise RecordError('the entry is no object')
    state = _STATES.get(_text(entry, 'state'))
    if state is None:
        raise RecordError(f'unknown state {entry["state"]!r}')
    return BackendServer(
        server_id=server_id,
        service=_text(entry, 'service'),
        endpoint=parse_endpoint(_text(entry, 'address')),
        data_centre=_text(entry, 'zone'),
        slots=_whole(entry, 'slots'),
        state=state,
        started_at=_whole(entry, 'born') if 'born' in entry else 0,
        weights=_weights(entry.get('models', [])),
    )


def _weights(models: list[dict[str, Any]]) -> dict[str, int]:
    """Return the weights version of each model; empty for plain servers."""
    return {_text(model, 'name'): _whole(model, 'version') for model in models}


def _text(entry: dict[str, Any], key: str) -> str:
    value = entry.get(key)
    if not isinstance(value, str) or not value:
        raise RecordError(f'{key} is not a text')
    return value


def _whole(entry: dict[str, Any], key: str) -> int:
    value = entry.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise RecordError(f'{key} is not a whole number')
    return value
