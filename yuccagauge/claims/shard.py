"""One claim stream as this router sees it: reader, ledger and batcher."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred, TimeoutError, inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from yuccagauge.claims.base import (
    Claim,
    ClaimDecision,
    ClaimRecordError,
    Expired,
    Granted,
    Held,
    InvalidKey,
    Mismatch,
    Outcome,
    Record,
    Release,
    Replay,
    Unavailable,
    shard_stream,
)
from yuccagauge.claims.batcher import Batcher, BatcherOptions, record_id
from yuccagauge.claims.codec import decode_batch, decode_whole_batch
from yuccagauge.claims.ledger import ClaimResult, Ledger, may_send
from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.logstream.backoff import Backoff
from yuccagauge.logstream.base import (
    Log,
    LogError,
    LogPage,
    LogUnavailableError,
)
from yuccagauge.logstream.follower import Follower

_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardOptions:
    """How a shard behaves."""

    #: The first ranked router appends an empty batch to a silent stream
    #: this often. A restarted router can then tell old keys from new ones,
    #: and any router knows the log's time well enough to write a claim.
    tick_every: Millis = Millis(20_000)
    batcher: BatcherOptions = field(default_factory=BatcherOptions)


class Shard:
    """Claim keys of one shard through this router's own batcher.

    Parameters
    ----------
    log
        The log.
    number
        Which shard.
    reactor
        Keeps time.
    seed
        Seed of the jitter.
    options
        Windows and bounds.
    """

    def __init__(
        self,
        log: Log,
        number: int,
        reactor: IReactorTime,
        seed: int | str,
        options: ShardOptions,
    ) -> None:
        """Read nothing before ``start``."""
        self._log = log
        self._stream = shard_stream(number)
        self._reactor = reactor
        self._options = options
        self._ledger = Ledger()
        seed = f'{seed}/{number}'
        self._batcher = Batcher(
            log,
            self._stream,
            reactor,
            seed,
            options.batcher,
        )
        self._follower = Follower(
            log,
            self._stream,
            self,
            reactor,
            Backoff(seed),
        )
        self._results: dict[bytes, Deferred[ClaimResult]] = {}
        self._recorded: dict[object, list[Deferred[None]]] = {}
        self._changes: list[Deferred[None]] = []
        self._counts: Counter[str] = Counter()
        self._read_at = reactor.seconds()
        self._used_at = reactor.seconds()

    @property
    def counters(self) -> Mapping[str, int]:
        """Claims by result, appends and reads."""
        total = Counter(self._counts)
        total.update(self._batcher.counters)
        return dict(total)

    @property
    def ledger(self) -> Ledger:
        """The ledger, for figures."""
        return self._ledger

    @property
    def idle_for(self) -> Millis:
        """How long the shard was not used by this router, in ms."""
        if not self._batcher.is_idle or self._results:
            return Millis(0)
        idle = self._reactor.seconds() - self._used_at
        return Millis(int(idle * _MILLISECONDS_PER_SECOND))

    def start(self) -> None:
        """Begin to follow the stream."""
        self._follower.start()

    def close(self) -> None:
        """Stop; waiting claims end as unavailable."""
        self._follower.close()
        self._batcher.close()
        results, self._results = self._results, {}
        for waiter in results.values():
            waiter.errback(TimeoutError('shard closed'))

    def keep_time(self) -> None:
        """Append an empty batch if the stream was silent for long."""
        silent = self._reactor.seconds() - self._read_at
        if silent * _MILLISECONDS_PER_SECOND >= self._options.tick_every:
            self._read_at = self._reactor.seconds()
            self._batcher.tick()

    def submit(self, record: Record) -> Deferred[None]:
        """Append a release or outcome; fires when it was read back."""
        self._used_at = self._reactor.seconds()
        done: Deferred[None] = Deferred()
        waiters = self._recorded.setdefault(record_id(record), [])
        waiters.append(done)
        self._batcher.add(record)
        return done

    @inlineCallbacks
    def claim(self, claim: Claim, timeout: Millis) -> Deferred[ClaimDecision]:
        """Claim a key; the decision comes within the timeout."""
        self._used_at = self._reactor.seconds()
        decided = self._decide(claim)
        decided.addTimeout(timeout / _MILLISECONDS_PER_SECOND, self._reactor)
        try:
            decision = yield decided
        except (TimeoutError, LogError):
            decision = Unavailable(appended=self._give_up(claim))
        self._counts[type(decision).__name__.lower()] += 1
        return decision

    def read_gap(self, expected: int, first_offset: int) -> None:
        """Forget what was read; records were trimmed."""
        self._counts['gaps'] += 1
        self._ledger.read_gap()
        self._batcher.read_gap()

    def read_restored(self, era: int) -> None:
        """Read what is left in the log; what was read before still holds."""
        self._counts['restorations'] += 1
        self._ledger.read_restored()
        self._batcher.read_gap()

    def read_page(self, page: LogPage) -> None:
        """Fold the next records and answer whoever waits for them."""
        if page.records:
            self._read_at = self._reactor.seconds()
        self._batcher.observe_era(page.era)
        for entry in page.records:
            self._ledger.observe(entry.offset, entry.time)
            try:
                batch = decode_whole_batch(entry.payload)
            except ClaimRecordError:
                self._counts['bad_records'] += 1
                continue
            self._ledger.observe_era(batch.era, entry.time)
            # Its writer may not have known yet that the log lost records.
            is_outdated = UNKNOWN_ERA < batch.era < page.era
            for record in batch.records:
                self._read(entry.offset, record, is_outdated=is_outdated)
        self._ledger.trim(page.first_offset)
        changes, self._changes = self._changes, []
        for change in changes:
            change.callback(None)

    def _read(self, offset: int, record: Record, *, is_outdated: bool) -> None:
        result = self._ledger.apply(offset, record)
        has_copies = self._batcher.confirm(record)
        for done in self._recorded.pop(record_id(record), ()):
            done.callback(None)
        if result is None:
            return
        waiter = self._results.pop(record.claim_id, None)
        is_doubtful = is_outdated and waiter is not None
        if is_doubtful or (has_copies and result is not ClaimResult.WON):
            # A late copy must not take the key after its holder gave it up.
            self.submit(release_of(record))
        if is_doubtful:
            waiter.errback(
                LogUnavailableError('the log may have lost other claims')
            )
        elif waiter is not None:
            waiter.callback(result)

    def _give_up(self, claim: Claim) -> bool:
        if self._results.pop(claim.claim_id, None) is None:
            return False
        return self._batcher.withdraw(claim)

    @inlineCallbacks
    def _decide(self, claim: Claim) -> Deferred[ClaimDecision]:
        yield self._until(lambda: self._follower.caught_up)
        result = self._ledger.look(claim)
        if result is ClaimResult.FREE and self._ledger.is_early(claim):
            # The log's time may be known only from long ago.
            seen = self._ledger.log_time
            self._batcher.tick()
            yield self._until(lambda: self._ledger.log_time != seen)
            if self._ledger.is_early(claim):
                return InvalidKey(reason='the time of the key is to come')
            result = self._ledger.look(claim)
        if result is ClaimResult.FREE:
            result = yield self._append(claim)
        decision = yield self._translate(claim, result)
        return decision

    def _append(self, claim: Claim) -> Deferred[ClaimResult]:
        waiter: Deferred[ClaimResult] = Deferred()
        self._results[claim.claim_id] = waiter
        self._batcher.add(claim)
        return waiter

    def _translate(
        self,
        claim: Claim,
        result: ClaimResult,
    ) -> Deferred[ClaimDecision] | ClaimDecision:
        if may_send(result):
            return Granted(
                claim_id=claim.claim_id,
                key=claim.key,
                key_time=claim.key_time,
            )
        if result is ClaimResult.DONE:
            return self._replay(claim)
        if result is ClaimResult.MISMATCH:
            return Mismatch()
        if result is ClaimResult.EXPIRED:
            return Expired()
        if result is ClaimResult.EARLY:
            return InvalidKey(reason='the time of the key is to come')
        return Held()

    @inlineCallbacks
    def _replay(self, claim: Claim) -> Deferred[ClaimDecision]:
        offset = self._ledger.outcome_offset(claim)
        page = yield self._log.read(self._stream, offset - 1, 1, Millis(0))
        for entry in page.records:
            if entry.offset != offset:
                continue
            for record in decode_batch(entry.payload):
                if isinstance(record, Outcome) and record.key == claim.key:
                    return Replay(status=record.status, body=record.body)
        return Expired()

    @inlineCallbacks
    def _until(self, holds: Callable[[], bool]) -> Deferred[None]:
        while not holds():
            change: Deferred[None] = Deferred()
            self._changes.append(change)
            yield change


def release_of(claim: Claim | Granted) -> Release:
    """Return the record that gives a claim id up."""
    return Release(
        key=claim.key,
        claim_id=claim.claim_id,
        key_time=claim.key_time,
    )
