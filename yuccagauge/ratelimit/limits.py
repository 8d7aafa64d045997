"""The rate limits of all backend servers, as one router knows them."""

import dataclasses
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.ratelimit.events import (
    LimitEvent,
    event_of,
    log_limit,
    log_malformed_limit,
    record_limited_servers,
)
from yuccagauge.ratelimit.state import RateLimit

#: Source of a change that an answer to this router shows.
ANSWER = 'answer'

#: Longest time from the send of a message to its arrival. What it reports is
#: older by up to this time than the age that it states.
MAXIMUM_MESSAGE_DELAY = Millis(800)

#: Decimals of a limit, and its bounds in calls a second, which the messages
#: between routers can hold.
RATE_DECIMALS = 3
MINIMUM_RATE = 0.001
MAXIMUM_RATE = 4_000_000.0

#: Largest age in a report, which the wire format can hold.
MAXIMUM_AGE = Millis(2**32 - 1)

#: How long the limit of a server that is not listed is kept.
KEPT_WITHOUT_SERVER = Millis(60_000)

#: How long exchanges repeat that a server no longer names a limit.
END_REPEAT_TIME = Millis(5000)


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitReport:
    """What routers tell each other of the limit of one server."""

    server_id: str
    #: ``None`` if the server names none.
    per_second: float | None
    #: Time since the answer that shows it.
    age: Millis


class ServerLimits:
    """Tracks which servers name a limit, from their answers and from peers.

    Parameters
    ----------
    subject
        What servers name: a ``limit``, or how ``brittle`` they are.
    """

    def __init__(self, subject: str = 'limit') -> None:
        """Start without limits."""
        self._subject = subject
        self._limits: dict[str, RateLimit] = {}
        self._limited_count = 0
        #: Servers whose malformed limit is logged already.
        self._malformed: set[str] = set()
        #: Called with a server whose answer to this router shows a change.
        self.on_change: Callable[[str], None] = lambda server_id: None

    @property
    def has_limits(self) -> bool:
        """Whether any server names a limit."""
        return bool(self._limited_count)

    def limit_of(self, server_id: str) -> float | None:
        """Return the calls a second that a server takes, or ``None``."""
        limit = self._limits.get(server_id)
        return None if limit is None else limit.per_second

    def changed_at(self, server_id: str) -> Millis:
        """Return when the limit of a server last changed here."""
        limit = self._limits.get(server_id)
        return Millis(0) if limit is None else limit.changed_at

    def record_answer(
        self,
        server_id: str,
        per_second: float | None,
        sent_at: Millis,
        now: Millis,
    ) -> None:
        """Record the limit in an answer, or that it has none.

        Parameters
        ----------
        sent_at
            When the call that is answered was sent.
        """
        age = Millis(now - sent_at)
        if per_second is not None:
            # Otherwise the limit would differ from what peers report of it.
            per_second = round(per_second, RATE_DECIMALS)
            per_second = max(MINIMUM_RATE, min(MAXIMUM_RATE, per_second))
            age = Millis(0)
        report = LimitReport(
            server_id=server_id, per_second=per_second, age=age
        )
        if self._record(report, ANSWER, now):
            self.on_change(server_id)

    def record_malformed(self, server_id: str, value: str) -> None:
        """Log a malformed limit, once for each server; nothing changes."""
        if server_id not in self._malformed:
            self._malformed.add(server_id)
            log_malformed_limit(self._subject, server_id, value)

    def merge_report(self, report: LimitReport, peer: str, now: Millis) -> None:
        """Merge what a peer reports.

        Each hop makes a report look later than it is. A limit therefore counts
        as absent from a time that is certainly late enough, and a limit that is
        known already is only renewed by a report that is certainly later.
        """
        known = self._limits.get(report.server_id, RateLimit())
        if report.per_second is None:
            age = Millis(report.age + MAXIMUM_MESSAGE_DELAY)
            report = dataclasses.replace(report, age=age)
        elif report.per_second == known.per_second:
            renewed_at = now - report.age - MAXIMUM_MESSAGE_DELAY
            if renewed_at <= known.named_at:
                return
        self._record(report, peer, now)

    def reports(self, count: int, now: Millis) -> tuple[LimitReport, ...]:
        """Return what peers need to know, the latest change first."""
        known = sorted(
            (
                (limit.changed_at, server_id)
                for server_id, limit in self._limits.items()
                if limit.per_second is not None
                or now - limit.changed_at < END_REPEAT_TIME
            ),
            reverse=True,
        )
        return tuple(
            self.report_of(server_id, now) for _, server_id in known[:count]
        )

    def report_of(self, server_id: str, now: Millis) -> LimitReport:
        """Return what is known of one server."""
        return _report(server_id, self._limits.get(server_id, RateLimit()), now)

    def forget(self, server_ids: Iterable[str]) -> None:
        """Forget servers that have restarted."""
        for server_id in server_ids:
            limit = self._limits.pop(server_id, None)
            self._malformed.discard(server_id)
            if limit is not None and limit.per_second is not None:
                log_limit(
                    LimitEvent.FORGOTTEN,
                    server_id,
                    limit.per_second,
                    None,
                    source='restart',
                    age=Millis(0),
                    subject=self._subject,
                )
                self._update_count()

    def remove_gone(self, server_ids: Container[str], now: Millis) -> None:
        """Remove servers that are not listed and have been quiet for long.

        Entries of servers may lapse while the store is away.
        """
        self._limits = {
            server_id: limit
            for server_id, limit in self._limits.items()
            if server_id in server_ids
            or now - limit.named_at < KEPT_WITHOUT_SERVER
        }
        self._malformed = {
            server_id
            for server_id in self._malformed
            if server_id in server_ids
        }
        self._update_count()

    def _record(self, report: LimitReport, source: str, now: Millis) -> bool:
        """Record a report; return whether it changes what is known."""
        server_id = report.server_id
        is_absent = report.per_second is None
        if is_absent and server_id not in self._limits:
            return False
        limit = self._limits.setdefault(server_id, RateLimit())
        old = limit.per_second
        shown_at = Millis(now - report.age)
        if is_absent:
            is_changed = limit.record_absent(shown_at, now)
        else:
            is_changed = limit.record_named(report.per_second, shown_at, now)
        if is_changed:
            log_limit(
                event_of(old, limit.per_second),
                server_id,
                old,
                limit.per_second,
                source=source,
                age=report.age,
                subject=self._subject,
            )
            self._update_count()
        return is_changed

    def _update_count(self) -> None:
        self._limited_count = sum(
            limit.per_second is not None for limit in self._limits.values()
        )
        record_limited_servers(self._subject, self._limited_count)


def _report(server_id: str, limit: RateLimit, now: Millis) -> LimitReport:
    is_absent = limit.per_second is None
    shown_at = limit.absent_at if is_absent else limit.named_at
    return LimitReport(
        server_id=server_id,
        per_second=limit.per_second,
        age=min(MAXIMUM_AGE, Millis(now - shown_at)),
    )
