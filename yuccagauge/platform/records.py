"""Decodes the records of the platform's store into typed values."""

import math
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
from yuccagauge.documents import parse_document
from yuccagauge.platform import names
from yuccagauge.settings.options import parse_endpoint
from yuccagauge.telemetry.journal import log_state_change

_ROUTE_KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'streaming': RouteKind.STREAMING,
}
_SERVER_STATES = {'ready': ServerState.READY, 'draining': ServerState.DRAINING}

#: Exceptions that decoding a malformed document raises.
_DECODING_ERRORS = (
    AttributeError,
    KeyError,
    # Raised for numbers that are infinite.
    OverflowError,
    RecordError,
    # Raised for JSON that is nested too deeply.
    RecursionError,
    TypeError,
    ValueError,
)

#: Largest whole number in a record. Sums and quotients of larger ones may not
#: fit a floating-point number.
_MAXIMUM_INTEGER = 2**63 - 1

#: Timeout of a route whose entry has none.
_DEFAULT_TIMEOUT_MS = 60_000


class PlatformRecordDecoder:
    """Decodes the records that the operator and the backend servers write."""

    def decode_operator_record(
        self,
        key: str,
        value: bytes,
    ) -> Configuration | WeightsTarget | None:
        """Return the decoded record, or ``None`` if it is of another kind.

        Logs a malformed record and returns ``None`` for it.
        """
        try:
            if key == names.CONFIGURATION_KEY:
                return _decode_configuration(parse_document(value))
            if key.startswith(names.WEIGHTS_TARGET_KEY_PREFIX):
                return _decode_weights_target(parse_document(value))
        except _DECODING_ERRORS as error:
            _log_malformed_record(key, error)
        return None

    def decode_server(self, key: str, value: bytes) -> BackendServer | None:
        """Return the server, or ``None`` after logging a malformed entry."""
        try:
            return _decode_server(key, parse_document(value))
        except _DECODING_ERRORS as error:
            _log_malformed_record(key, error)
            return None


def _log_malformed_record(key: str, error: Exception) -> None:
    reason = f'{type(error).__name__}: {error}'
    log_state_change('record_unreadable', key=key[:80], reason=reason)


def _decode_configuration(document: dict[str, Any]) -> Configuration:
    services = [_decode_service(entry) for entry in document['services']]
    return Configuration(
        version=_non_negative_integer(document, 'version'),
        routes=tuple(_decode_route(entry) for entry in document['routes']),
        services={service.name: service for service in services},
        customers=tuple(
            CustomerSpec(
                name=entry['name'],
                api_keys=tuple(entry['apiKeys']),
                priority=_optional_priority(entry),
                is_isolated=bool(entry.get('isolated', False)),
            )
            for entry in document.get('tenants', ())
        ),
        limits=_decode_limits(document.get('limits', {})),
    )


def _decode_route(entry: dict[str, Any]) -> Route:
    traffic_split = entry.get('trafficSplit')
    if traffic_split:
        traffic_shares = tuple(
            TrafficShare(
                service=_non_empty_string(part, 'service'),
                weight=_non_negative_number(part, 'weight'),
            )
            for part in traffic_split
        )
    else:
        traffic_shares = (TrafficShare(service=entry['service'], weight=1),)
    timeout = int(entry.get('timeoutMs') or _DEFAULT_TIMEOUT_MS)
    objective = int(entry.get('sloMs') or timeout)
    return Route(
        name=entry['name'],
        host=entry['host'].lower(),
        path_prefix=entry['pathPrefix'],
        kind=_ROUTE_KINDS[entry['kind']],
        timeout=Millis(timeout),
        objective=Millis(objective),
        event_gap_objective=Millis(int(entry.get('gapAimMs') or objective)),
        attempts=int(entry.get('attempts') or 1),
        priority=int(entry.get('priority') or 0),
        is_public=bool(entry.get('public', False)),
        is_resumable=bool(entry.get('canResume', False)),
        traffic_shares=traffic_shares,
    )


