"""What a decision on a claim means for the caller."""

from dataclasses import dataclass

from yuccagauge.claims.base import (
    ClaimDecision,
    ClaimRequest,
    Expired,
    Granted,
    Held,
    InvalidKey,
    Mismatch,
    Replay,
)
from yuccagauge.dispatch.attempt import Outcome
from yuccagauge.dispatch.base import Call
from yuccagauge.dispatch.recovery import Ending
from yuccagauge.dispatch.refusals import RETRY_SOON, claims_unavailable
from yuccagauge.verdict import Refusal, Verdict, not_run_refusal

_CONFLICT = 409

_REPLAY_HEADERS = (
    (b'Content-Type', b'application/json'),
    (b'Yuccagauge-Replayed', b'true'),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Judgement:
    """Exactly one of the three is set."""

    granted: Granted | None = None
    replay: Outcome | None = None
    refusal: Refusal | None = None


def claim_of(call: Call) -> ClaimRequest:
    """Return the claim that a call needs."""
    return ClaimRequest(
        customer=call.customer,
        service=call.service,
        key=call.idempotency_key,
        fingerprint=call.fingerprint,
    )


def judge(decision: ClaimDecision) -> Judgement:
    """Return whether the call may be sent, or its answer."""
    if isinstance(decision, Granted):
        return Judgement(granted=decision)
    if isinstance(decision, Replay) and decision.body is not None:
        return Judgement(replay=_replayed(decision.status, decision.body))
    return Judgement(refusal=_refusal(decision))


def _replayed(status: int, body: bytes) -> Outcome:
    return Outcome(
        ending=Ending.DONE,
        verdict=Verdict.ANSWERED,
        reason='',
        status=status,
        headers=_REPLAY_HEADERS,
        body=body,
    )


def _refusal(decision: ClaimDecision) -> Refusal:
    if isinstance(decision, Replay):
        return _conflict(
            'answer_not_kept',
            'the call was answered before; its answer was too long to keep',
            Verdict.ANSWERED,
        )
    if isinstance(decision, Held):
        return _conflict(
            'idempotency_key_in_use',
            'a call with this key was sent and has no recorded outcome',
            Verdict.MAY_HAVE_RUN,
            retry=True,
        )
    if isinstance(decision, Expired):
        return _conflict(
            'idempotency_key_expired',
            'the key is older than the record of calls; it may have run',
            Verdict.MAY_HAVE_RUN,
        )
    if isinstance(decision, Mismatch):
        return not_run_refusal(
            422,
            'idempotency_key_reused',
            'the key was used for a call with other content',
        )
    if isinstance(decision, InvalidKey):
        return not_run_refusal(
            400,
            'idempotency_key_invalid',
            f'unusable idempotency key: {decision.reason}',
        )
    return claims_unavailable()


def _conflict(
    code: str,
    message: str,
    verdict: Verdict,
    *,
    retry: bool = False,
) -> Refusal:
    return Refusal(
        status=_CONFLICT,
        code=code,
        message=message,
        verdict=verdict,
        retry_after=RETRY_SOON if retry else None,
    )
