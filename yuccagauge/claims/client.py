"""Claim the right to run a call, through the router preferred for its key."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import (
    Deferred,
    DeferredList,
    inlineCallbacks,
)
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from yuccagauge.claims.base import (
    MAXIMUM_BODY_BYTES,
    Claim,
    ClaimDecision,
    ClaimRecordError,
    ClaimRequest,
    Expired,
    Granted,
    Held,
    InvalidKey,
    InvalidKeyError,
    Mismatch,
    Outcome,
    Record,
    Replay,
    Unavailable,
    make_claim,
    shard_of,
    shard_stream,
)
from yuccagauge.claims.codec import (
    decode_decision,
    decode_forwarded,
    encode_decision,
    encode_forwarded,
)
from yuccagauge.claims.shard import Shard, ShardOptions, release_of
from yuccagauge.clock import Millis
from yuccagauge.errors import YuccagaugeError
from yuccagauge.logstream.base import Log
from yuccagauge.rendezvous import rendezvous_rank

__all__ = (
    'ClaimClient',
    'ClaimDecision',
    'ClaimRequest',
    'Expired',
    'Granted',
    'Held',
    'InvalidKey',
    'Mismatch',
    'Replay',
    'Unavailable',
)

_MILLISECONDS_PER_SECOND = 1000

#: Routers that follow a shard: the preferred one and its deputy.
_FOLLOWERS = 2

#: A shard that is not ours is no longer followed after this time, in ms.
_IDLE_MS = 60_000

#: How long another router may take to record a release or an outcome.
_SUBMIT_TIMEOUT = Millis(10_000)


class ForwardError(YuccagaugeError):
    """Another router could not be reached or did not answer."""


class Forwarder(Protocol):
    """The transport between routers, as far as claims need it."""

    @property
    def routers(self) -> tuple[str, ...]:
        """Names of the live routers of the fleet, without this one."""

    def forward(
        self,
        router: str,
        payload: bytes,
        timeout: Millis,
    ) -> Deferred[bytes]:
        """Call ``answer_forwarded`` of another router's client.

        Raises
        ------
        ForwardError
            If there was no answer in time; the call may have had effect.
        """


class NoForwarder:
    """A fleet of one router."""

    @property
    def routers(self) -> tuple[str, ...]:
        """No other router."""
        return ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOptions:
    """How claims are spread and batched."""

    #: Number of streams; the same in all routers of a fleet.
    shards: int = 4
    shard: ShardOptions = field(default_factory=ShardOptions)


class ClaimClient:
    """Claim, release and complete calls.

    Parameters
    ----------
    log
        The log.
    name
        Name of this router, unique in the fleet.
    reactor
        Keeps time.
    forwarder
        Reaches the other routers.
    options
        Shards and windows.
    """

    def __init__(
        self,
        log: Log,
        name: str,
        reactor: IReactorTime,
        *,
        forwarder: Forwarder | NoForwarder = NoForwarder(),  # noqa: WPS404, B008
        options: ClaimOptions = ClaimOptions(),  # noqa: WPS404, B008
    ) -> None:
        """Follow no shard before ``start``."""
        self._log = log
        self._name = name
        self._reactor = reactor
        self._forwarder = forwarder
        self._options = options
        self._shards: dict[int, Shard] = {}
        self._closed_counts: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()
        self._submitting: set[Deferred[None]] = set()
        self._upkeep = LoopingCall(self._keep_up)
        self._upkeep.clock = reactor

    @property
    def counters(self) -> Mapping[str, int]:
        """Decisions, appends, forwarded claims and failures."""
        total = self._counts + self._closed_counts
        for shard in self._shards.values():
            total.update(shard.counters)
        return dict(total)

    @property
    def followed_shards(self) -> tuple[int, ...]:
        """The shards that this router reads."""
        return tuple(sorted(self._shards))

    def start(self) -> None:
        """Begin to follow the shards that rank this router first."""
        self._upkeep.start(1)

    def close(self) -> None:
        """Stop following."""
        if self._upkeep.running:
            self._upkeep.stop()
        for number in tuple(self._shards):
            self._close_shard(number)

    @inlineCallbacks
    def claim(
        self,
        request: ClaimRequest,
        timeout: Millis,
    ) -> Deferred[ClaimDecision]:
        """Ask for the right to run a call.

        The decision comes within ``timeout``. After anything but ``Granted``
        the call must not be sent. A claim that may be in the log without
        having been granted is released in the background.
        """
        try:
            claim = make_claim(request)
        except InvalidKeyError as error:
            return InvalidKey(reason=str(error))
        end = self._reactor.seconds() + timeout / _MILLISECONDS_PER_SECOND
        appended = False
        for router in self._route(claim):
            left = end - self._reactor.seconds()
            allowed = Millis(int(left * _MILLISECONDS_PER_SECOND))
            if allowed <= 0:
                break
            decision = yield self._try(router, claim, allowed)
            if not isinstance(decision, Unavailable):
                return decision
            appended = appended or decision.appended
        if appended:
            self._submit(release_of(claim))
        return Unavailable(appended=appended)

    def release(self, granted: Granted) -> Deferred[None]:
        """Give a grant back; only if no byte of the call was written.

        Fires when the release is in the log; it is retried until then.
        """
        return self._submit(release_of(granted))

    def complete(
        self,
        granted: Granted,
        status: int,
        body: bytes,
    ) -> Deferred[None]:
        """Record a complete answer, so that it can be replayed.

        Fires when the outcome is in the log; it is retried until then.
        """
        kept = body if len(body) <= MAXIMUM_BODY_BYTES else None
        outcome = Outcome(
            key=granted.key,
            claim_id=granted.claim_id,
            key_time=granted.key_time,
            status=status,
            body=kept,
        )
        return self._submit(outcome)

    def drain(self, timeout: Millis) -> Deferred[None]:
        """Wait until all releases and outcomes are in the log, or so long."""
        waiting = DeferredList(tuple(self._submitting), consumeErrors=True)
        drained: Deferred[None] = Deferred()
        timer = self._reactor.callLater(
            timeout / _MILLISECONDS_PER_SECOND,
            drained.callback,
            None,
        )

        def finish(_: object) -> None:
            if timer.active():
                timer.cancel()
                drained.callback(None)

        waiting.addCallback(finish)
        return drained

    @inlineCallbacks
    def answer_forwarded(self, payload: bytes) -> Deferred[bytes]:
        """Serve the call of another router's ``forward``.

        Raises
        ------
        ClaimRecordError
            If the payload is not understood.
        """
        record, timeout = decode_forwarded(payload)
        self._counts['served_forwarded'] += 1
        shard = self._open_shard(self._number(record))
        if isinstance(record, Claim):
            decision = yield shard.claim(record, timeout)
            return encode_decision(decision)
        yield shard.submit(record)
        return encode_decision(None)

    def _number(self, record: Record) -> int:
        return shard_of(record.key, self._options.shards)

    def _ranked(self, number: int) -> tuple[str, ...]:
        names = {self._name, *self._forwarder.routers}
        return rendezvous_rank(names, shard_stream(number))

    def _route(self, record: Record) -> tuple[str, ...]:
        """Return the preferred router, its deputy and this router."""
        ranked = self._ranked(self._number(record))[:_FOLLOWERS]
        if self._name in ranked:
            ranked = ranked[: ranked.index(self._name)]
        return (*ranked, self._name)

    @inlineCallbacks
    def _try(
        self,
        router: str,
        claim: Claim,
        left: Millis,
    ) -> Deferred[ClaimDecision]:
        if router == self._name:
            shard = self._open_shard(self._number(claim))
            decision = yield shard.claim(claim, left)
            return decision
        # Half of the time stays for the routers that come next.
        allowed = Millis(left // 2)
        try:
            decision = yield self._forward(router, claim, allowed)
        except (ForwardError, ClaimRecordError):
            self._counts['forward_failures'] += 1
            return Unavailable(appended=True)
        return decision

    @inlineCallbacks
    def _forward(
        self,
        router: str,
        record: Record,
        timeout: Millis,
    ) -> Deferred[ClaimDecision | None]:
        self._counts['forwarded'] += 1
        payload = encode_forwarded(record, timeout)
        call = self._forwarder.forward(router, payload, timeout)
        call.addTimeout(
            timeout / _MILLISECONDS_PER_SECOND,
            self._reactor,
            onTimeoutCancel=_forward_timed_out,
        )
        answer = yield call
        return decode_decision(answer, record)

    def _submit(self, record: Record) -> Deferred[None]:
        done = self._record(record)
        self._submitting.add(done)
        done.addBoth(self._submitted, done)
        return done

    def _submitted(self, result: object, done: Deferred[None]) -> object:
        self._submitting.discard(done)
        return result

    @inlineCallbacks
    def _record(self, record: Record) -> Deferred[None]:
        for router in self._route(record):
            if router == self._name:
                shard = self._open_shard(self._number(record))
                yield shard.submit(record)
                return
            try:
                yield self._forward(router, record, _SUBMIT_TIMEOUT)
            except (ForwardError, ClaimRecordError):
                self._counts['forward_failures'] += 1
                continue
            return

    def _open_shard(self, number: int) -> Shard:
        shard = self._shards.get(number)
        if shard is None:
            shard = Shard(
                self._log,
                number,
                self._reactor,
                self._name,
                self._options.shard,
            )
            self._shards[number] = shard
            shard.start()
        return shard

    def _close_shard(self, number: int) -> None:
        shard = self._shards.pop(number)
        self._closed_counts.update(shard.counters)
        shard.close()

    def _keep_up(self) -> None:
        for number in range(self._options.shards):
            ranked = self._ranked(number)
            if self._name in ranked[:_FOLLOWERS]:
                self._open_shard(number)
            elif number in self._shards:
                if self._shards[number].idle_for > _IDLE_MS:
                    self._close_shard(number)
            if ranked[0] == self._name:
                self._shards[number].keep_time()


def _forward_timed_out(result: object, seconds: float) -> None:
    raise ForwardError(f'no answer within {seconds} s')
