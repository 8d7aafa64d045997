"""One attempt to get a streamed answer from one engine."""

from dataclasses import dataclass
from typing import Any, Protocol

from yuccagauge.dispatch.base import BackendMessage, Header, ResponseHead
from yuccagauge.dispatch.errors import (
    BackendProtocolError,
    ContinuationError,
    ReplayMismatchError,
)
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.recovery import Ending
from yuccagauge.dispatch.sse import EventSplitter
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

#: The header by which a backend server says that it ran nothing.
NOT_RUN_HEADER = b'yuccagauge-not-run'

#: A failure body beyond this size is cut off.
_MAXIMUM_REJECTION_BYTES = 65_536

_VERSION_HEADER = b'x-weights-version'
_INCARNATION_HEADER = b'x-engine-incarnation'
_OK = 200
_TOO_MANY = 429
_UNAVAILABLE = 503
_FIRST_SERVER_ERROR = 500
_UNKNOWN_STREAM = frozenset((404, 409, 410))


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How an attempt ended."""

    ending: Ending
    verdict: Verdict
    reason: str
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b''


class AttemptListener(Protocol):
    """Hears an attempt."""

    def attempt_events(
        self,
        attempt: 'ModelAttempt',
        events: list[bytes],
    ) -> None:
        """Take whole events."""

    def attempt_ended(self, attempt: 'ModelAttempt', outcome: Outcome) -> None:
        """Take the end; called once unless the attempt was abandoned."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptPlan:
    """What to send where, and which answer to accept."""

    engine: Endpoint
    message: BackendMessage
    #: The weights version in force when the request was placed.
    weights_version: str
    #: Whether a 503 with ``Yuccagauge-Not-Run`` may be believed.
    truthful: bool
    #: For a resume: the incarnation that holds the stream.
    incarnation: str = ''
    #: Whether this continues a stream that the engine already runs.
    resumes: bool = False
    #: Tokens that the engine was expected to have cached.
    expected_tokens: int = 0


