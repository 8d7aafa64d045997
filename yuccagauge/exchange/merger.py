"""What other routers tell, merged into what this one knows."""

from collections.abc import Callable

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.members import Member, Members
from yuccagauge.quarantine.base import CrashSuspicion, Quarantine
from yuccagauge.selection.load import PEER_LOAD_LIFETIME, PeerLoad
from yuccagauge.selection.selector import Selector
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.messages import (
    FleetExchange,
    FleetRecord,
    FleetSuspicion,
    FleetWeights,
)


class MessageMerger:
    """Merges the messages of other routers.

    Parameters
    ----------
    name
        Name of this router.
    directory, selector, quarantine
        Take what is told.
    clock
        The source of time.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        selector: Selector,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        """Know no other router yet."""
        self._directory = directory
        self._selector = selector
        self._quarantine = quarantine
        self._clock = clock
        self._members = Members(name)
        self._known: frozenset[str] = frozenset()
        #: When the store confirmed to a peer what this router knows.
        self._confirmed: dict[Topic, Millis] = {}
        #: When each peer told its calls last.
        self._told_loads: dict[str, Millis] = {}
        #: Told when another router announces orders, or that it stops.
        self.on_pause_received: Callable[[], None] = lambda: None
        self.on_peer_left: Callable[[], None] = lambda: None

    @property
    def peers(self) -> tuple[Member, ...]:
        """The other routers that are alive."""
        return self._members.live(self._clock.now())

    @property
    def members(self) -> Members:
        """All routers that were heard of."""
        return self._members

    def peer_confirmed_at(self, topic: Topic) -> Millis:
        """Return when the store confirmed to a peer what is known here."""
        return self._confirmed.get(topic, Millis(0))

    def merge_message(self, message: FleetExchange) -> None:
        """Merge one message."""
        now = self._clock.now()
        if message.leaves:
            if self._members.remove_member(message.name, now):
                self.on_peer_left()
        else:
            self._hear_members(message, now)
        self._take_records(message, now)
        self._take_loads(message, now)
        if message.pauses:
            self.on_pause_received()
        for pause in message.pauses:
            self.apply_pause(pause.server, Millis(pause.remaining_ms))
        for news in message.weights:
            self.apply_weights(news)
        for silence in message.silences:
            self._take_silence(silence.server, message.name, now)
        self._quarantine.merge_suspicions(
            tuple(_suspicion(part) for part in message.suspicions),
            now,
        )

    def apply_pause(self, server_id: str, duration: Millis) -> None:
        """Keep calls away from a server that loads weights."""
        load = self._selector.load_of(server_id)
        load.loading_until = Millis(self._clock.now() + duration)

    def apply_weights(self, news: FleetWeights) -> None:
        """Use a server again that has shown newer weights."""
        load = self._selector.load_of(news.server)
        if load.reported_weights.get(news.model, 0) < news.version:
            load.reported_weights[news.model] = news.version
            load.loading_until = Millis(0)

    def _take_silence(self, server_id: str, peer: str, now: Millis) -> None:
        load = self._selector.load_of(server_id)
        was_silent = load.is_reported_unresponsive(now)
        load.record_unresponsive_report(peer, now)
        if load.is_reported_unresponsive(now) and not was_silent:
            log_state_change('server_told_silent', server=server_id, peer=peer)

    def _hear_members(self, message: FleetExchange, now: Millis) -> None:
        sender = Member(
            name=message.name,
            endpoint=message.endpoint,
            data_centre=message.data_centre,
            last_seen_at=now,
        )
        others = (
            Member(
                name=part.name,
                endpoint=part.endpoint,
                data_centre=part.data_centre,
                last_seen_at=Millis(now - part.age_ms),
            )
            for part in message.members
        )
        self._members.observe_members((sender, *others), now)
        names = frozenset(member.name for member in self.peers)
        if names != self._known:
            self._known = names
            log_state_change('routers_known', count=len(names) + 1)

    def _take_records(self, message: FleetExchange, now: Millis) -> None:
        """Merge records; only an answer has them, all above our mark."""
        for part in message.marks:
            topic = Topic(part.topic)
            records = tuple(
                _record(record)
                for record in message.records
                if record.topic == part.topic
            )
            is_ahead = part.mark > self._directory.next_offset(topic)
            if records or message.answers and is_ahead:
                self._directory.apply_records(topic, records, part.mark, now)
            if self._directory.next_offset(topic) >= part.mark:
                confirmed_at = Millis(now - part.age_ms)
                known = self._confirmed.get(topic, Millis(0))
                self._confirmed[topic] = max(known, confirmed_at)

    def _take_loads(self, message: FleetExchange, now: Millis) -> None:
        if not message.marks:
            return
        told = {part.server for part in message.loads}
        for server_id, load in self._selector.loads.items():
            if server_id not in told:
                load.remove_peer_load(message.name)
        for part in message.loads:
            self._selector.load_of(part.server).update_peer_load(
                message.name,
                PeerLoad(
                    active=part.active,
                    waiting_tokens=part.waiting_tokens,
                    unmovable=part.fixed,
                    kv_tokens=part.kv_tokens,
                    received_at=now,
                ),
            )
        self._note_coverage(message.name, now)

    def _note_coverage(self, name: str, now: Millis) -> None:
        """Count the peers that told their calls lately."""
        self._told_loads[name] = now
        self._told_loads = {
            peer: at
            for peer, at in self._told_loads.items()
            if now - at < PEER_LOAD_LIFETIME
        }
        peer_coverage = self._selector.peer_coverage
        peer_coverage.update(alive=len(self.peers), known=len(self._told_loads))


def _record(part: FleetRecord) -> KeyedRecord:
    return KeyedRecord(
        key=part.key,
        offset=part.offset,
        value=None if part.removes else part.value,
    )


def _suspicion(part: FleetSuspicion) -> CrashSuspicion:
    return CrashSuspicion(
        fingerprint=part.fingerprint,
        crashes=frozenset(filter(None, part.crashes.split(','))),
        cleared=frozenset(filter(None, part.cleared.split(','))),
        age=Millis(part.age_ms),
    )
