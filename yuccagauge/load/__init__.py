"""Load of the engines: reports, own requests in flight, state."""

from yuccagauge.load.base import EngineKey, EngineReport
from yuccagauge.load.table import EngineTable

__all__ = ('EngineKey', 'EngineReport', 'EngineTable')
