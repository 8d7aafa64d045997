"""The platform's store in memory, in virtual time, with its faults."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from features.memory_network import MemoryNetwork
from features.relay_fixture import configuration
from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Topic
from yuccagauge.directory.store import (
    StoreGapError,
    StorePage,
    StoreUnavailableError,
)
from yuccagauge.directory.targetarchive import StoredTarget
from yuccagauge.origins.base import StreamOrigin
from yuccagauge.platform import targetrecords
from yuccagauge.platform.originlog import decode_records, encode_records
from yuccagauge.platform.pages import split_page
from yuccagauge.quarantine.archive import StoredCrash
from yuccagauge.rollout.base import LeaseEras, LeaseState

#: Time without a heartbeat after which the store removes an entry.
_LAPSE_MS = 3600

#: Time that the store takes for an answer, and between two looks at its log
#: for a read that waits.
_STORE_DELAY_S = 0.004
_STORE_POLL_S = 0.05

#: Time after which a router gives up a call without an answer.
_GIVE_UP_S = 1.2

#: Size of what precedes the records in an answer.
_PAGE_HEADER_BYTES = 16


@dataclass(frozen=True, slots=True)
class _Record:
    key: str
    value: bytes | None
    appended_at: float


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A record of the leader lease, and when it was written, in seconds."""

    holder: str
    at: float
    eras: LeaseEras


@dataclass(frozen=True, slots=True)
class _TargetWrite:
    records: Mapping[str, str]
    at: float


