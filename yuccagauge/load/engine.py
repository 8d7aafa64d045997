"""Load of one engine, as estimated by a router."""

import math
from collections import deque
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.load.base import LEAVING_ROLE, EngineReport

#: Time after which the record of a send is dropped. Every report that can
#: still arrive was measured later and includes the send.
SEND_RETENTION = Millis(10_000)

#: Decay time of the recent prefill work of an engine.
RECENT_WINDOW = Millis(5000)

#: Maximum sends that are recorded for one engine.
MAXIMUM_RECORDED_SENDS = 512


@dataclass(slots=True)
class OwnRequest:
    """An unfinished request that this router sent to an engine."""

    #: Prompt tokens that the engine is expected to compute.
    tokens: int
    sent_at: Millis
    #: Whether the engine was expected to have other prefills to do first.
    is_wait_expected: bool
    #: Time of the first token; ``None`` before it arrives.
    first_token_at: Millis | None = None


class EngineState:
    """Estimates the prefill backlog of one engine by a fluid model.

    A report sets the backlog, each send adds to it, and it drains at the
    prefill rate. Because a report arrives some time after its measurement,
    sends since the measurement are added to it.
    """

    __slots__ = (
        'failed_at',
        'is_marked_leaving',
        'report',
        'requests',
        'suspended_until',
        'awaiting_first_token',
        '_backlog_tokens',
        '_recent_tokens',
        '_recent_at',
        '_backlog_at',
        '_recorded_sends',
    )

    def __init__(self) -> None:
        """Create a state without a report and without requests."""
        self.report: EngineReport | None = None
        self.requests: dict[str, OwnRequest] = {}
        self.is_marked_leaving = False
        #: Requests of this router without a first token.
        self.awaiting_first_token = 0
        self.suspended_until = Millis(0)
        self.failed_at = Millis(0)
        self._backlog_tokens: float = 0
        self._backlog_at = Millis(0)
        self._recent_tokens: float = 0
        self._recent_at = Millis(0)
        self._recorded_sends: deque[tuple[Millis, float]] = deque(
            maxlen=MAXIMUM_RECORDED_SENDS
        )

    @property
    def is_leaving(self) -> bool:
        """Whether the VM list, a peer or the engine reports it as leaving."""
        if self.is_marked_leaving:
            return True
        return self.report is not None and self.report.role == LEAVING_ROLE

    def backlog_tokens(self, rate: float, now: Millis) -> float:
        """Return the prompt tokens that still need a prefill.

        Parameters
        ----------
        rate
            Prefill rate in tokens/ms.
        now
            Current time.
        """
        drained = rate * max(0, now - self._backlog_at)
        return max(0, self._backlog_tokens - drained)

    def recent_tokens(self, now: Millis) -> float:
        """Return the exponentially decayed sum of the tokens sent."""
        age = max(0, now - self._recent_at)
        return self._recent_tokens * math.exp(-age / RECENT_WINDOW)

    def record_send(self, tokens: float, rate: float, now: Millis) -> None:
        """Add a request that any router sent to the engine."""
        self._recorded_sends.append((now, tokens))
        self._recent_tokens = self.recent_tokens(now) + tokens
        self._recent_at = max(now, self._recent_at)
        self._add_backlog(tokens, rate, now)

    def apply_report(
        self, report: EngineReport, rate: float, now: Millis
    ) -> None:
        """Set the backlog from a report, and add the sends after it."""
        self.report = report
        self._backlog_tokens = float(report.queued_tokens)
        self._backlog_at = report.measured_at
        while (
            self._recorded_sends
            and self._recorded_sends[0][0] < now - SEND_RETENTION
        ):
            self._recorded_sends.popleft()
        for sent_at, tokens in self._recorded_sends:
            if sent_at > report.measured_at:
                self._add_backlog(tokens, rate, sent_at)

    def clear_work(self) -> None:
        """Clear the requests and the backlog of an earlier incarnation."""
        self.requests.clear()
        self.awaiting_first_token = 0
        self._recorded_sends.clear()
        self._backlog_tokens: float = 0

    def _add_backlog(self, tokens: float, rate: float, now: Millis) -> None:
        self._backlog_tokens = self.backlog_tokens(rate, now) + tokens
        self._backlog_at = max(now, self._backlog_at)
