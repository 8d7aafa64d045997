"""Errors of the telemetry package."""

from yuccagauge.errors import YuccagaugeError


class TelemetryError(YuccagaugeError):
    """A metric or log line that must not be made."""


class MetricNameError(TelemetryError):
    """A metric whose name or unit is against the conventions."""


class LogFieldError(TelemetryError):
    """A log field that could carry a prompt, an answer or a credential."""
