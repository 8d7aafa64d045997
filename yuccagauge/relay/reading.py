"""When this router reads the store itself."""

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory import readpolicy
from yuccagauge.directory.state import Topic
from yuccagauge.exchange.service import ExchangeService
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.settings.relay import RelaySection, StoreSection

#: Longest time from a server's heartbeat to its entry in the store: a write
#: that got no answer may be done seconds later.
LATE_HEARTBEAT_TIME = Millis(10_000)


class ReadSchedule:
    """Applies the policy of reads to what this router and its peers know.

    Parameters
    ----------
    section
        Name and data centre of this router.
    store
        Bounds within which changes have to be in force.
    exchange
        Knows the other routers, and what they have confirmed.
    quarantine
        Knows whether evidence is awaited that a server lives.
    clock
        The source of time.
    """

    def __init__(
        self,
        section: RelaySection,
        store: StoreSection,
        exchange: ExchangeService,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        """Create a schedule; it keeps no state of its own."""
        self._section = section
        self._limits = readpolicy.ReadLimits.from_bounds(
            store.drain_bound_ms, store.change_bound_ms
        )
        self._exchange = exchange
        self._quarantine = quarantine
        self._clock = clock

    @property
    def server_read_interval(self) -> Millis:
        """Time between two reads of the servers' entries."""
        return self._limits.server_read_interval

    def delay(self, topic: Topic) -> Millis:
        """Return how long the messages of peers replace reading a topic."""
        now = self._clock.now()
        delay = readpolicy.read_delay(
            topic,
            self._section.name,
            self._exchange.data_centres,
            self._exchange.confirmation_age(topic, now),
            self._limits,
        )
        if topic is Topic.SERVERS and self.awaits_evidence():
            # Only an entry that this router reads itself is evidence.
            own_age = Millis(now - self._exchange.own_confirmed_at(topic))
            return min(delay, readpolicy.evidence_read_delay(own_age))
        return delay

    def awaits_evidence(self) -> bool:
        """Return whether an entry of a server may dismiss a crash now."""
        return self._quarantine.awaits_evidence(
            LATE_HEARTBEAT_TIME,
            self._clock.now(),
            readpolicy.EVIDENCE_READ_TIME,
        )

    def wait(self, topic: Topic) -> Millis:
        """Return how long one read waits at the store for records."""
        return readpolicy.read_wait(
            topic, self._exchange.data_centres, self._limits
        )
