"""Load reports of the engines."""

from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint

#: Engines are identified by their address.
EngineKey = Endpoint

#: Role in the load report of an engine that accepts no new requests.
LEAVING_ROLE = 'leaving'


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """Load of an engine at one point in time."""

    engine: EngineKey
    incarnation: str
    weights_version: str
    role: str
    #: Requests in the running batch.
    running: int
    #: Requests in the queue.
    queued: int
    #: Prompt tokens that still need a prefill.
    queued_tokens: int
    used_blocks: int
    total_blocks: int
    #: Time of the measurement, on the clock of this router.
    measured_at: Millis
