"""Notifications that wait to be sent to all routers in one message."""

from dataclasses import dataclass, field
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.exchange import parts
from yuccagauge.ratelimit.limits import ServerLimits
from yuccagauge.wire.fleetmessages import FleetPause, FleetSilence, FleetWeights

#: How long exchanges repeat that a server has loaded weights.
WEIGHTS_REPEAT_TIME = Millis(2500)


class RecentWeights:
    """The weights that servers have loaded lately."""

    def __init__(self) -> None:
        """Start without weights."""
        self._loaded: dict[tuple[str, str], tuple[FleetWeights, Millis]] = {}

    def add(self, loaded: FleetWeights, now: Millis) -> None:
        """Add what a server has loaded now."""
        self._loaded[loaded.server, loaded.model] = loaded, now

    def messages(self, now: Millis) -> tuple[FleetWeights, ...]:
        """Return what exchanges still repeat."""
        return tuple(
            loaded
            for loaded, at in self._loaded.values()
            if now - at < WEIGHTS_REPEAT_TIME
        )


@dataclass(slots=True)
class Notifications:
    """News about servers that all routers need soon."""

    pauses: dict[str, Millis] = field(default_factory=dict)
    weights: list[FleetWeights] = field(default_factory=list)
    unresponsive: set[str] = field(default_factory=set)
    #: Servers whose rate limit has changed, or which are brittle or no longer.
    limited: set[str] = field(default_factory=set)

    def message_parts(
        self,
        server_limits: ServerLimits,
        brittle: ServerLimits,
        now: Millis,
    ) -> dict[str, Any]:
        """Return the parts of the message that carries the notifications."""
        return {
            'pauses': tuple(
                FleetPause(server=name, remaining_ms=duration)
                for name, duration in self.pauses.items()
            ),
            'weights': tuple(self.weights),
            'silences': tuple(
                FleetSilence(server=name) for name in self.unresponsive
            ),
            'limits': parts.limits(
                server_limits.report_of(name, now) for name in self.limited
            ),
            'brittle': parts.limits(
                brittle.report_of(name, now) for name in self.limited
            ),
        }
