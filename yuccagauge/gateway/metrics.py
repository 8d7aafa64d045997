"""Metrics of the interface for callers."""

from yuccagauge.telemetry.meter import counter, histogram
from yuccagauge.telemetry.names import REQUEST_DURATION

REQUESTS = counter(
    'yuccagauge.requests',
    'Well-formed calls by service and customer.',
    '{request}',
)
REFUSALS = counter(
    'yuccagauge.refusals',
    'Calls that were refused, by code and verdict.',
    '{request}',
)
CONNECTIONS_REFUSED = counter(
    'yuccagauge.connections_refused',
    'Connections of callers over the limit.',
    '{connection}',
)
DURATION = histogram(
    REQUEST_DURATION,
    'Time from the request to the end of its answer.',
    's',
)
