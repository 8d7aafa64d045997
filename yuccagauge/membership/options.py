"""Times and numbers of the membership protocol."""

import math
from dataclasses import dataclass

from yuccagauge.clock import Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class SwimOptions:
    """All times follow from the probe period.

    The defaults are those of the Lifeguard paper (Dadgar et al., 2018)
    except where a comment says otherwise.
    """

    #: Time between two probes, in milliseconds.
    period: Millis = Millis(1000)
    #: Members that are asked for an indirect probe.
    helpers: int = 3
    #: Independent reports that shorten a suspicion to its minimum.
    confirmations: int = 3
    #: Suspicion time in periods, times log10 of the number of members.
    #: The paper has 5; docs/membership.md shows what 4 costs.
    suspicion_factor: float = 4
    #: The longest suspicion as a multiple of the shortest.
    suspicion_range: float = 6
    #: Sends of one update, times log10 of the number of members.
    transmit_factor: float = 4
    #: Receivers of one round of gossip.
    fanout: int = 3
    #: Highest score of the local health; 0 is healthy.
    maximum_health_score: int = 8
    #: How long a dead member is remembered, in milliseconds. Partitions
    #: of regions last an hour, after which its dead are tried again.
    dead_retention: Millis = Millis(4 * 3600 * 1000)
    #: How long a leaving member is remembered, in milliseconds.
    leaving_retention: Millis = Millis(600_000)
    #: Largest number of members that are remembered.
    maximum_members: int = 2048

    @property
    def probe_timeout(self) -> Millis:
        """Time to a direct answer; between regions it takes 0.2 s."""
        return Millis(self.period // 2)

    @property
    def nack_timeout(self) -> Millis:
        """Time after which a helper reports that it has no answer yet."""
        return Millis(self.period * 3 // 10)

    @property
    def gossip_interval(self) -> Millis:
        """Time between two rounds of gossip while updates wait."""
        return Millis(self.period // 5)

    @property
    def reconnect_interval(self) -> Millis:
        """Time between two pings of members that are held for dead."""
        return Millis(self.period * 10)

    def sync_interval(self, members: int) -> Millis:
        """Return the time between two exchanges of whole states.

        It grows with the size, because an exchange does, too.
        """
        doublings = max(0, math.ceil(math.log2(max(1, members) / 32)))
        return Millis(self.period * 30 * (1 + doublings))

    def transmissions(self, members: int) -> int:
        """Return how often one update is sent."""
        return math.ceil(self.transmit_factor * math.log10(members + 1))

    def shortest_suspicion(self, members: int) -> Millis:
        """Return the suspicion time once enough routers reported it."""
        scale = max(1, math.log10(max(1, members)))
        return Millis(round(self.suspicion_factor * scale * self.period))
