"""One attempt to get a whole answer from a server of a plain service."""

from collections.abc import Callable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.dispatch.attempt import NOT_RUN_HEADER, Outcome
from yuccagauge.dispatch.base import (
    BackendMessage,
    CallLater,
    Framing,
    Header,
    ResponseHead,
)
from yuccagauge.dispatch.callwitness import CallWitness
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.recovery import Ending
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

#: Answers are buffered whole, so that a broken one never reaches the caller
#: in part; a longer one is refused.
MAXIMUM_ANSWER_BYTES = 8_000_000

_UNAVAILABLE = 503

#: Headers that belong to one connection, or that the router sets itself.
_OWN_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'date',
        b'keep-alive',
        b'server',
        b'transfer-encoding',
        b'upgrade',
        b'yuccagauge-not-run',
        b'yuccagauge-verdict',
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainPlan:
    """What to send where."""

    server: Endpoint
    message: BackendMessage
    #: Whether a 503 with ``Yuccagauge-Not-Run`` may be believed.
    truthful: bool
    #: Whether the call must not be repeated.
    once: bool
    #: Whether the server is not known to tell where its answers end.
    may_end_unframed: bool
    #: Returns the time for a proof of an end that only the connection shows.
    proof_limit: Callable[[], Millis]


class PlainAttempt:
    """Sends one call to a server and collects the answer.

    Parameters
    ----------
    pool
        Opens connections.
    plan
        What to send where.
    ended
        Called once with the outcome, unless the attempt was abandoned.
    call_later
        The reactor's function.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        plan: PlainPlan,
        ended: Callable[['PlainAttempt', Outcome], None],
        call_later: CallLater,
    ) -> None:
        """Prepare without sending."""
        self._plan = plan
        self._report = ended
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._ended = False
        self._witness = CallWitness(
            pool, call_later, is_fresh=plan.may_end_unframed
        )
        self._exchange = Exchange(
            self._witness, plan.server, plan.message, self
        )

    @property
    def server(self) -> Endpoint:
        """The server."""
        return self._plan.server

    @property
    def verdict(self) -> Verdict:
        """Whether the server may have run the call.

        An answer that has ended may still turn out to be a broken one.
        """
        verdict = self._exchange.verdict
        if verdict is Verdict.ANSWERED:
            return Verdict.MAY_HAVE_RUN
        return verdict

    @property
    def is_framed(self) -> bool | None:
        """Whether the answer tells where it ends; ``None`` without one."""
        if self._head is None:
            return None
        # Answers to HEAD have no body.
        return (
            self._head.framing is not Framing.CONNECTION
            or self._plan.message.method == 'HEAD'
        )

    def start(self) -> None:
        """Connect and send."""
        self._exchange.start(fresh=self._plan.once)

    def abandon(self) -> None:
        """Drop whatever would still arrive, without a report."""
        self._ended = True
        self._exchange.abandon()
        self._witness.close()

    def head(self, head: ResponseHead) -> None:
        """Keep status and headers."""
        self._head = head

    def data(self, data: bytes) -> None:
        """Collect the body."""
        self._body += data
        if len(self._body) > MAXIMUM_ANSWER_BYTES and not self._ended:
            self._exchange.abandon()
            self._end(Ending.FAILED, Verdict.MAY_HAVE_RUN, 'answer too long')

    def complete(self) -> None:
        """Judge a complete answer."""
        says_not_run = self._head.get(NOT_RUN_HEADER).lower() == 'true'
        is_refusal = self._head.status == _UNAVAILABLE and says_not_run
        if is_refusal and self._plan.truthful:
            self._end(Ending.NOT_RUN, Verdict.NOT_RUN, 'refused as not run')
        elif self.is_framed or self._head.is_server_error:
            self._end(Ending.DONE, Verdict.ANSWERED, '')
        else:
            self._witness.check(
                self.server, self._plan.proof_limit(), self._judge_end
            )

    def lost(self, reason: str) -> None:
        """Judge an answer that broke."""
        verdict = self.verdict
        is_not_run = verdict is Verdict.NOT_RUN
        ending = Ending.NOT_RUN if is_not_run else Ending.BROKEN
        self._end(ending, verdict, reason)

    def _judge_end(self, is_alive: bool) -> None:
        """Judge an answer that only the end of its connection ends."""
        if is_alive:
            self._end(Ending.DONE, Verdict.ANSWERED, '')
        else:
            reason = 'nothing proves that the server lived on'
            self._end(Ending.BROKEN, Verdict.MAY_HAVE_RUN, reason)

    def _end(self, ending: Ending, verdict: Verdict, reason: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._witness.close()
        outcome = Outcome(
            ending=ending,
            verdict=verdict,
            reason=reason,
            status=self._head.status if self._head else 0,
            headers=_passed_on(self._head),
            body=bytes(self._body),
        )
        self._report(self, outcome)


def _passed_on(head: ResponseHead | None) -> tuple[Header, ...]:
    if head is None:
        return ()
    return tuple(
        header
        for header in head.headers
        if header[0].lower() not in _OWN_HEADERS
    )
