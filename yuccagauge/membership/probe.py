"""One running probe, and the order in which members are probed."""

import random
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.membership.base import Member
from yuccagauge.membership.table import MemberTable
from yuccagauge.settings.options import Endpoint


@dataclass(slots=True)
class Probe:
    """The probe of one period."""

    target: str
    sequence: int
    #: When helpers are asked, in milliseconds.
    indirect_at: Millis
    #: When the period ends, in milliseconds.
    ends_at: Millis
    is_acknowledged: bool = False
    is_indirect: bool = False
    helpers: int = 0
    nacks: int = 0

    @property
    def needs_helpers(self) -> bool:
        """Whether the member has not answered and no helper was asked."""
        return not self.is_acknowledged and not self.is_indirect

    @property
    def health_penalty(self) -> int:
        """What a failed probe says about the health of this router.

        A helper answers with an ack or a nack. If they stay silent, too,
        the fault is likely on this side.
        """
        if self.helpers:
            return max(0, self.helpers - self.nacks)
        return 1


@dataclass(slots=True)
class Relay:
    """A ping that this router sent for another one."""

    origin: Endpoint
    sequence: int
    nack_at: Millis
    ends_at: Millis
    is_nacked: bool = False


class ProbeOrder:
    """Probe all live members in random order, then shuffle again.

    This bounds the time until a failed member is probed by one round.
    """

    def __init__(self, source: random.Random) -> None:
        """Start without an order."""
        self._source = source
        self._names: list[str] = []

    def next_target(self, table: MemberTable) -> Member | None:
        """Return the next member, or ``None`` if there is none."""
        return self._pop(table) or self._refill(table)

    def insert(self, name: str) -> None:
        """Put a new member at a random place of the current round."""
        place = self._source.randint(0, len(self._names))
        self._names.insert(place, name)

    def _pop(self, table: MemberTable) -> Member | None:
        while self._names:
            member = table.get(self._names.pop())
            if member is not None and member.is_live:
                return member
        return None

    def _refill(self, table: MemberTable) -> Member | None:
        self._names = [member.name for member in table.live]
        self._source.shuffle(self._names)
        return self._pop(table)


class HealthScore:
    """Lifeguard's score of this router's own health; 0 is healthy."""

    def __init__(self, maximum: int) -> None:
        """Start healthy."""
        self._maximum = maximum
        self._score = 0

    @property
    def score(self) -> int:
        """The score, from 0 to the maximum."""
        return self._score

    def change(self, difference: int) -> None:
        """Add to the score within its bounds."""
        self._score = min(self._maximum, max(0, self._score + difference))

    def scale(self, duration: Millis) -> Millis:
        """Return a longer time when this router is unhealthy."""
        return Millis(duration * (1 + self._score))
