"""Expected cache contents of the engines."""

from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.cacheview.view import CacheView

__all__ = ('CacheView', 'HotPrefix')