class SimulatedStore:
    """The platform's log: entries of servers, and the configuration."""

    def __init__(self, network: MemoryNetwork) -> None:
        """Create a store that has the configuration."""
        self.is_down = False
        #: Rises each time the store comes back from a copy.
        self.era = 4
        #: Whether calls get no answer, so that routers give them up.
        self.is_silent = False
        #: Routers that the store refuses.
        self.refused: set[str] = set()
        #: When it last refused a router.
        self.refused_at = Millis(0)
        #: Called with a router's name before each read.
        self.on_read: Any = lambda name: None
        self._reactor = network.reactor
        document = json.dumps(configuration()).encode()
        self._log: dict[Topic, list[_Record]] = {
            Topic.OPERATIONS: [_Record('config', document, 0)],
            Topic.SERVERS: [],
        }
        self._first = dict.fromkeys(Topic, 0)
        #: Software versions of services that had several, and their writes.
        self.versions: dict[str, tuple[str, ...]] = {}
        self.version_writes = 0
        #: When the versions of each model were named, and the writes of that.
        self._targets: dict[str, str] = {}
        self.target_writes = 0
        self._target_log: list[_TargetWrite] = []
        #: The log of stream origins, and the appends to it.
        self._origins = b''
        self.origin_appends = 0
        self._crashes: dict[tuple[bytes, str], StoredCrash] = {}
        #: The records of the leader lease, and all that were ever written.
        self._lease: list[LeaseWrite] = []
        self.lease_writes: list[LeaseWrite] = []

    def append_entry(self, key: str, value: bytes | None) -> None:
        """Write an entry of a server, unless the store is down."""
        if not self.is_down:
            record = _Record(key, value, self._reactor.seconds())
            self._log[Topic.SERVERS].append(record)

    def append_configuration(self, document: dict[str, Any]) -> None:
        """Write a version of the configuration."""
        self.append_operation('config', document)

    def append_operation(self, key: str, document: dict[str, Any]) -> None:
        """Write a record of the operator."""
        value = json.dumps(document).encode()
        record = _Record(key, value, self._reactor.seconds())
        self._log[Topic.OPERATIONS].append(record)

    def append_weights(self, model: str, version: int) -> None:
        """Name weights, as the operator does."""
        value = json.dumps({'model': model, 'version': version}).encode()
        key = f'version/{model}'
        record = _Record(key, value, self._reactor.seconds())
        self._log[Topic.OPERATIONS].append(record)

    def remove_lapsed(self) -> None:
        """Remove the entries without a heartbeat for some time."""
        now = self._reactor.seconds()
        for record in self._newest(Topic.SERVERS).values():
            age_ms = (now - record[1].appended_at) * 1000
            if record[1].value is not None and age_ms > _LAPSE_MS:
                self.append_entry(record[1].key, None)

    def drop_history(self) -> None:
        """Drop all records but the newest of each key."""
        self._first = {topic: len(log) for topic, log in self._log.items()}

    def restore_copy(self, age_s: float, *, rewrites_all: bool = True) -> None:
        """Return to a copy of the past; its offsets are given out again.

        Parameters
        ----------
        rewrites_all
            Whether the operator writes all lost records again, in their order,
            or only the newest of each key.
        """
        now = self._reactor.seconds()
        until = now - age_s
        self.era += 1
        lost = [
            record
            for record in self._log[Topic.OPERATIONS]
            if record.appended_at > until
        ]
        for topic, log in self._log.items():
            self._log[topic] = [
                record for record in log if record.appended_at <= until
            ]
            self._first[topic] = 0
        self._lease = [record for record in self._lease if record.at <= until]
        self._target_log = [
            write for write in self._target_log if write.at <= until
        ]
        self._targets = {
            key: value
            for write in self._target_log
            for key, value in write.records.items()
        }
        if not rewrites_all:
            lost = list({record.key: record for record in lost}.values())
        self._log[Topic.OPERATIONS] += [
            _Record(record.key, record.value, now) for record in lost
        ]

    def list_newest(self, name: str, topic: Topic) -> Deferred[StorePage]:
        """Return the newest record of each key."""
        return self._answer(name, lambda: self._list(topic))

    def read_from(
        self, name: str, topic: Topic, offset: int, wait: Millis
    ) -> Deferred[StorePage]:
        """Return the records from an offset on, or wait for the first."""
        result: Deferred[StorePage] = Deferred()
        end = self._reactor.seconds() + wait / 1000

        def look() -> None:
            if result.called:
                return
            log = self._log[topic]
            if (
                len(log) == offset
                and self._reactor.seconds() < end
                and self._serves(name)
            ):
                self._reactor.callLater(_STORE_POLL_S, look)
                return
            self._answer(name, lambda: self._page(topic, offset)).chainDeferred(
                result
            )

        look()
        return result

    def write_crashes(
        self, name: str, crashes: tuple[StoredCrash, ...]
    ) -> Deferred[None]:
        """Add or remove crashes."""

        def write() -> None:
            for crash in crashes:
                self._crashes[crash.fingerprint, crash.crash] = crash

        return self._answer(name, write)

    def list_crashes(self, name: str) -> Deferred[tuple[StoredCrash, ...]]:
        """Return all crashes that are not removed."""
        return self._answer(
            name,
            lambda: tuple(
                crash
                for crash in self._crashes.values()
                if crash.crashed_at is not None
            ),
        )

    def list_versions(self, name: str) -> Deferred[dict[str, tuple[str, ...]]]:
        """Return the software versions of services that had several."""
        return self._answer(name, lambda: dict(self.versions))

    def write_versions(
        self, name: str, service: str, versions: tuple[str, ...]
    ) -> Deferred[None]:
        """Store or remove the software versions of a service."""

        def write() -> None:
            self.version_writes += 1
            if versions:
                self.versions[service] = versions
            else:
                self.versions.pop(service, None)

        return self._answer(name, write)

    def read_lease(self, name: str) -> Deferred[LeaseState]:
        """Return the last holder and the number of records of the lease."""
        return self._answer(
            name,
            lambda: LeaseState(
                record_count=len(self._lease),
                holder=self._lease[-1].holder if self._lease else '',
                era=self.era,
                eras=self._lease[-1].eras if self._lease else LeaseEras(),
            ),
        )

    def append_lease(
        self, name: str, holder: str, expected_count: int, eras: LeaseEras
    ) -> Deferred[bool]:
        """Append a record if the number of records is as expected."""

        def append() -> bool:
            if len(self._lease) != expected_count:
                return False
            write = LeaseWrite(holder, self._reactor.seconds(), eras)
            self._lease.append(write)
            self.lease_writes.append(write)
            return eras.written == self.era

        return self._answer(name, append)

    def list_targets(
        self, name: str
    ) -> Deferred[dict[str, tuple[StoredTarget, ...]]]:
        """Return when the versions of each model were named."""

        def read() -> dict[str, tuple[StoredTarget, ...]]:
            return targetrecords.decode(
                KeyedRecord(key=key, offset=0, value=value.encode())
                for key, value in self._targets.items()
            )

        return self._answer(name, read)

    def write_targets(
        self, name: str, model: str, targets: Sequence[StoredTarget]
    ) -> Deferred[None]:
        """Store when the versions of a model were named."""

        def write() -> None:
            self.target_writes += 1
            records = targetrecords.encode(model, targets)
            self._targets.update(records)
            self._target_log.append(
                _TargetWrite(records, self._reactor.seconds())
            )

        return self._answer(name, write)

    def append_origins(
        self, name: str, streams: Mapping[StreamOrigin, Sequence[bytes]]
    ) -> Deferred[None]:
        """Append the keys of streams by their origin."""

        def append() -> None:
            self.origin_appends += 1
            self._origins += encode_records(streams)

        return self._answer(name, append)

    def read_origins(self, name: str) -> Deferred[dict[bytes, StreamOrigin]]:
        """Return the origin of each stream that was appended."""

        def read() -> dict[bytes, StreamOrigin]:
            _, contents = split_page(bytes(_PAGE_HEADER_BYTES) + self._origins)
            return dict(decode_records(contents))

        return self._answer(name, read)

    def _page(self, topic: Topic, offset: int) -> StorePage:
        log = self._log[topic]
        if not self._first[topic] <= offset <= len(log):
            raise StoreGapError('no such offset')
        records = tuple(
            KeyedRecord(key=each.key, offset=number, value=each.value)
            for number, each in enumerate(log[offset:], offset)
        )
        return StorePage(records=records, next_offset=len(log), era=self.era)

    def _list(self, topic: Topic) -> StorePage:
        records = tuple(
            KeyedRecord(key=each.key, offset=number, value=each.value)
            for number, each in self._newest(topic).values()
            if each.value is not None
        )
        return StorePage(
            records=records,
            next_offset=len(self._log[topic]),
            era=self.era,
        )

    def _newest(self, topic: Topic) -> dict[str, tuple[int, _Record]]:
        return {
            record.key: (number, record)
            for number, record in enumerate(self._log[topic])
        }

    def _serves(self, name: str) -> bool:
        is_up = not self.is_down and not self.is_silent
        return is_up and name not in self.refused

    def _answer(self, name: str, read: Any) -> Deferred[StorePage]:
        result: Deferred[StorePage] = Deferred()
        is_lost = self.is_silent

        def answer() -> None:
            if result.called:
                return
            self.on_read(name)
            if is_lost or not self._serves(name):
                self.refused_at = Millis(round(self._reactor.seconds() * 1000))
                result.errback(StoreUnavailableError('refused'))
                return
            try:
                result.callback(read())
            except StoreGapError as error:
                result.errback(error)

        delay_s = _GIVE_UP_S if self.is_silent else _STORE_DELAY_S
        self._reactor.callLater(delay_s, answer)
        return result


