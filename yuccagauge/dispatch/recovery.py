"""What follows the end of an attempt. Pure decisions."""

import enum
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import Call
from yuccagauge.verdict import Verdict

#: Attempts of one call, with the first; hedges and resumes not counted.
MAXIMUM_RUNS = 4

#: Resumes without any event before another engine replays the stream.
MAXIMUM_RESUMES = 3


@enum.unique
class Ending(enum.Enum):
    """How an attempt ended."""

    DONE = 'done'
    #: A final answer other than a stream, such as 400.
    REJECTED = 'rejected'
    #: The connection broke, or no event came for too long.
    BROKEN = 'broken'
    #: No byte was written, or the backend server says truthfully so.
    NOT_RUN = 'not-run'
    #: An answer made with other weights than the document asks for.
    WRONG_VERSION = 'wrong-version'
    #: The engine does not know the stream any more.
    GONE = 'gone'
    #: A replay that differs from what was passed on.
    MISMATCH = 'mismatch'
    #: A failure status.
    FAILED = 'failed'
    #: Another attempt won, or the caller left.
    ABANDONED = 'abandoned'


#: Answers to a resume by which the engine does not run the stream any more.
_ENDED_STREAM = frozenset((Ending.GONE, Ending.WRONG_VERSION))


@enum.unique
class Step(enum.Enum):
    """What to do next."""

    FINISH = 'finish'
    PASS_ON = 'pass-on'
    RESUME = 'resume'
    RERUN = 'rerun'
    #: Rerun if the retry budget allows it.
    RERUN_WITHIN_BUDGET = 'rerun-within-budget'
    GIVE_UP = 'give-up'


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """How far a call has come."""

    #: Whether events were passed on to the caller.
    begun: bool
    #: Whether the engine may hold the stream, so that it can be resumed.
    resumable: bool
    runs: int
    #: Resumes in a row that brought no event.
    resumes: int
    idempotent: bool
    #: Whether the deadline has passed.
    late: bool


class Recovery:
    """How long a call may still recover, and what it has tried for it.

    Parameters
    ----------
    call
        The call; its ``chat`` is set.
    """

    def __init__(self, call: Call) -> None:
        """Start with a call that did not break."""
        self._allowed = call.deadline - call.received_at
        self._is_stream = call.chat.stream
        self._delivered = 0
        #: When no further step is taken.
        self.late_at = call.deadline
        #: Resumes in a row that brought no event.
        self.resumes = 0
        #: Whether the engine said that it does not run the stream.
        self.is_gone = False

    @property
    def may_ask_again(self) -> bool:
        """Whether a silent run is asked for on a second connection."""
        return not self.is_gone and self.resumes < MAXIMUM_RESUMES

    def note_break(self, delivered: int, now: Millis) -> None:
        """Give a stream that broke as long to recover as a new call has.

        Events that were passed on since the last break show that it had
        recovered from that one.
        """
        if delivered == self._delivered:
            return
        self._delivered = delivered
        self.resumes = 0
        self.is_gone = False
        if self._is_stream:
            self.late_at = Millis(now + self._allowed)

    def note_refusal(self, ending: Ending) -> None:
        """Take the end of a second connection to a silent run."""
        self.is_gone = ending in _ENDED_STREAM

    def has_run_out(self, quiet: int, now: Millis) -> bool:
        """Return whether a silent run has no time left; a rerun has longer."""
        return now >= self.late_at and quiet >= self._allowed


def next_step(ending: Ending, verdict: Verdict, progress: Progress) -> Step:
    """Return what follows an attempt that ended.

    A call that may have run is repeated only if it is idempotent. A rerun
    after ``not run`` adds no load to the fleet and needs no budget.
    """
    if ending is Ending.DONE:
        return Step.FINISH
    if ending is Ending.REJECTED and not progress.begun:
        return Step.PASS_ON
    if ending is Ending.MISMATCH or progress.late:
        return Step.GIVE_UP
    if verdict is not Verdict.NOT_RUN and not progress.idempotent:
        return Step.GIVE_UP
    if ending is Ending.BROKEN and progress.resumable:
        if progress.resumes < MAXIMUM_RESUMES:
            return Step.RESUME
    if progress.runs >= MAXIMUM_RUNS:
        return Step.GIVE_UP
    if verdict is Verdict.NOT_RUN:
        return Step.RERUN
    return Step.RERUN_WITHIN_BUDGET
