"""A load report as an engine gives it."""

from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint

#: Engines are named by their address.
EngineKey = Endpoint

#: Role of an engine that takes no new work.
LEAVING_ROLE = 'leaving'


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """The load of one engine at one time."""

    engine: EngineKey
    incarnation: str
    weights_version: str
    role: str
    #: Requests in the batch.
    running: int
    #: Requests that wait.
    queued: int
    #: Prompt tokens that wait for their prefill.
    queued_tokens: int
    used_blocks: int
    total_blocks: int
    #: When the engine was in this state, on the clock of this router.
    measured_at: Millis
