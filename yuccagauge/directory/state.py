"""The directory: decoded configuration, servers and weights targets."""

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    Configuration,
    ObservedTarget,
    WeightsTarget,
)
from yuccagauge.directory.records import KeyedRecord, KeyedRecords

#: A server whose entry lapses around an outage of the store stays in use
#: for this long after the store is back; a living server writes its entry
#: again within about two seconds of the store's return.
LAPSE_GRACE = Millis(2200)

#: Time after an outage in which a lapsed entry may stem from the outage.
OUTAGE_SHADOW = Millis(3000)


#: Namings of weights that are remembered for each model. Versions follow
#: each other every few seconds, and old weights may be used for longer.
MAXIMUM_NAMINGS = 16


@enum.unique
class Topic(enum.IntEnum):
    """The keyed topics that routers follow."""

    OPERATIONS = 0
    SERVERS = 1


class RecordDecoder(Protocol):
    """Turns records of the store into typed values."""

    def decode_operator_record(
        self,
        key: str,
        value: bytes,
    ) -> Configuration | WeightsTarget | None:
        """Return what the operator wrote; ``None`` for other records.

        Raises
        ------
        RecordError
            If the record cannot be understood.
        """

    def decode_server(self, key: str, value: bytes) -> BackendServer | None:
        """Return the server; ``None`` if the entry names none to use."""


#: Told after each change of the directory.
ChangeListener = Callable[[], None]


class Directory:
    """What the router believes about configuration and servers.

    Parameters
    ----------
    decoder
        Reads the records.
    """

    def __init__(self, decoder: RecordDecoder) -> None:
        """Know nothing yet."""
        self._decoder = decoder
        self._topics = {topic: KeyedRecords() for topic in Topic}
        self._configuration: Configuration | None = None
        self._servers: dict[str, BackendServer] = {}
        #: The latest namings of each model, the newest version last.
        self._target_history: dict[str, tuple[ObservedTarget, ...]] = {}
        #: Servers whose entry lapsed in an outage, and until when they stay.
        self._lapsed: dict[str, Millis] = {}
        self._outage_ended: Millis | None = None
        self._in_outage = False
        self._listed: set[Topic] = set()
        self.listeners: list[ChangeListener] = []

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, or ``None`` before the first one."""
        return self._configuration

    @property
    def servers(self) -> Mapping[str, BackendServer]:
        """All backend servers by id, the leaving ones too."""
        return self._servers

    @property
    def targets(self) -> Mapping[str, int]:
        """The newest named weights version of each model."""
        return {
            model: target_history[-1].version
            for model, target_history in self._target_history.items()
        }

    @property
    def is_ready(self) -> bool:
        """Whether configuration and servers are known."""
        return self._configuration is not None and Topic.SERVERS in self._listed

    @property
    def target_history(self) -> Mapping[str, tuple[ObservedTarget, ...]]:
        """The latest named weights versions of each model, newest last."""
        return self._target_history

    def next_offset(self, topic: Topic) -> int:
        """Return the offset below which everything has been applied."""
        return self._topics[topic].next_offset

    def changes_since(
        self, topic: Topic, next_offset: int
    ) -> tuple[KeyedRecord, ...]:
        """Return the records that peers at an offset need."""
        return self._topics[topic].changes_since(next_offset)

    def note_outage(self) -> None:
        """Remember that the store does not answer."""
        self._in_outage = True

    def note_answer(self, now: Millis) -> None:
        """Remember that the store answers."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended = now
            until = Millis(now + LAPSE_GRACE)
            self._lapsed = dict.fromkeys(self._lapsed, until)

    def apply_records(
        self,
        topic: Topic,
        records: tuple[KeyedRecord, ...],
        next_offset: int,
        now: Millis,
    ) -> None:
        """Merge records."""
        changed = self._topics[topic].apply_records(records, next_offset)
        self._settle(topic, changed, now)

    def apply_listing(
        self,
        topic: Topic,
        records: tuple[KeyedRecord, ...],
        next_offset: int,
        now: Millis,
    ) -> None:
        """Merge a complete listing."""
        changed = self._topics[topic].apply_listing(records, next_offset)
        self._settle(topic, changed, now)

    def remove_lapsed_servers(self, now: Millis) -> tuple[str, ...]:
        """Drop the servers whose grace after a lapse is over."""
        ended = tuple(
            server_id
            for server_id, until in self._lapsed.items()
            if now >= until and not self._in_outage
        )
        for server_id in ended:
            self._lapsed.pop(server_id)
            self._servers.pop(server_id, None)
        if ended:
            self._tell()
        return ended

    def _settle(
        self,
        topic: Topic,
        changed: tuple[KeyedRecord, ...],
        now: Millis,
    ) -> None:
        is_news = topic not in self._listed
        self._listed.add(topic)
        take = (
            self._take_server
            if topic is Topic.SERVERS
            else self._take_operation
        )
        for record in changed:
            # Most entries differ from the last one in their count alone.
            is_change = take(record, now)
            is_news = is_news or is_change
            if is_change or record.value is None:
                self._topics[topic].note_change(record)
        if is_news:
            self._tell()

    def _take_server(self, record: KeyedRecord, now: Millis) -> bool:
        """Take an entry; return whether it changes what is known."""
        if record.value is None:
            return self._lapse(record.key, now)
        server = self._decoder.decode_server(record.key, record.value)
        self._lapsed.pop(record.key, None)
        known = self._servers.get(record.key)
        if server is None:
            self._servers.pop(record.key, None)
        else:
            self._servers[record.key] = server
        return server != known

    def _lapse(self, server_id: str, now: Millis) -> bool:
        """Take the removal of an entry; return whether it is gone now."""
        ended = self._outage_ended
        in_shadow = ended is not None and now - ended < OUTAGE_SHADOW
        if server_id in self._servers and (self._in_outage or in_shadow):
            start = now if self._in_outage else max(ended, now - LAPSE_GRACE)
            self._lapsed.setdefault(server_id, Millis(start + LAPSE_GRACE))
            return False
        return self._servers.pop(server_id, None) is not None

    def _take_operation(self, record: KeyedRecord, now: Millis) -> bool:
        """Take what the operator wrote; return whether it is newer."""
        if record.value is None:
            return False
        found = self._decoder.decode_operator_record(record.key, record.value)
        if isinstance(found, Configuration):
            known = self._configuration
            # A process never goes back to an older version.
            if known is not None and found.version <= known.version:
                return False
            self._configuration = found
            return True
        if not isinstance(found, WeightsTarget):
            return False
        known = self._target_history.get(found.model, ())
        if known and found.version <= known[-1].version:
            return False
        observed_target = ObservedTarget(version=found.version, observed_at=now)
        self._target_history[found.model] = (*known, observed_target)[
            -MAXIMUM_NAMINGS:
        ]
        return True

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()
