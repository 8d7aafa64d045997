"""Data types that routers exchange about cache contents."""

from dataclasses import dataclass

from yuccagauge.load.base import EngineKey


@dataclass(frozen=True, slots=True, kw_only=True)
class HotPrefix:
    """A prefix level that is requested often, and an engine that holds it."""

    digest: bytes
    #: Tokens from the start of the prompt.
    tokens: int
    engine: EngineKey
    incarnation: str
    #: Requests/s for the level at the router that sends this.
    rate: float
