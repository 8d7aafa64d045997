"""Share the readings of engines within a data centre."""

from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineReport
from yuccagauge.peering.readings import (
    Reading,
    hash_engine,
    identity_of,
    pack_readings,
    tag_of,
    unpack_readings,
)
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.messages import EngineIdentity, EngineReply, LoadShare

#: Routers of a data centre up to which readings are shared every round.
SMALL_DATA_CENTRE = 16

#: Rounds from one share to the next in a larger data centre. A share each
#: second would cost 31.8 KB/s of a node's 26 KB/s with 50 routers and 733
#: engines.
LARGE_ROUNDS = 2

#: Readings in one datagram: 960 of its 1,400 bytes.
READINGS_PER_SHARE = 120

#: Shares from one repeated identity to the next. A new identity is sent
#: three times at once, and a starting router asks for all, so that the
#: repetition only serves a router that missed all three: with 15 engines
#: for each router and a share every 2 s it takes up to two minutes.
_SHARES_PER_IDENTITY = 4

#: How often a new identity is sent at once.
_IDENTITY_REPEATS = 3

#: Readings that are older say nothing about the queue, in milliseconds.
_MAXIMUM_AGE = Millis(10_000)


class LoadExchange:
    """What this router and its peers know about the engines' load.

    A reading names its engine by a hash and refers to an identity by a
    tag. Readings of an unknown engine, of two engines with one hash, or
    with the tag of an unknown identity are left out.
    """

    def __init__(self) -> None:
        """Start without engines."""
        self._by_hash: dict[int, Endpoint | None] = {}
        self._own: dict[Endpoint, EngineReport] = {}
        self._known: dict[Endpoint, EngineReport] = {}
        self._identities: dict[Endpoint, EngineIdentity] = {}
        self._repeats: dict[Endpoint, int] = {}
        self._turn = 0
        self._left_out = 0

    @property
    def left_out(self) -> int:
        """Number of readings that could not be used so far."""
        return self._left_out

    def set_engines(self, engines: Iterable[Endpoint]) -> None:
        """Take the engines of the documents in force."""
        by_hash: dict[int, Endpoint | None] = {}
        for engine in engines:
            key = hash_engine(engine)
            by_hash[key] = None if key in by_hash else engine
        self._by_hash = by_hash
        kept = frozenset(by_hash.values())
        for table in (self._own, self._known, self._identities, self._repeats):
            for gone in table.keys() - kept:
                table.pop(gone)

    def disown(self, engine: Endpoint) -> None:
        """Stop sharing an engine that another router polls now."""
        self._own.pop(engine, None)
        self._repeats.pop(engine, None)

    def take_own(self, report: EngineReport) -> None:
        """Keep a report that this router polled."""
        identity = identity_of(report)
        if self._identities.get(report.engine) != identity:
            self._identities[report.engine] = identity
            self._repeats[report.engine] = _IDENTITY_REPEATS
        self._own[report.engine] = report
        self._known[report.engine] = report

    def share(self, now: Millis) -> tuple[LoadShare, ...]:
        """Return what the peers of the data centre have to hear."""
        fresh = [
            report
            for report in self._own.values()
            if now - report.measured_at <= _MAXIMUM_AGE
        ]
        identities = self._next_identities()
        shares: list[LoadShare] = []
        for start in range(0, len(fresh), READINGS_PER_SHARE):
            part = fresh[start : start + READINGS_PER_SHARE]
            shares.append(
                LoadShare(
                    age_ms=_age(part, now),
                    readings=pack_readings(part),
                    identities=() if start else identities,
                ),
            )
        return tuple(shares)

    def snapshot(self, now: Millis) -> EngineReply:
        """Return everything, for a router that has just started."""
        fresh = [
            report
            for report in self._known.values()
            if now - report.measured_at <= _MAXIMUM_AGE
        ]
        return EngineReply(
            age_ms=_age(fresh, now),
            readings=pack_readings(fresh),
            identities=tuple(identity_of(report) for report in fresh),
        )

    def receive(
        self,
        message: LoadShare | EngineReply,
        now: Millis,
    ) -> tuple[EngineReport, ...]:
        """Return the reports in a peer's message."""
        for identity in message.identities:
            if hash_engine(identity.engine) in self._by_hash:
                self._identities[identity.engine] = identity
        measured_at = Millis(now - message.age_ms)
        found = [
            self._report(reading, measured_at)
            for reading in unpack_readings(message.readings)
        ]
        reports = tuple(report for report in found if report is not None)
        self._left_out += len(found) - len(reports)
        for report in reports:
            self._known[report.engine] = report
        return reports

    def _report(
        self,
        reading: Reading,
        measured_at: Millis,
    ) -> EngineReport | None:
        engine = self._by_hash.get(reading.engine)
        identity = self._identities.get(engine) if engine else None
        if identity is None or tag_of(identity) != reading.tag:
            return None
        return EngineReport(
            engine=engine,
            incarnation=identity.incarnation,
            weights_version=identity.weights_version,
            role=identity.role,
            running=reading.running,
            queued=reading.queued,
            queued_tokens=reading.queued_tokens,
            used_blocks=round(reading.used_share * identity.total_blocks),
            total_blocks=identity.total_blocks,
            measured_at=measured_at,
        )

    def _next_identities(self) -> tuple[EngineIdentity, ...]:
        chosen: dict[Endpoint, EngineIdentity] = {}
        for engine, left in tuple(self._repeats.items()):
            if len(chosen) >= READINGS_PER_SHARE // 10:
                break
            chosen[engine] = self._identities[engine]
            self._repeats[engine] = left - 1
            if left == 1:
                self._repeats.pop(engine)
        own = tuple(self._own)
        self._turn += 1
        if own and self._turn % _SHARES_PER_IDENTITY == 0:
            number = self._turn // _SHARES_PER_IDENTITY
            next_engine = own[number % len(own)]
            chosen[next_engine] = self._identities[next_engine]
        return tuple(chosen.values())


def rounds_between_shares(routers: int) -> int:
    """Return how many rounds pass between two shares."""
    return 1 if routers <= SMALL_DATA_CENTRE else LARGE_ROUNDS


def _age(reports: Iterable[EngineReport], now: Millis) -> int:
    oldest = min((report.measured_at for report in reports), default=now)
    return max(0, now - oldest)
