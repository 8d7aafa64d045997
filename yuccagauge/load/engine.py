"""What a router knows about the load of one engine."""

import math
from collections import deque
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.load.base import LEAVING_ROLE, EngineReport

#: Sends older than this are part of any report that can still arrive.
SEND_MEMORY = Millis(10_000)

#: Time over which the recent work of an engine is averaged.
RECENT_WINDOW = Millis(5000)

#: Bound on the remembered sends of one engine.
MAXIMUM_SENDS = 512


@dataclass(slots=True)
class OwnRequest:
    """A request of this router that an engine has not finished."""

    tokens: int
    sent_at: Millis
    #: Whether other requests were expected to be before it.
    has_waited: bool
    #: Time of the first token, once it is there.
    started_at: Millis | None = None


class EngineState:
    """Fluid estimate of the prefill backlog of one engine.

    The backlog is set by each report, grows with each own send, and drains
    at the prefill rate. Own sends after a report was measured are added to
    it again when the report arrives.
    """

    __slots__ = (
        'failed_at',
        'leaving',
        'report',
        'requests',
        'suspended_until',
        'unstarted',
        '_backlog_tokens',
        '_recent',
        '_recent_at',
        '_backlog_at',
        '_sends',
    )

    def __init__(self) -> None:
        """Start without a report and without requests."""
        self.report: EngineReport | None = None
        self.requests: dict[str, OwnRequest] = {}
        self.leaving = False
        #: Own requests without a first token.
        self.unstarted = 0
        self.suspended_until = Millis(0)
        self.failed_at = Millis(0)
        self._backlog_tokens: float = 0
        self._backlog_at = Millis(0)
        self._recent: float = 0
        self._recent_at = Millis(0)
        self._sends: deque[tuple[Millis, float]] = deque(maxlen=MAXIMUM_SENDS)

    @property
    def is_leaving(self) -> bool:
        """Whether the VM list, a peer or the engine says that it leaves."""
        if self.leaving:
            return True
        return self.report is not None and self.report.role == LEAVING_ROLE

    def backlog(self, rate: float, now: Millis) -> float:
        """Return the tokens that wait for their prefill.

        Parameters
        ----------
        rate
            Prefill rate in tokens/ms.
        now
            Time of the question.
        """
        drained = rate * max(0, now - self._backlog_at)
        return max(0, self._backlog_tokens - drained)

    def recent(self, now: Millis) -> float:
        """Return the tokens sent in about the last window, decayed."""
        age = max(0, now - self._recent_at)
        return self._recent * math.exp(-age / RECENT_WINDOW)

    def add(self, tokens: float, rate: float, now: Millis) -> None:
        """Count a send of this router."""
        self._sends.append((now, tokens))
        self._recent = self.recent(now) + tokens
        self._recent_at = max(now, self._recent_at)
        self._grow(tokens, rate, now)

    def accept(self, report: EngineReport, rate: float, now: Millis) -> None:
        """Start again from a report, and replay the sends after it."""
        self.report = report
        self._backlog_tokens = float(report.queued_tokens)
        self._backlog_at = report.measured_at
        while self._sends and self._sends[0][0] < now - SEND_MEMORY:
            self._sends.popleft()
        for sent_at, tokens in self._sends:
            if sent_at > report.measured_at:
                self._grow(tokens, rate, sent_at)

    def restart(self) -> None:
        """Forget the work of an earlier incarnation."""
        self.requests.clear()
        self.unstarted = 0
        self._sends.clear()
        self._backlog_tokens: float = 0

    def _grow(self, tokens: float, rate: float, now: Millis) -> None:
        self._backlog_tokens = self.backlog(rate, now) + tokens
        self._backlog_at = max(now, self._backlog_at)
