"""The registry of specifications."""

from yuccagauge.registry import Registry

#: Specifications by name; each has ``bounds``, ``short_bounds`` and
#: ``mutants`` beside what the explorer needs.
SPECIFICATIONS: Registry = Registry('specification')