def _decode_service(entry: dict[str, Any]) -> ServiceSpec:
    engine = entry.get('engine') or {}
    store_address = entry.get('kvStoreAddr')
    kv_cache_store = None
    if store_address:
        kv_cache_store = KvCacheStore(
            endpoint=parse_endpoint(store_address),
            data_centre=entry.get('zone', ''),
        )
    return ServiceSpec(
        name=entry['name'],
        health_path=entry.get('healthPath', ''),
        connection_limit=int(entry.get('maxConns') or 0),
        is_model=bool(engine),
        slots=int(engine.get('slots') or 0),
        kv_tokens=int(engine.get('kvCapacity') or 0),
        # The entry of a KV cache store has this field at its top level.
        poll_limit=int(
            engine.get('maxInflight') or entry.get('maxInflight') or 0,
        ),
        kv_cache_store=kv_cache_store,
    )


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    limits = {
        'maxHeaderBytes': default.header_bytes,
        'maxBodyBytes': default.body_bytes,
        'headerTimeoutMs': default.header_timeout,
        'idleTimeoutMs': default.idle_timeout,
        **entry,
    }
    return CallerLimits(
        header_bytes=int(_non_negative_number(limits, 'maxHeaderBytes')),
        body_bytes=int(_non_negative_number(limits, 'maxBodyBytes')),
        header_timeout=Millis(
            int(_non_negative_number(limits, 'headerTimeoutMs'))
        ),
        idle_timeout=Millis(int(_non_negative_number(limits, 'idleTimeoutMs'))),
    )


def _optional_priority(entry: dict[str, Any]) -> int | None:
    if entry.get('priority') is None:
        return None
    return _non_negative_integer(entry, 'priority')


def _decode_weights_target(document: dict[str, Any]) -> WeightsTarget:
    version = _non_negative_integer(document, 'version')
    return WeightsTarget(
        model=_non_empty_string(document, 'model'), version=version
    )


def _decode_server(server_id: str, entry: dict[str, Any]) -> BackendServer:
    """Decode the entry of a backend server.

    Raises
    ------
    RecordError
        If a field is missing, has the wrong type or an unknown value.
    """
    if not isinstance(entry, dict):
        raise RecordError('entry is not a JSON object')
    state = _SERVER_STATES.get(_non_empty_string(entry, 'state'))
    if state is None:
        raise RecordError(f'unknown server state {entry["state"]!r}')
    return BackendServer(
        server_id=server_id,
        service=_non_empty_string(entry, 'service'),
        endpoint=parse_endpoint(_non_empty_string(entry, 'address')),
        data_centre=_non_empty_string(entry, 'zone'),
        slots=_non_negative_integer(entry, 'slots'),
        state=state,
        started_at=_non_negative_integer(entry, 'born')
        if 'born' in entry
        else 0,
        software_version=_non_empty_string(entry, 'version')
        if 'version' in entry
        else '',
        weights=_decode_weights(entry.get('models', [])),
        heartbeat_count=_heartbeat_count(entry.get('seq')),
    )


def _heartbeat_count(found: Any) -> int:
    """Return the count; 0 if it is malformed, since servers work without."""
    is_whole = isinstance(found, int) and not isinstance(found, bool)
    return min(max(0, found), _MAXIMUM_INTEGER) if is_whole else 0


def _decode_weights(models: list[dict[str, Any]]) -> dict[str, int]:
    """Return the weights version of each model; empty for a plain server."""
    return {
        _non_empty_string(model, 'name'): _non_negative_integer(
            model, 'version'
        )
        for model in models
    }


def _non_empty_string(entry: dict[str, Any], key: str) -> str:
    value = entry.get(key)
    if not isinstance(value, str) or not value:
        raise RecordError(f'{key} is not a non-empty string')
    return value


def _non_negative_number(entry: dict[str, Any], key: str) -> float:
    number = entry.get(key)
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise RecordError(f'{key} is not a number')
    if not (math.isfinite(number) and number >= 0):
        raise RecordError(f'{key} is not a finite non-negative number')
    return number


def _non_negative_integer(entry: dict[str, Any], key: str) -> int:
    value = entry.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise RecordError(f'{key} is not a non-negative integer')
    if value > _MAXIMUM_INTEGER:
        raise RecordError(f'{key} is out of range')
    return value
