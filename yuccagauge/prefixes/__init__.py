"""Identifies prompt prefixes by nested levels, without a tokenizer."""

from yuccagauge.prefixes.base import (
    CacheScope,
    Message,
    PrefixLevel,
    PrefixScheme,
    RequestPrefix,
    prefix_schemes,
)
from yuccagauge.prefixes.blocks import BlocksScheme
from yuccagauge.prefixes.messages import MessagesScheme
from yuccagauge.prefixes.whole import WholeScheme

__all__ = (
    'BlocksScheme',
    'CacheScope',
    'Message',
    'MessagesScheme',
    'PrefixLevel',
    'PrefixScheme',
    'RequestPrefix',
    'WholeScheme',
    'prefix_schemes',
)
