"""Merges the messages of other routers into this router's state."""

from collections.abc import Callable

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.members import LiveNames, Member, MemberList
from yuccagauge.exchange.parts import (
    limit_report,
    parse_part_evidence,
    target_evidence,
    version_sightings,
)
from yuccagauge.exchange.standings import LeadStandings
from yuccagauge.quarantine.base import CrashSuspicion, Quarantine
from yuccagauge.quarantine.parts import PartQuarantine
from yuccagauge.ratelimit.limits import MAXIMUM_MESSAGE_DELAY
from yuccagauge.selection.load import PEER_LOAD_LIFETIME, PeerLoad
from yuccagauge.selection.selector import Selector
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.fleetmessages import (
    UNKNOWN_AGE,
    FleetExchange,
    FleetMark,
    FleetRecord,
    FleetSuspicion,
    FleetWeights,
)


class MessageMerger:
    """Applies the messages of other routers to this router's state.

    Parameters
    ----------
    name
        Name of this router.
    directory, selector, quarantine, part_quarantine
        Get the records, loads, suspicions and evidence on parts of prompts of
        the messages.
    clock
        The source of time.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        selector: Selector,
        quarantine: Quarantine,
        part_quarantine: PartQuarantine,
        clock: Clock,
    ) -> None:
        """Start without known routers."""
        self._directory = directory
        self._selector = selector
        self._quarantine = quarantine
        self._part_quarantine = part_quarantine
        self._clock = clock
        self._members = MemberList(name)
        self._standings = LeadStandings()
        self._known_names: LiveNames | None = None
        self._received_at = Millis(0)
        self._has_peer_state = False
        #: When the store last confirmed to a peer, for each topic, a next
        #: offset that this router has reached.
        self._confirmed_at: dict[Topic, Millis] = {}
        #: When the calls of each peer were last received.
        self._loads_received_at: dict[str, Millis] = {}
        #: Returns a time before which the store had no record of a topic that
        #: this router has not read itself; ``None`` if it has read nothing.
        self.unchanged_until: Callable[[Topic], Millis | None] = lambda topic: (
            None
        )
        #: Called when another router announces that servers are paused.
        self.on_pause_received: Callable[[], None] = lambda: None
        #: Called once when another router announces that it stops.
        self.on_peer_left: Callable[[], None] = lambda: None

    @property
    def peers(self) -> tuple[Member, ...]:
        """The other live routers."""
        return self._members.live(self._clock.now())

    @property
    def peer_names(self) -> LiveNames:
        """The names of the other live routers."""
        return self._members.live_names(self._clock.now())

    @property
    def members(self) -> MemberList:
        """The list of other routers."""
        return self._members

    @property
    def standings(self) -> LeadStandings:
        """Which routers cannot lead."""
        return self._standings

    @property
    def received_at(self) -> Millis:
        """When the last message of another router was received."""
        return self._received_at

    @property
    def has_peer_state(self) -> bool:
        """Whether a message with the whole state of a peer was received."""
        return self._has_peer_state

    def peer_confirmed_at(self, topic: Topic) -> Millis:
        """Return when the store last confirmed a topic to a peer.

        Only confirmations of an offset that this router has reached count.
        """
        return self._confirmed_at.get(topic, Millis(0))

    def merge_message(self, message: FleetExchange) -> None:
        """Apply a message that a router sent by itself.

        How long it was under way is not known: it may have waited while this
        router was suspended. It therefore confirms no records, and what its
        sender knows otherwise counts as older by a whole message delay.
        """
        self._merge(message, None)

    def merge_reply(self, message: FleetExchange, asked_at: Millis) -> None:
        """Apply the answer to a message of this router.

        The ages in it count from when this router asked, which was before the
        answer was written. If they counted from its arrival, each hop would
        make a fact younger, and one that circulates would never become old.
        """
        self._merge(message, asked_at)

    def apply_pause(self, server_id: str, duration: Millis) -> None:
        """Pause calls to a server for a duration; 0 ends the pause."""
        load = self._selector.load_of(server_id)
        load.loading_until = Millis(self._clock.now() + duration)

    def apply_weights(self, notification: FleetWeights) -> None:
        """End the pause of a server that reports newer weights."""
        load = self._selector.load_of(notification.server)
        if (
            load.reported_weights.get(notification.model, 0)
            < notification.version
        ):
            load.reported_weights[notification.model] = notification.version
            load.loading_until = Millis(0)
            server = self._directory.servers.get(notification.server)
            if server is not None:
                self._quarantine.record_load(server.endpoint, self._clock.now())

    def _merge(self, message: FleetExchange, asked_at: Millis | None) -> None:
        """Apply all parts of one message.

        Parameters
        ----------
        asked_at
            When this router asked; ``None`` if it did not.
        """
        now = self._clock.now()
        told_at = Millis(
            now - MAXIMUM_MESSAGE_DELAY if asked_at is None else asked_at
        )
        self._received_at = now
        self._has_peer_state |= message.asks or message.answers
        if message.leaves:
            if self._members.remove_member(message.name, now):
                self.on_peer_left()
        else:
            seen_at = now if asked_at is None else asked_at
            self._observe_members(message, seen_at, told_at, now)
        self._apply_records(message, asked_at, now)
        self._apply_loads(message, now)
        self._apply_statements(message, told_at, now)
        if message.pauses:
            self.on_pause_received()
        for pause in message.pauses:
            self.apply_pause(pause.server, Millis(pause.remaining_ms))
        for notification in message.weights:
            self.apply_weights(notification)
        self._apply_limits(message, now)
        for report in message.silences:
            self._apply_unresponsive_report(report.server, message.name, now)
        self._apply_crashes(message, told_at, now)

    def _apply_limits(self, message: FleetExchange, now: Millis) -> None:
        """Apply which servers name a rate limit, and which are brittle."""
        for limits, parts in (
            (self._selector.limits, message.limits),
            (self._selector.brittle.stated, message.brittle),
        ):
            for part in parts:
                limits.merge_report(limit_report(part), message.name, now)

    def _apply_crashes(
        self, message: FleetExchange, told_at: Millis, now: Millis
    ) -> None:
        delay = Millis(now - told_at)
        self._quarantine.merge_suspicions(
            tuple(_suspicion(part, delay) for part in message.suspicions),
            now,
        )
        self._part_quarantine.merge(parse_part_evidence(message.parts), now)

    def _apply_statements(
        self, message: FleetExchange, told_at: Millis, now: Millis
    ) -> None:
        """Apply who leaves, and which versions services had."""
        statements = self._selector.statements
        for leaving in message.leaving:
            server_id, started_at = leaving.server, leaving.started_at
            if leaving.age_ms == UNKNOWN_AGE:
                statements.record_undated(server_id, started_at, now)
            else:
                known_at = Millis(told_at - leaving.age_ms)
                statements.record_leaving(server_id, started_at, known_at)
        if message.asks or message.answers:
            self._selector.versions.merge(
                version_sightings(message.versions),
                Millis(message.versions_known_ms),
                now,
            )

    def _apply_unresponsive_report(
        self, server_id: str, peer: str, now: Millis
    ) -> None:
        load = self._selector.load_of(server_id)
        was_unresponsive = load.is_reported_unresponsive(now)
        load.record_unresponsive_report(peer, now)
        if load.is_reported_unresponsive(now) and not was_unresponsive:
            log_state_change('server_told_silent', server=server_id, peer=peer)

    def _observe_members(
        self,
        message: FleetExchange,
        seen_at: Millis,
        told_at: Millis,
        now: Millis,
    ) -> None:
        sender = Member(
            name=message.name,
            endpoint=message.endpoint,
            data_centre=message.data_centre,
            last_seen_at=seen_at,
        )
        others = (
            Member(
                name=part.name,
                endpoint=part.endpoint,
                data_centre=part.data_centre,
                last_seen_at=Millis(told_at - part.age_ms),
            )
            for part in message.members
        )
        self._members.observe_members((sender, *others), now)
        self._standings.observe_message(message)
        names = self._members.live_names(now)
        if names is not self._known_names:
            self._known_names = names
            log_state_change('routers_known', count=len(names.ordered) + 1)

    def _apply_records(
        self, message: FleetExchange, asked_at: Millis | None, now: Millis
    ) -> None:
        """Apply records, confirmation times and evidence on their ages.

        Only answers carry records. They have all changes from this router's
        next offset on.
        """
        if asked_at is not None:
            self._directory.merge_target_evidence(
                target_evidence(message.targets, asked_at)
            )
        for part in message.marks:
            topic = Topic(part.topic)
            records = tuple(
                _record(record)
                for record in message.records
                if record.topic == part.topic
            )
            if message.answers:
                self._apply_topic(part, records, now)
            has_reached = part.era == self._directory.era(
                topic
            ) and part.mark <= self._directory.next_offset(topic)
            if asked_at is not None and has_reached:
                confirmed_at = Millis(asked_at - part.age_ms)
                known = self._confirmed_at.get(topic, Millis(0))
                self._confirmed_at[topic] = max(known, confirmed_at)

    def _apply_topic(
        self, mark: FleetMark, records: tuple[KeyedRecord, ...], now: Millis
    ) -> None:
        """Apply the records of one topic, unless they are of an earlier era."""
        topic = Topic(mark.topic)
        known = self._directory.era(topic)
        is_ahead = mark.mark > self._directory.next_offset(topic)
        if mark.era < known or not (records or is_ahead or mark.era > known):
            return
        if mark.era > known and not mark.is_listing and known != UNKNOWN_ERA:
            # The answer is to a question before this router's last listing.
            return
        self._directory.begin_era(topic, mark.era, now)
        apply = (
            self._directory.apply_listing
            if mark.is_listing and mark.era > known
            else self._directory.apply_records
        )
        apply(topic, records, mark.mark, now, self.unchanged_until(topic))

    def _apply_loads(self, message: FleetExchange, now: Millis) -> None:
        if not message.marks:
            return
        reported = {part.server for part in message.loads}
        for server_id, load in self._selector.loads.items():
            if server_id not in reported:
                load.remove_peer_load(message.name)
        for part in message.loads:
            self._selector.load_of(part.server).update_peer_load(
                message.name,
                PeerLoad(
                    active_calls=part.active,
                    waiting_tokens=part.waiting_tokens,
                    unmovable_calls=part.fixed,
                    kv_tokens=part.kv_tokens,
                    received_at=now,
                ),
            )
        self._update_coverage(message.name, now)

    def _update_coverage(self, name: str, now: Millis) -> None:
        """Update the share of live peers whose calls are known."""
        self._loads_received_at[name] = now
        self._loads_received_at = {
            peer: at
            for peer, at in self._loads_received_at.items()
            if now - at < PEER_LOAD_LIFETIME
        }
        peer_coverage = self._selector.peer_coverage
        peer_coverage.update(
            live_peers=len(self.peer_names.ordered),
            reporting_peers=len(self._loads_received_at),
        )


def _record(part: FleetRecord) -> KeyedRecord:
    return KeyedRecord(
        key=part.key,
        offset=part.offset,
        value=None if part.removes else part.value,
    )


def _suspicion(part: FleetSuspicion, delay: Millis) -> CrashSuspicion:
    return CrashSuspicion(
        fingerprint=part.fingerprint,
        crashes=frozenset(filter(None, part.crashes.split(','))),
        cleared=frozenset(filter(None, part.cleared.split(','))),
        age=Millis(part.age_ms + delay),
    )