class StoreClient:
    """The store as one router sees it."""

    def __init__(self, store: SimulatedStore, name: str) -> None:
        """Read the store under the name of a router."""
        self._store = store
        self._name = name

    def list_newest(self, topic: Topic) -> Deferred[StorePage]:
        """Return the newest record of each key."""
        return self._store.list_newest(self._name, topic)

    def read_from(
        self, topic: Topic, offset: int, wait: Millis
    ) -> Deferred[StorePage]:
        """Return the records from an offset on."""
        return self._store.read_from(self._name, topic, offset, wait)

    def write_crashes(self, crashes: tuple[StoredCrash, ...]) -> Deferred[None]:
        """Add or remove crashes."""
        return self._store.write_crashes(self._name, crashes)

    def list_crashes(self) -> Deferred[tuple[StoredCrash, ...]]:
        """Return all crashes."""
        return self._store.list_crashes(self._name)

    def list_versions(self) -> Deferred[dict[str, tuple[str, ...]]]:
        """Return the stored versions."""
        return self._store.list_versions(self._name)

    def write_versions(
        self, service: str, versions: tuple[str, ...]
    ) -> Deferred[None]:
        """Store the versions of a service."""
        return self._store.write_versions(self._name, service, versions)

    def list_targets(self) -> Deferred[dict[str, tuple[StoredTarget, ...]]]:
        """Return when the versions of each model were named."""
        return self._store.list_targets(self._name)

    def write_targets(
        self, model: str, targets: Sequence[StoredTarget]
    ) -> Deferred[None]:
        """Store when the versions of a model were named."""
        return self._store.write_targets(self._name, model, targets)

    def read_lease(self) -> Deferred[LeaseState]:
        """Never answer: the fleet needs no leader."""
        return Deferred()

    def append_lease(
        self, holder: str, expected_count: int, eras: LeaseEras
    ) -> Deferred[bool]:
        """Never answer."""
        return Deferred()

    def append_origins(
        self, streams: Mapping[StreamOrigin, Sequence[bytes]]
    ) -> Deferred[None]:
        """Append the keys of streams by their origin."""
        return self._store.append_origins(self._name, streams)

    def read_origins(self) -> Deferred[dict[bytes, StreamOrigin]]:
        """Return the origin of each stream that was appended."""
        return self._store.read_origins(self._name)
