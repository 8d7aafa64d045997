"""Notifications that wait to be sent to all routers in one message."""

from dataclasses import dataclass, field
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.exchange import parts
from yuccagauge.ratelimit.limits import ServerLimits
from yuccagauge.wire.messages import FleetPause, FleetSilence, FleetWeights


@dataclass(slots=True)
class Notifications:
    """News about servers that all routers need soon."""

    pauses: dict[str, Millis] = field(default_factory=dict)
    weights: list[FleetWeights] = field(default_factory=list)
    unresponsive: set[str] = field(default_factory=set)
    #: Servers whose rate limit has changed.
    limited: set[str] = field(default_factory=set)

    def message_parts(
        self, server_limits: ServerLimits, now: Millis
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
        }
