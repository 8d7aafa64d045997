"""The decoded configuration, backend servers and weights targets."""

import enum
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    Configuration,
    NamedWeights,
    TargetEvidence,
    WeightsTarget,
)
from yuccagauge.directory.heartbeats import Heartbeat
from yuccagauge.directory.position import UNKNOWN_ERA, StorePosition
from yuccagauge.directory.records import KeyedRecord, KeyedRecords
from yuccagauge.directory.removed import RemovedServers
from yuccagauge.directory.settled import SettledEntries
from yuccagauge.directory.targets import TargetHistory
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter

#: An outage of the store also stops live servers from renewing their entries.
#: Such a server writes its entry again within about two seconds of the end of
#: the outage, so a server whose entry lapsed stays in use for this long after
#: the end.
LAPSED_ENTRY_GRACE = Millis(2200)

#: Time after an outage in which an entry may lapse because of the outage.
OUTAGE_LAPSE_WINDOW = Millis(3000)

#: Keys that one log line names.
_LOGGED_KEYS = 8

_RESTORES = counter(
    'yuccagauge.store.restores',
    'Topics that were listed anew because the store came back from a copy.',
    '{topic}',
)


@enum.unique
class Topic(enum.IntEnum):
    """The keyed topics that routers follow."""

    OPERATIONS = 0
    SERVERS = 1


class RecordDecoder(Protocol):
    """Decodes records of the store into typed values."""

    def decode_operator_record(
        self,
        key: str,
        value: bytes,
    ) -> Configuration | WeightsTarget | None:
        """Return the decoded value; ``None`` for records of other kinds.

        Raises
        ------
        RecordError
            If the record cannot be decoded.
        """

    def decode_server(self, key: str, value: bytes) -> BackendServer | None:
        """Return the server; ``None`` if the entry names no usable one."""


#: Called after each change of the directory.
ChangeListener = Callable[[], None]


