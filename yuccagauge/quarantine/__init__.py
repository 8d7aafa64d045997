"""Requests that crash the backend servers that run them."""

from yuccagauge.quarantine.base import Quarantine, Standing, Suspicion

__all__ = ('Quarantine', 'Standing', 'Suspicion')