class ModelAttempt:
    """Sends one request to an engine and checks the answer's version.

    Parameters
    ----------
    pool
        Opens connections.
    plan
        What to send where.
    listener
        Hears events and the end.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        plan: AttemptPlan,
        listener: AttemptListener,
    ) -> None:
        """Prepare without sending."""
        self._plan = plan
        self._listener = listener
        self._splitter = EventSplitter()
        self._head: ResponseHead | None = None
        self._rejection = bytearray()
        self._ended = False
        self._exchange = Exchange(pool, plan.engine, plan.message, self)

    @property
    def plan(self) -> AttemptPlan:
        """What was sent where."""
        return self._plan

    @property
    def engine(self) -> Endpoint:
        """The engine."""
        return self._plan.engine

    @property
    def opened(self) -> bool:
        """Whether the engine opened a stream."""
        return self._head is not None and self._head.status == _OK

    @property
    def is_resumable(self) -> bool:
        """Whether the engine may still hold the stream.

        A connection may break before the head arrives although the engine
        runs the request; a resume that does not open is not tried again. A
        process that states no incarnation cannot be told from a later one,
        which may give the request another answer.
        """
        if self.opened:
            return bool(self.incarnation)
        return not self._plan.resumes

    @property
    def was_sent(self) -> bool:
        """Whether a byte of this very attempt was written."""
        return self._exchange.verdict is not Verdict.NOT_RUN

    @property
    def ended(self) -> bool:
        """Whether nothing more is heard of this attempt."""
        return self._ended

    @property
    def incarnation(self) -> str:
        """The engine's incarnation, once the head has arrived."""
        if self._head is None:
            return self._plan.incarnation
        return self._head.get(_INCARNATION_HEADER)

    @property
    def verdict(self) -> Verdict:
        """Whether the engine may have run the request."""
        if self._plan.resumes:
            return Verdict.MAY_HAVE_RUN
        return self._exchange.verdict

    @property
    def headers(self) -> tuple[Header, ...]:
        """Response headers that are passed on."""
        names = (_VERSION_HEADER, _INCARNATION_HEADER)
        return tuple(
            (name, self._head.get(name).encode('latin-1')) for name in names
        )

    def start(self) -> None:
        """Connect and send."""
        self._exchange.start(fresh=False)

    def abandon(self) -> None:
        """Drop whatever would still arrive, without a report."""
        if not self._ended:
            self._ended = True
            self._exchange.abandon()

    def pause(self) -> None:
        """Stop reading from the engine."""
        self._exchange.pause()

    def resume(self) -> None:
        """Read from the engine again."""
        self._exchange.resume()

    def finish(self) -> None:
        """Hear nothing more, but let the response end by itself."""
        self._ended = True

    def break_off(self, reason: str) -> None:
        """End an attempt that makes no progress."""
        if not self._ended:
            verdict = self.verdict
            self._exchange.abandon()
            self._end(_broken(verdict), reason, verdict=verdict)

    def head(self, head: ResponseHead) -> None:
        """Check whether this answer may be passed on at all."""
        self._head = head
        if self._ended or not self.opened:
            return
        version = head.get(_VERSION_HEADER)
        if version != self._plan.weights_version:
            self._exchange.abandon()
            self._end(Ending.WRONG_VERSION, f'weights version {version!r}')
        elif self._plan.incarnation not in {'', self.incarnation}:
            self._exchange.abandon()
            self._end(Ending.GONE, 'another incarnation')

    def data(self, data: bytes) -> None:
        """Split the stream, or keep the text of a failure."""
        if self._ended:
            return
        if not self.opened:
            room = _MAXIMUM_REJECTION_BYTES - len(self._rejection)
            self._rejection += data[:room]
            return
        try:
            events = self._splitter.feed(data)
            if events:
                self._listener.attempt_events(self, events)
        except ReplayMismatchError as error:
            self._exchange.abandon()
            self._end(Ending.MISMATCH, str(error))
        except ContinuationError as error:
            self._exchange.abandon()
            self._end(Ending.GONE, str(error))
        except BackendProtocolError as error:
            self._exchange.abandon()
            self._end(Ending.BROKEN, str(error))

    def complete(self) -> None:
        """Judge a response that ended by itself."""
        if self._ended:
            return
        if self.opened:
            self._end(
                Ending.BROKEN,
                'the stream ended without [DONE]',
                verdict=Verdict.MAY_HAVE_RUN,
            )
            return
        ending, verdict = self._judge_status(self._head)
        self._end(ending, f'status {self._head.status}', verdict=verdict)

    def lost(self, reason: str) -> None:
        """Judge a response that broke."""
        if not self._ended:
            self._end(_broken(self.verdict), reason)

    def _judge_status(self, head: ResponseHead) -> tuple[Ending, Verdict]:
        status = head.status
        says_not_run = head.get(NOT_RUN_HEADER).lower() == 'true'
        if self._plan.resumes:
            gone = status in _UNKNOWN_STREAM
            ending = Ending.GONE if gone else Ending.FAILED
            return ending, Verdict.MAY_HAVE_RUN
        if status == _UNAVAILABLE and says_not_run and self._plan.truthful:
            return Ending.NOT_RUN, Verdict.NOT_RUN
        if status >= _FIRST_SERVER_ERROR or status == _TOO_MANY:
            return Ending.FAILED, Verdict.MAY_HAVE_RUN
        return Ending.REJECTED, Verdict.ANSWERED

    def _end(
        self,
        ending: Ending,
        reason: str,
        *,
        verdict: Verdict | None = None,
    ) -> None:
        self._ended = True
        status = self._head.status if self._head else 0
        headers: Any = ()
        if self._head is not None:
            kind = self._head.get(b'content-type').encode('latin-1')
            headers = ((b'Content-Type', kind),)
        outcome = Outcome(
            ending=ending,
            verdict=verdict or self.verdict,
            reason=reason,
            status=status,
            headers=headers,
            body=bytes(self._rejection),
        )
        self._listener.attempt_ended(self, outcome)


def _broken(verdict: Verdict) -> Ending:
    if verdict is Verdict.NOT_RUN:
        return Ending.NOT_RUN
    return Ending.BROKEN
