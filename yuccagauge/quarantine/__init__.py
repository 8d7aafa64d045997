"""Quarantine of requests that crash the backend servers that run them."""

from yuccagauge.quarantine.base import (
    CrashSuspicion,
    Quarantine,
    QuarantineStatus,
)

__all__ = ('CrashSuspicion', 'Quarantine', 'QuarantineStatus')
