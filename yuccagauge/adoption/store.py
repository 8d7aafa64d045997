"""Keeps the service documents that are in force on this router."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.logger import Logger
from twisted.python.failure import Failure

from yuccagauge.adoption.records import (
    NO_VERSION,
    Checkpoint,
    config_stream,
    encode_record,
)
from yuccagauge.adoption.replay import (
    ConfigState,
    Snapshot,
    apply_page,
    begin_era,
    check_document,
    merge_snapshot,
    skip_trimmed_records,
)
from yuccagauge.clock import Millis
from yuccagauge.errors import SettingsError
from yuccagauge.logstream.backoff import Backoff
from yuccagauge.logstream.base import Log, LogPage
from yuccagauge.logstream.follower import Follower
from yuccagauge.settings.document import ServiceDocument
from yuccagauge.settings.process import BootstrapSection
from yuccagauge.settings.reader import read_file

_MILLISECONDS_PER_SECOND = 1000
_LOGGER = Logger()

#: Time between two checks whether a checkpoint or the bootstrap document is
#: due, in seconds.
_CHECK_INTERVAL_S = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentInForce:
    """A service document that is in force, with its version."""

    service: str
    version: int
    document: ServiceDocument


Listener = Callable[[DocumentInForce], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreOptions:
    """Options of a document store."""

    #: Time between two checkpoints of a stream, in milliseconds. It has to be
    #: well below the log's retention time, since a reader that starts after
    #: records were trimmed needs a checkpoint.
    checkpoint_interval: Millis = Millis(3_600_000)
    #: Time after the start, in milliseconds, at which the bootstrap document
    #: is used if the log was not read and no peer has sent a document.
    bootstrap_delay: Millis = Millis(5000)
    #: Whether this router writes the checkpoints of a service.
    writes_checkpoints: Callable[[str], bool] = lambda service: False
    bootstrap: BootstrapSection | None = None


class DocumentStore:
    """Follows the configuration streams and keeps the documents in force.

    Parameters
    ----------
    log
        The log that has the configuration streams.
    services
        Names of the services to follow.
    reactor
        Schedules reads and checks.
    seed
        Seed of the jitter of retries, for example the router's name.
    options
        Options for checkpoints and the bootstrap document.
    """

    def __init__(
        self,
        log: Log,
        services: tuple[str, ...],
        reactor: IReactorTime,
        *,
        seed: int | str = 0,
        options: StoreOptions = StoreOptions(),  # noqa: WPS404, B008
    ) -> None:
        """Create a store without documents; ``start`` begins to read."""
        self._reactor = reactor
        self._options = options
        self._in_force: dict[str, DocumentInForce] = {}
        self._listeners: list[Listener] = []
        self._counts: Counter[str] = Counter()
        self._streams = {
            service: _ServiceStream(
                log, service, reactor, seed, self._put_in_force
            )
            for service in services
        }
        self._check_loop = LoopingCall(self._run_checks)
        self._check_loop.clock = reactor
        self._started_at = reactor.seconds()

    @property
    def counters(self) -> Mapping[str, int]:
        """Counts of adoptions, offers, checkpoints, gaps and failures."""
        total = Counter(self._counts)
        for stream in self._streams.values():
            total.update(stream.counts)
        return dict(total)

    @property
    def services(self) -> tuple[str, ...]:
        """The services whose streams are followed."""
        return tuple(self._streams)

    @property
    def versions(self) -> Mapping[str, int]:
        """The highest known version of each service, to send to peers."""
        return {
            service: stream.state.highest.version
            for service, stream in self._streams.items()
            if stream.state.highest.version != NO_VERSION
        }

    def in_force(self, service: str) -> DocumentInForce | None:
        """Return the document in force, or ``None`` if none is known."""
        return self._in_force.get(service)

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call with each document put in force."""
        self._listeners.append(listener)

    def is_caught_up(self, service: str) -> bool:
        """Return whether the stream was read to its end at least once."""
        return self._streams[service].follower.caught_up

    def is_behind(self, service: str, version: int) -> bool:
        """Return whether a peer's version is higher than this router's.

        Versions of different eras of the log are not compared: a router learns
        those of the later one from the log.
        """
        stream = self._streams.get(service)
        return stream is not None and version > stream.state.highest.version

    def latest_snapshot(self, service: str) -> Snapshot | None:
        """Return the latest known snapshot, to answer a peer."""
        stream = self._streams.get(service)
        if stream is None or stream.state.highest.version == NO_VERSION:
            return None
        state = stream.state
        return state.highest if state.current is None else state.current

    def merge_snapshot(self, service: str, snapshot: Snapshot) -> bool:
        """Merge a peer's snapshot; return whether it raised the version."""
        stream = self._streams.get(service)
        if stream is None:
            return False
        self._counts['offers'] += 1
        before = stream.state.highest
        stream.update_state(merge_snapshot(stream.state, snapshot))
        return stream.state.highest is not before

    def start(self) -> None:
        """Start to follow the streams."""
        self._started_at = self._reactor.seconds()
        for stream in self._streams.values():
            stream.follower.start()
        self._check_loop.start(_CHECK_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stop following the streams; the documents stay readable."""
        for stream in self._streams.values():
            stream.follower.close()
        if self._check_loop.running:
            self._check_loop.stop()

    def _put_in_force(self, service: str, snapshot: Snapshot) -> None:
        in_force = DocumentInForce(
            service=service,
            version=snapshot.version,
            document=check_document(service, snapshot.sections),
        )
        self._in_force[service] = in_force
        self._counts['adoptions'] += 1
        for listener in self._listeners:
            try:
                listener(in_force)
            except Exception:
                # The other listeners still need the document.
                _LOGGER.failure('listener of the document store failed')
                self._counts['listener_errors'] += 1

    def _run_checks(self) -> None:
        interval = self._options.checkpoint_interval
        for service, stream in self._streams.items():
            if self._options.writes_checkpoints(service):
                stream.write_checkpoint(interval)
            if service not in self._in_force:
                self._apply_bootstrap(service)

    def _apply_bootstrap(self, service: str) -> None:
        section = self._options.bootstrap
        waited = self._reactor.seconds() - self._started_at
        delay = self._options.bootstrap_delay / _MILLISECONDS_PER_SECOND
        if section is None or not section.enabled or waited < delay:
            return
        if self.is_caught_up(service):
            return
        try:
            sections = read_file(section.document)
            document = check_document(service, sections)
        except SettingsError:
            self._counts['bootstrap_errors'] += 1
            return
        self._counts['bootstraps'] += 1
        snapshot = Snapshot(
            version=section.version,
            as_of=section.version,
            sections=document.raw,
        )
        self.merge_snapshot(service, snapshot)


class _ServiceStream:
    """A configuration stream with its follower and its state."""

    def __init__(
        self,
        log: Log,
        service: str,
        reactor: IReactorTime,
        seed: int | str,
        on_new_version: Callable[[str, Snapshot], None],
    ) -> None:
        """Create a stream with the initial state; it does not read yet."""
        self.state = ConfigState(service=service)
        self.counts: Counter[str] = Counter()
        self._log = log
        self._reactor = reactor
        self._on_new_version = on_new_version
        #: When a checkpoint by any router was last read or written. After a
        #: start, the age of the checkpoints in the log is unknown, so one is
        #: written.
        self._last_checkpoint_at: float | None = None
        self._is_writing = False
        self.follower = Follower(
            log,
            config_stream(service),
            self,
            reactor,
            Backoff(f'{seed}/{service}'),
        )

    def read_gap(self, expected: int, first_offset: int) -> None:
        """Skip records that were trimmed unread."""
        self.counts['gaps'] += 1
        self.update_state(skip_trimmed_records(self.state, first_offset))

    def read_restored(self, era: int) -> None:
        """Begin anew, because the log lost records."""
        self.counts['restorations'] += 1
        # The checkpoints since may be among the lost records.
        self._last_checkpoint_at = None
        self.update_state(begin_era(self.state, era))

    def read_page(self, page: LogPage) -> None:
        """Apply the next records to the state."""
        state = apply_page(self.state, page)
        if state.checkpoints > self.state.checkpoints:
            self._last_checkpoint_at = self._reactor.seconds()
        self.update_state(state)

    def update_state(self, state: ConfigState) -> None:
        """Set the state, and report its version if it is a newer one."""
        before = self.state.highest
        self.state = state
        if state.highest is not before:
            self._on_new_version(state.service, state.highest)

    def write_checkpoint(self, interval: Millis) -> None:
        """Append a checkpoint if one is due and the current state is known."""
        now = self._reactor.seconds()
        current = self.state.current
        if current is None or current.version == NO_VERSION or self._is_writing:
            return
        if not self.follower.caught_up:
            return
        last_at = self._last_checkpoint_at
        if (
            last_at is not None
            and now - last_at < interval / _MILLISECONDS_PER_SECOND
        ):
            return
        self._is_writing = True
        record = Checkpoint(
            version=current.version,
            as_of=current.as_of,
            sections=current.sections,
            published_at=current.published_at,
        )
        stream = config_stream(self.state.service)
        append: Deferred = self._log.append(stream, encode_record(record))
        append.addCallbacks(
            self._on_checkpoint_written, self._on_checkpoint_failed
        )

    def _on_checkpoint_written(self, receipt: object) -> None:
        self._is_writing = False
        self.counts['checkpoints'] += 1
        self._last_checkpoint_at = self._reactor.seconds()

    def _on_checkpoint_failed(self, failure: Failure) -> None:
        # The next check retries. If the append did take effect, the second
        # checkpoint is harmless.
        self._is_writing = False
        self.counts['checkpoint_failures'] += 1
