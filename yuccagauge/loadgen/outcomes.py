"""What became of each planned request, and which promises it broke."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from yuccagauge.loadgen.events import StreamedAnswer
from yuccagauge.loadgen.plans import CallPlan, ChatPlan
from yuccagauge.verdict import Verdict


@dataclass(slots=True, kw_only=True)
class ChatOutcome:
    """What a caller saw of one streamed request; filled as it arrives."""

    plan: ChatPlan
    #: HTTP status; 0 if no response head arrived.
    status: int = 0
    verdict: str = ''
    request_id: str = ''
    #: The error code of a refusal.
    code: str = ''
    answer: StreamedAnswer = field(default_factory=StreamedAnswer)
    #: How the connection failed, if it did.
    failure: str = ''
    #: Time to the first token, in milliseconds.
    first_token_ms: float | None = None
    #: Times between tokens, in milliseconds.
    between_ms: list[float] = field(default_factory=list)

    @property
    def is_answered(self) -> bool:
        """Whether the caller has taken the answer for whole."""
        return self.status == 200 and self.answer.is_done

    @property
    def is_not_run(self) -> bool:
        """Whether the caller was told that nothing has run."""
        return self.verdict == Verdict.NOT_RUN.value


@dataclass(slots=True, kw_only=True)
class CallOutcome:
    """What a caller saw of one copy of a plain call."""

    plan: CallPlan
    key: str
    status: int = 0
    verdict: str = ''
    request_id: str = ''
    code: str = ''
    #: The key and the digest that the answer of the service names.
    answered_key: str = ''
    answered_body: str = ''
    #: Whether an answer ended properly amid its body.
    is_cut: bool = False
    failure: str = ''

    @property
    def is_answered(self) -> bool:
        """Whether the call was acknowledged as executed."""
        return self.status == 200

    @property
    def is_not_run(self) -> bool:
        """Whether the caller was told that nothing has run."""
        return self.verdict == Verdict.NOT_RUN.value


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """One broken promise."""

    #: A stable name such as ``executed twice``.
    kind: str
    detail: str


def judge_chat(
    outcome: ChatOutcome,
    weights_versions: Iterable[str],
) -> list[Violation]:
    """Return what is wrong with an answer, from the caller's view alone."""
    found: list[str] = []
    answer = outcome.answer
    if outcome.is_answered:
        expected = {outcome.plan.answer(one) for one in weights_versions}
        if answer.text not in expected:
            found.append('wrong answer')
        if answer.has_gap or answer.trailing:
            found.append('stream out of order')
        if answer.error is not None:
            found.append('error in a whole stream')
    elif _is_silently_cut(outcome):
        found.append('stream silently cut')
    name = f'request {outcome.plan.number} of {outcome.plan.customer}'
    detail = f'{name} ({outcome.request_id})'
    return [Violation(kind=kind, detail=detail) for kind in found]


def judge_call(outcome: CallOutcome) -> list[Violation]:
    """Return what is wrong with the answer to a plain call."""
    if not outcome.is_answered:
        return []
    if outcome.is_cut:
        return [Violation(kind='answer cut', detail=f'key {outcome.key}')]
    is_own = (
        outcome.answered_key == outcome.key
        and outcome.answered_body == outcome.plan.body_sha256
    )
    if is_own:
        return []
    return [Violation(kind='crossed answer', detail=f'key {outcome.key}')]


def _is_silently_cut(outcome: ChatOutcome) -> bool:
    """Whether a response ended properly, but the stream in it did not."""
    is_begun = outcome.status == 200 and not outcome.failure
    return is_begun and outcome.answer.error is None
