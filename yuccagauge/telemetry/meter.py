"""Metrics by the OpenTelemetry meter, rendered as Prometheus text.

Instruments are made once, at module level, and record in memory. Nothing
is exported in the background: ``render_prometheus`` collects on the loop
when the admin interface is asked for ``/metrics``.
"""

import re
from collections.abc import Sequence

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram
from opentelemetry.metrics import _Gauge as Gauge
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

import yuccagauge
from yuccagauge.telemetry.errors import MetricNameError

#: Content type of the rendered text.
PROMETHEUS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

#: Bucket bounds for durations, in seconds. They include the objectives of
#: the fleet: 0.06 s between tokens and 0.62 s to the first token.
DURATION_BOUNDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.02,
    0.04,
    0.06,
    0.1,
    0.2,
    0.4,
    0.62,
    1.0,
    2.0,
    4.0,
    8.0,
    16.0,
    32.0,
    64.0,
)

# Lower-case words joined by dots, as the semantic conventions ask.
_NAME = re.compile('[a-z][a-z0-9_]*([.][a-z][a-z0-9_]*)+')
# UCUM units in use, or an annotation such as ``{request}``.
_UNIT = re.compile('1|s|ms|By|[{][a-z_]+[}]')

_registry = CollectorRegistry()
_reader = PrometheusMetricReader(
    disable_target_info=True,
    scope_info_enabled=False,
    registry=_registry,
)
_provider = MeterProvider(metric_readers=[_reader], shutdown_on_exit=False)
_meter = _provider.get_meter('yuccagauge', yuccagauge.__version__)


def counter(name: str, description: str, unit: str) -> Counter:
    """Return a counter; record with ``add(amount, attributes)``.

    Raises
    ------
    MetricNameError
        If name or unit does not follow the semantic conventions.
    """
    _check(name, unit)
    return _meter.create_counter(name, unit, description)


def histogram(
    name: str,
    description: str,
    unit: str,
    bounds: Sequence[float] = DURATION_BOUNDS,
) -> Histogram:
    """Return a histogram; record with ``record(value, attributes)``.

    Raises
    ------
    MetricNameError
        If name or unit does not follow the semantic conventions.
    """
    _check(name, unit)
    return _meter.create_histogram(
        name,
        unit,
        description,
        explicit_bucket_boundaries_advisory=bounds,
    )


def gauge(name: str, description: str, unit: str) -> Gauge:
    """Return a gauge; record with ``set(value, attributes)``.

    Raises
    ------
    MetricNameError
        If name or unit does not follow the semantic conventions.
    """
    _check(name, unit)
    return _meter.create_gauge(name, unit, description)


def render_prometheus() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(_registry)


def _check(name: str, unit: str) -> None:
    if not _NAME.fullmatch(name):
        raise MetricNameError(
            f'metric {name!r}: expected lower-case words joined by dots',
        )
    if not _UNIT.fullmatch(unit):
        raise MetricNameError(
            f'metric {name!r}: unit {unit!r} is no UCUM unit in use',
        )
