"""Acquire, renew and release leases on the log."""

import uuid
from collections import Counter
from collections.abc import Mapping

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall, deferLater

from yuccagauge.clock import Clock, Millis
from yuccagauge.leases.holding import Holding, usable_until
from yuccagauge.leases.records import (
    LEASE_STREAM,
    MARGIN,
    MAXIMUM_TTL,
    Acquire,
    GiveBack,
    LeaseRecord,
    LeaseRecordError,
    LeaseTtlError,
    Renew,
    decode_lease,
    encode_lease,
)
from yuccagauge.leases.table import LeaseResult, LeaseTable
from yuccagauge.logstream.backoff import Backoff
from yuccagauge.logstream.base import Log, LogError, LogPage
from yuccagauge.logstream.follower import Follower
from yuccagauge.rendezvous import rank

_MILLISECONDS_PER_SECOND = 1000

#: A lease is renewed after this share of its time to live.
_RENEW_SHARE = 3

#: How long a record that is not read back is waited for before it is
#: appended again.
_READ_BACK_SECONDS = 1


class LeaseClient:
    """Hold leases under one name.

    Parameters
    ----------
    log
        The log.
    holder
        Name of this process, unique in the fleet.
    reactor
        Schedules renewals.
    clock
        The monotonic and wall clock by which leases are held.
    """

    def __init__(
        self,
        log: Log,
        holder: str,
        reactor: IReactorTime,
        clock: Clock,
    ) -> None:
        """Read nothing before ``start``."""
        self._log = log
        self._holder = holder
        self._reactor = reactor
        self._clock = clock
        self._table = LeaseTable()
        self._follower = Follower(
            log,
            LEASE_STREAM,
            self,
            reactor,
            Backoff(f'leases/{holder}'),
        )
        self._results: dict[str, Deferred[tuple[LeaseResult, int]]] = {}
        self._renewals: dict[Holding, LoopingCall] = {}
        self._read_at = clock.now()
        self._counts: Counter[str] = Counter()

    @property
    def counters(self) -> Mapping[str, int]:
        """Appends, grants, refusals, renewals and losses."""
        return dict(self._counts)

    def start(self) -> None:
        """Begin to follow the lease stream."""
        self._follower.start()

    def close(self) -> None:
        """Stop; leases that are held run out."""
        self._follower.close()
        for renewal in self._renewals.values():
            if renewal.running:
                renewal.stop()
        self._renewals.clear()

    @inlineCallbacks
    def acquire(
        self,
        resource: str,
        ttl: Millis,
    ) -> Deferred[Holding | None]:
        """Try to take a lease; ``None`` if another holder has it.

        The holding is renewed until it is released or lost. The holder of
        a lease may take it again, which ends its earlier holding and gives
        it a new fence.

        Raises
        ------
        LeaseTtlError
            If the time to live is not above the margin and within the
            longest one.
        """
        if not MARGIN < ttl <= MAXIMUM_TTL:
            raise LeaseTtlError(f'ttl of {ttl} ms')
        if not self._follower.caught_up or self._is_taken(resource):
            return None
        record = Acquire(
            resource=resource,
            holder=self._holder,
            nonce=uuid.uuid4().hex,
            ttl=ttl,
        )
        sent_at = self._clock.now()
        until = usable_until(sent_at, ttl)
        answer = yield self._append(record, until)
        if answer is None or answer[0] is not LeaseResult.GRANTED:
            self._counts['refused'] += 1
            return None
        self._counts['granted'] += 1
        holding = Holding(resource, answer[1], until, self._clock)
        if not holding.is_held:
            return None
        self._keep_renewing(holding, ttl)
        return holding

    @inlineCallbacks
    def acquire_slot(
        self,
        name: str,
        slots: int,
        ttl: Millis,
    ) -> Deferred[Holding | None]:
        """Take any lease of ``name-0`` to ``name-{slots - 1}``.

        A slot that is ours already counts as taken, although a holder may
        otherwise take its own lease again.
        """
        names = [f'{name}-{number}' for number in range(slots)]
        ours = {holding.resource for holding in self._renewals}
        for resource in rank(set(names) - ours, self._holder):
            holding = yield self.acquire(resource, ttl)
            if holding is not None:
                return holding
        return None

    @inlineCallbacks
    def release(self, holding: Holding) -> Deferred[None]:
        """Stop acting at once, then give the lease back if the log answers."""
        self._stop_renewing(holding)
        holding.lose()
        record = GiveBack(
            resource=holding.resource,
            fence=holding.fence,
            nonce=uuid.uuid4().hex,
        )
        try:
            yield self._log.append(LEASE_STREAM, encode_lease(record))
        except LogError:
            # The lease runs out by itself.
            self._counts['release_failures'] += 1

    def read_gap(self, expected: int, first_offset: int) -> None:
        """Enter doubt: records were trimmed."""
        self._counts['gaps'] += 1
        self._table.read_gap()

    def read_page(self, page: LogPage) -> None:
        """Fold the next records and answer whoever waits for them."""
        for entry in page.records:
            try:
                record = decode_lease(entry.payload)
            except LeaseRecordError:
                self._counts['bad_records'] += 1
                continue
            result = self._table.apply(entry.offset, entry.time, record)
            self._read_at = self._clock.now()
            waiter = self._results.pop(record.nonce, None)
            if waiter is not None:
                waiter.callback((result, entry.offset))

    def _is_taken(self, resource: str) -> bool:
        # The log's time is at least that of its last record; what passed
        # since then is only an estimate, and the fold decides anyway.
        since = self._clock.now() - self._read_at
        time = Millis(self._table.time + since)
        if self._table.is_doubtful(resource, time):
            return True
        lease = self._table.lease(resource, time)
        return lease is not None and lease.holder != self._holder

    @inlineCallbacks
    def _append(
        self,
        record: LeaseRecord,
        until: Millis,
    ) -> Deferred[tuple[LeaseResult, int] | None]:
        """Append until the record is read back or no longer of use."""
        waiter: Deferred[tuple[LeaseResult, int]] = Deferred()
        self._results[record.nonce] = waiter
        payload = encode_lease(record)
        backoff = Backoff(record.nonce)
        while self._clock.now() < until and not waiter.called:
            self._counts['appends'] += 1
            wait: float = _READ_BACK_SECONDS
            try:
                yield self._log.append(LEASE_STREAM, payload)
            except LogError:
                self._counts['append_failures'] += 1
                wait = backoff.next_delay() / _MILLISECONDS_PER_SECOND
            if not waiter.called:
                yield self._first_of(waiter, wait)
        self._results.pop(record.nonce, None)
        return waiter.result if waiter.called else None

    def _first_of(self, waiter: Deferred, seconds: float) -> Deferred[None]:
        paused = deferLater(self._reactor, seconds)
        paused.addErrback(lambda _: None)

        def go_on(result: object) -> object:
            paused.cancel()
            return result

        waiter.addCallback(go_on)
        return paused

    def _keep_renewing(self, holding: Holding, ttl: Millis) -> None:
        for earlier in tuple(self._renewals):
            if earlier.resource == holding.resource:
                earlier.lose()
                self._stop_renewing(earlier)
        renewal = LoopingCall(self._renew, holding, ttl)
        renewal.clock = self._reactor
        self._renewals[holding] = renewal
        every = ttl / _RENEW_SHARE / _MILLISECONDS_PER_SECOND
        renewal.start(every, now=False)

    def _stop_renewing(self, holding: Holding) -> None:
        renewal = self._renewals.pop(holding, None)
        if renewal is not None and renewal.running:
            renewal.stop()

    @inlineCallbacks
    def _renew(self, holding: Holding, ttl: Millis) -> Deferred[None]:
        if not holding.is_held:
            self._counts['lost'] += 1
            self._stop_renewing(holding)
            return
        record = Renew(
            resource=holding.resource,
            fence=holding.fence,
            nonce=uuid.uuid4().hex,
            ttl=ttl,
        )
        sent_at = self._clock.now()
        answer = yield self._append(record, usable_until(sent_at, ttl))
        if answer is None:
            return
        if answer[0] is LeaseResult.GRANTED:
            self._counts['renewed'] += 1
            holding.prolong(usable_until(sent_at, ttl))
        else:
            holding.lose()
