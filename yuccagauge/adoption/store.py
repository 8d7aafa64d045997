"""The documents in force on this router."""

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
    apply_record,
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

#: How often the store looks whether a checkpoint is due.
_CHECK_SECONDS = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentInForce:
    """A document in force with its version."""

    service: str
    version: int
    document: ServiceDocument


Listener = Callable[[DocumentInForce], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreOptions:
    """How a store behaves."""

    #: Time between two checkpoints of a stream, in milliseconds; it has to
    #: be well below the log's retention.
    checkpoint_every: Millis = Millis(3_600_000)
    #: How long log and peers have to stay silent before the bootstrap
    #: document is used, in milliseconds.
    bootstrap_after: Millis = Millis(5000)
    #: Whether this router writes the checkpoints of a service.
    writes_checkpoints: Callable[[str], bool] = lambda service: False
    bootstrap: BootstrapSection | None = None


class DocumentStore:
    """Follow the configuration streams and keep the documents in force.

    Parameters
    ----------
    log
        The log.
    services
        Names of the services to follow.
    reactor
        Schedules reads and checks.
    seed
        Seed of the jitter of retries; the router's name will do.
    options
        Checkpoints and bootstrap.
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
        """Know no document before ``start``."""
        self._reactor = reactor
        self._options = options
        self._in_force: dict[str, DocumentInForce] = {}
        self._listeners: list[Listener] = []
        self._counts: Counter[str] = Counter()
        self._streams = {
            service: _Stream(log, service, reactor, seed, self._adopt)
            for service in services
        }
        self._checks = LoopingCall(self._check)
        self._checks.clock = reactor
        self._started_at = reactor.seconds()

    @property
    def counters(self) -> Mapping[str, int]:
        """Adoptions, offers, checkpoints and failures."""
        total = Counter(self._counts)
        for stream in self._streams.values():
            total.update(stream.counts)
        return dict(total)

    @property
    def services(self) -> tuple[str, ...]:
        """The services that are followed."""
        return tuple(self._streams)

    @property
    def versions(self) -> Mapping[str, int]:
        """The version in force of each service, to gossip to peers."""
        return {
            service: stream.state.highest.version
            for service, stream in self._streams.items()
            if stream.state.highest.version != NO_VERSION
        }

    def in_force(self, service: str) -> DocumentInForce | None:
        """Return the document in force, if one is known."""
        return self._in_force.get(service)

    def add_listener(self, listener: Listener) -> None:
        """Call a function with every document that comes into force."""
        self._listeners.append(listener)

    def is_caught_up(self, service: str) -> bool:
        """Return whether the stream was read to its end at least once."""
        return self._streams[service].follower.caught_up

    def is_behind(self, service: str, version: int) -> bool:
        """Return whether a peer's version is worth asking for."""
        stream = self._streams.get(service)
        return stream is not None and version > stream.state.highest.version

    def latest_snapshot(self, service: str) -> Snapshot | None:
        """Return the version in force for a peer that is behind."""
        stream = self._streams.get(service)
        if stream is None or stream.state.highest.version == NO_VERSION:
            return None
        state = stream.state
        return state.highest if state.current is None else state.current

    def merge_snapshot(self, service: str, snapshot: Snapshot) -> bool:
        """Take a version from a peer; return whether it raised ours."""
        stream = self._streams.get(service)
        if stream is None:
            return False
        self._counts['offers'] += 1
        before = stream.state.highest.version
        stream.take(merge_snapshot(stream.state, snapshot))
        return stream.state.highest.version > before

    def start(self) -> None:
        """Begin to follow the streams."""
        self._started_at = self._reactor.seconds()
        for stream in self._streams.values():
            stream.follower.start()
        self._checks.start(_CHECK_SECONDS, now=False)

    def close(self) -> None:
        """Stop following; the documents stay readable."""
        for stream in self._streams.values():
            stream.follower.close()
        if self._checks.running:
            self._checks.stop()

    def _adopt(self, service: str, snapshot: Snapshot) -> None:
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
                # One listener's fault must not keep the others behind.
                _LOGGER.failure('listener of the document store failed')
                self._counts['listener_errors'] += 1

    def _check(self) -> None:
        every = self._options.checkpoint_every
        for service, stream in self._streams.items():
            if self._options.writes_checkpoints(service):
                stream.write_checkpoint(every)
            if service not in self._in_force:
                self._use_bootstrap(service)

    def _use_bootstrap(self, service: str) -> None:
        section = self._options.bootstrap
        waited = self._reactor.seconds() - self._started_at
        patience = self._options.bootstrap_after / _MILLISECONDS_PER_SECOND
        if section is None or not section.enabled or waited < patience:
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
        image = Snapshot(
            version=section.version,
            as_of=section.version,
            sections=document.raw,
        )
        self.merge_snapshot(service, image)


class _Stream:
    """One configuration stream and its fold."""

    def __init__(
        self,
        log: Log,
        service: str,
        reactor: IReactorTime,
        seed: int | str,
        adopt: Callable[[str, Snapshot], None],
    ) -> None:
        """Start with an empty fold."""
        self.state = ConfigState(service=service)
        self.counts: Counter[str] = Counter()
        self._log = log
        self._reactor = reactor
        self._adopt = adopt
        #: When a checkpoint of anyone was last read; after a start the
        #: age of those in the log is not known, so one is written.
        self._seen_checkpoint_at: float | None = None
        self._writing = False
        self.follower = Follower(
            log,
            config_stream(service),
            self,
            reactor,
            Backoff(f'{seed}/{service}'),
        )

    def read_gap(self, expected: int, first_offset: int) -> None:
        """Take note of trimmed records."""
        self.counts['gaps'] += 1
        self.take(skip_trimmed_records(self.state, first_offset))

    def read_page(self, page: LogPage) -> None:
        """Fold the next records."""
        state = self.state
        for record in page.records:
            state = apply_record(state, record)
        if state.checkpoints > self.state.checkpoints:
            self._seen_checkpoint_at = self._reactor.seconds()
        self.take(state)

    def take(self, state: ConfigState) -> None:
        """Keep a new state and adopt its version if that rose."""
        before = self.state.highest.version
        self.state = state
        if state.highest.version > before:
            self._adopt(state.service, state.highest)

    def write_checkpoint(self, every: Millis) -> None:
        """Append a checkpoint if one is due and the state is known."""
        now = self._reactor.seconds()
        current = self.state.current
        if current is None or current.version == NO_VERSION or self._writing:
            return
        if not self.follower.caught_up:
            return
        seen = self._seen_checkpoint_at
        if seen is not None and now - seen < every / _MILLISECONDS_PER_SECOND:
            return
        self._writing = True
        record = Checkpoint(
            version=current.version,
            as_of=current.as_of,
            sections=current.sections,
        )
        stream = config_stream(self.state.service)
        append: Deferred = self._log.append(stream, encode_record(record))
        append.addCallbacks(self._written, self._failed)

    def _written(self, receipt: object) -> None:
        self._writing = False
        self.counts['checkpoints'] += 1
        self._seen_checkpoint_at = self._reactor.seconds()

    def _failed(self, failure: Failure) -> None:
        # The next check tries again; a second checkpoint does no harm.
        self._writing = False
        self.counts['checkpoint_failures'] += 1