class Directory:
    """The configuration and the servers that are known to this router.

    Parameters
    ----------
    decoder
        Decodes the records.
    """

    def __init__(self, decoder: RecordDecoder) -> None:
        """Create an empty directory."""
        self._decoder = decoder
        self._topics = {topic: KeyedRecords() for topic in Topic}
        self._configuration: Configuration | None = None
        self._servers: dict[str, BackendServer] = {}
        self._removed = RemovedServers()
        self._heartbeats: dict[str, Heartbeat] = {}
        self._settled = SettledEntries()
        self._targets = TargetHistory()
        #: Servers whose entry lapsed in an outage, and when they are removed.
        self._lapsed_until: dict[str, Millis] = {}
        self._outage_ended_at: Millis | None = None
        self._in_outage = False
        self._received_topics: set[Topic] = set()
        #: Eras of topics that were left since their last listing.
        self._left_eras: dict[Topic, int] = {}
        self.listeners: list[ChangeListener] = []

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, or ``None`` before the first one."""
        return self._configuration

    @property
    def servers(self) -> Mapping[str, BackendServer]:
        """All backend servers by id, including draining ones."""
        return self._servers

    def removed_servers(self, now: Millis) -> tuple[BackendServer, ...]:
        """Return the servers whose entries were removed lately."""
        return self._removed.recent(now)

    @property
    def heartbeats(self) -> Mapping[str, Heartbeat]:
        """The newest count of the heartbeats of each server."""
        return self._heartbeats

    @property
    def settled_entries(self) -> SettledEntries:
        """The entries that show which process of a server runs."""
        return self._settled

    @property
    def targets(self) -> Mapping[str, int]:
        """The newest target weights version of each model."""
        return self._targets.newest

    @property
    def is_ready(self) -> bool:
        """Whether the configuration and the servers have been received."""
        return (
            self._configuration is not None
            and Topic.SERVERS in self._received_topics
        )

    @property
    def named_weights(self) -> Mapping[str, NamedWeights]:
        """The newest target version of each model, and the ages of all."""
        return self._targets.snapshot()

    def target_evidence(self, now: Millis) -> tuple[TargetEvidence, ...]:
        """Return what is known of when versions were named lately."""
        return self._targets.recent_evidence(now)

    def next_offset(self, topic: Topic) -> int:
        """Return the offset below which all records have been applied."""
        return self._topics[topic].next_offset

    def era(self, topic: Topic) -> int:
        """Return the era of the store in which the topic was received."""
        return self._topics[topic].era

    def position(self, topic: Topic) -> StorePosition:
        """Return up to where all records have been applied."""
        return StorePosition(
            era=self.era(topic), offset=self.next_offset(topic)
        )

    def changes_since(
        self, topic: Topic, next_offset: int
    ) -> tuple[KeyedRecord, ...]:
        """Return the records that a peer with this next offset lacks."""
        return self._topics[topic].changes_since(next_offset)

    def records(self, topic: Topic) -> tuple[KeyedRecord, ...]:
        """Return all records of a topic, for a peer of an earlier era."""
        return self._topics[topic].records

    def record_store_outage(self) -> None:
        """Record that the store does not answer."""
        self._in_outage = True

    def record_store_answer(self, now: Millis) -> None:
        """Record that the store answers; this ends an outage."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_at = now
            until = Millis(now + LAPSED_ENTRY_GRACE)
            self._lapsed_until = dict.fromkeys(self._lapsed_until, until)

    def begin_era(self, topic: Topic, era: int, now: Millis) -> None:
        """Expect records of a later era: the store came back from a copy.

        A complete listing has to follow. Entries that it lacks may be those of
        servers that live, as after an outage.
        """
        known = self._topics[topic].era
        self._topics[topic].begin_era(era)
        if known == UNKNOWN_ERA or era <= known:
            return
        self._left_eras[topic] = known
        if topic is Topic.SERVERS:
            self._in_outage = True
            self.record_store_answer(now)

    def apply_records(
        self,
        topic: Topic,
        records: tuple[KeyedRecord, ...],
        next_offset: int,
        now: Millis,
        unchanged_until: Millis | None = None,
    ) -> None:
        """Merge records of a topic.

        Parameters
        ----------
        unchanged_until
            Time before which none of the records had been written that this
            router does not have yet; ``None`` if it does not know.
        """
        changed = self._topics[topic].apply_records(records, next_offset)
        self._process_changes(topic, changed, now, unchanged_until)

    def apply_listing(
        self,
        topic: Topic,
        records: tuple[KeyedRecord, ...],
        next_offset: int,
        now: Millis,
        unchanged_until: Millis | None = None,
    ) -> None:
        """Merge a complete listing of a topic; see ``apply_records``."""
        changed = self._topics[topic].apply_listing(records, next_offset)
        self._log_restore(topic, changed)
        self._process_changes(topic, changed, now, unchanged_until)

    def merge_target_evidence(self, evidence: Iterable[TargetEvidence]) -> None:
        """Add what peers or the store know of when weights were named."""
        if self._targets.merge(evidence):
            self._notify_listeners()

    def remove_lapsed_servers(self, now: Millis) -> tuple[str, ...]:
        """Remove and return the servers whose grace period has ended."""
        removed = tuple(
            server_id
            for server_id, until in self._lapsed_until.items()
            if now >= until and not self._in_outage
        )
        for server_id in removed:
            self._lapsed_until.pop(server_id)
            self._remove_server(server_id, now)
        if removed:
            self._notify_listeners()
        return removed

    def _process_changes(
        self,
        topic: Topic,
        changed: tuple[KeyedRecord, ...],
        now: Millis,
        unchanged_until: Millis | None,
    ) -> None:
        must_notify = topic not in self._received_topics
        self._received_topics.add(topic)
        for record in changed:
            # Most entries differ from the previous one only in a counter.
            is_change = (
                self._apply_server_entry(record, now, unchanged_until)
                if topic is Topic.SERVERS
                else self._apply_operator_record(record, unchanged_until)
            )
            must_notify = must_notify or is_change
            if is_change or record.value is None:
                self._topics[topic].mark_changed(record)
        if must_notify:
            self._notify_listeners()

    def _log_restore(
        self, topic: Topic, changed: tuple[KeyedRecord, ...]
    ) -> None:
        """Log what the first listing of an era lacks."""
        left = self._left_eras.pop(topic, None)
        if left is None:
            return
        _RESTORES.add(1, {'topic': topic.name.lower()})
        dropped = [record.key for record in changed if record.value is None]
        log_state_change(
            'store_restored',
            topic=topic.name,
            era=self.era(topic),
            previous=left,
            dropped=len(dropped),
            keys=dropped[:_LOGGED_KEYS],
        )

    def _apply_server_entry(
        self, record: KeyedRecord, now: Millis, unchanged_until: Millis | None
    ) -> bool:
        """Apply a server's entry; return whether the server changed."""
        if record.value is None:
            self._heartbeats.pop(record.key, None)
            self._settled.remove(record.key)
            return self._apply_removal(record.key, now)
        server = self._decoder.decode_server(record.key, record.value)
        if server is None:
            self._settled.remove(record.key)
        else:
            self._settled.record(server, unchanged_until, now)
            self._record_heartbeat(server, now, unchanged_until)
        self._lapsed_until.pop(record.key, None)
        known = self._servers.get(record.key)
        if server is None:
            self._servers.pop(record.key, None)
        else:
            self._servers[record.key] = server
            self._removed.discard(record.key)
        return server != known

    def _record_heartbeat(
        self, server: BackendServer, now: Millis, written_after: Millis | None
    ) -> None:
        known = self._heartbeats.get(server.server_id)
        # A write that got no answer may be done after later ones.
        is_late = (
            known is not None
            and known.started_at == server.started_at
            and known.count >= server.heartbeat_count
        )
        if not is_late:
            self._heartbeats[server.server_id] = Heartbeat(
                started_at=server.started_at,
                count=server.heartbeat_count,
                written_after=written_after,
                written_before=now,
            )

    def _apply_removal(self, server_id: str, now: Millis) -> bool:
        """Apply the removal of an entry; return whether the server is removed.

        An entry that lapses in or just after an outage leaves the server in
        use for a grace period.
        """
        ended_at = self._outage_ended_at
        in_lapse_window = (
            ended_at is not None and now - ended_at < OUTAGE_LAPSE_WINDOW
        )
        if server_id in self._servers and (self._in_outage or in_lapse_window):
            start = (
                now
                if self._in_outage
                else max(ended_at, now - LAPSED_ENTRY_GRACE)
            )
            self._lapsed_until.setdefault(
                server_id, Millis(start + LAPSED_ENTRY_GRACE)
            )
            return False
        return self._remove_server(server_id, now)

    def _remove_server(self, server_id: str, now: Millis) -> bool:
        """Remove a server; return whether it was listed."""
        server = self._servers.pop(server_id, None)
        if server is not None:
            self._removed.add(server, now)
        return server is not None

    def _apply_operator_record(
        self, record: KeyedRecord, unchanged_until: Millis | None
    ) -> bool:
        """Apply a record of the operator; return whether it is newer."""
        if record.value is None:
            return False
        found = self._decoder.decode_operator_record(record.key, record.value)
        if isinstance(found, Configuration):
            known = self._configuration
            # A process never returns to an older version.
            if known is not None and found.version <= known.version:
                return False
            self._configuration = found
            return True
        if not isinstance(found, WeightsTarget):
            return False
        return self._targets.record_named(
            found.model, found.version, unchanged_until
        )

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()
