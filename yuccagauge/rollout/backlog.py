"""Log lines that tell why engines keep weights that were superseded."""

from collections.abc import Iterable, Mapping

from yuccagauge.clock import Millis
from yuccagauge.rollout.plan import ORDER_RETRY_DELAY, EngineWeights
from yuccagauge.telemetry.journal import log_state_change

#: Time between two lines about one service.
REPORT_PERIOD = Millis(1000)


def hold_reason(engine: EngineWeights, now: Millis) -> str:
    """Return why an engine with superseded weights has no order now."""
    if not engine.is_reachable:
        return 'paused'
    if not engine.is_available:
        return 'not_ready'
    if engine.is_loading:
        return 'loading'
    if engine.draining_since is not None:
        return 'draining'
    if (
        engine.ordered_at is not None
        and now - engine.ordered_at <= ORDER_RETRY_DELAY
    ):
        return 'ordered'
    return 'no_slot'


class BacklogReporter:
    """Logs the engines that are behind, at a limited rate."""

    def __init__(self) -> None:
        """Start without a line."""
        self._reported_at: dict[str, Millis] = {}

    def report(
        self,
        service: str,
        engines: Iterable[EngineWeights],
        targets: Mapping[str, int],
        now: Millis,
    ) -> None:
        """Log which engines of a service are behind, and why each is."""
        reported_at = self._reported_at.get(service)
        if reported_at is not None and now - reported_at < REPORT_PERIOD:
            return
        behind = tuple(
            f'{engine.server.server_id}={engine.version}'
            f':{hold_reason(engine, now)}'
            for engine in engines
            if engine.version < targets.get(engine.model, 0)
        )
        if behind:
            self._reported_at[service] = now
            log_state_change(
                'weights_behind',
                service=service,
                targets=[f'{name}={at}' for name, at in targets.items()],
                engines=behind,
            )
