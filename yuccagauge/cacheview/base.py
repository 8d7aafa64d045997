"""Values that routers exchange about cache contents."""

from dataclasses import dataclass

from yuccagauge.load.base import EngineKey


@dataclass(frozen=True, slots=True, kw_only=True)
class HotPrefix:
    """A level that is asked for often, and one engine that holds it."""

    digest: bytes
    #: Tokens from the start of the prompt.
    tokens: int
    engine: EngineKey
    incarnation: str
    #: Requests a second at the router that says so.
    rate: float
