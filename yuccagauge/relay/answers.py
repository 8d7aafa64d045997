"""Whether an answer on a connection is the answer to a request.

A faulty server may send bytes that are no answer, and answers to earlier
requests may arrive late. ``docs/design.md`` has the table of all cases.
"""

import enum
from dataclasses import dataclass

from yuccagauge.dispatch.base import AnswerOwner, OwnerDecision

_MISDIRECTED_REQUEST = 421
_FIRST_FAILURE = 400

#: Statuses that tell callers that a request has not run.
_STATUSES_OF_REQUESTS_NOT_RUN = frozenset((408, 421, 429, 503))


@enum.unique
class IdMark(enum.Enum):
    """The request id in the head of an answer."""

    #: That of the request.
    OWN = 'own'
    MISSING = 'missing'
    #: That of another request.
    OTHER = 'other'
    #: Several ids that differ.
    AMBIGUOUS = 'ambiguous'


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerMarks:
    """What the head of an answer states of its origin."""

    status: int
    id: IdMark
    #: Whether a server vouches for the answer.
    has_stamp: bool
    #: Whether it states that the request has not run and never will.
    states_not_run: bool
    #: Whether it names the server that sent it.
    names_server: bool
    #: Whether the body is encoded. No caller asks for that.
    is_encoded: bool

    @property
    def summary(self) -> str:
        """The marks as a text for the log."""
        stamp = 'there' if self.has_stamp else 'missing'
        parts = [
            f'status {self.status}',
            f'id {self.id.value}',
            f'stamp {stamp}',
        ]
        if self.states_not_run:
            parts.append('not run')
        if self.is_encoded:
            parts.append('encoded')
        return ', '.join(parts)


def find_owner(marks: AnswerMarks) -> OwnerDecision:
    """Return which request an answer belongs to, with the reason."""
    if marks.id is IdMark.OTHER:
        return OwnerDecision(AnswerOwner.OTHER_REQUEST, marks.summary)
    is_own = _is_misdirection(marks) or (
        marks.id is IdMark.OWN
        and (_is_rejection(marks) or _is_passed_on(marks))
    )
    owner = AnswerOwner.REQUEST if is_own else AnswerOwner.NOBODY
    return OwnerDecision(owner, marks.summary)


def _is_misdirection(marks: AnswerMarks) -> bool:
    """Return whether another server than the expected one has answered."""
    if marks.status != _MISDIRECTED_REQUEST:
        return False
    is_named = marks.id is IdMark.MISSING and marks.names_server
    return marks.id is IdMark.OWN or is_named


def _is_rejection(marks: AnswerMarks) -> bool:
    """Return whether the answer states that the request has not run."""
    return marks.states_not_run and marks.status >= _FIRST_FAILURE


def _is_passed_on(marks: AnswerMarks) -> bool:
    """Return whether the caller may get the answer.

    A status that promises that the request has not run would be false without
    the statement of the server.
    """
    return (
        marks.has_stamp
        and not marks.states_not_run
        and not marks.is_encoded
        and marks.status not in _STATUSES_OF_REQUESTS_NOT_RUN
    )
