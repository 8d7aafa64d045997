"""Load of the engines: reports, requests in flight and estimates."""

from yuccagauge.load.base import EngineKey, EngineReport
from yuccagauge.load.table import EngineTable

__all__ = ('EngineKey', 'EngineReport', 'EngineTable')
