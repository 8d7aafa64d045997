"""Check the promises against the records of the stand-ins."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from yuccagauge.loadgen.outcomes import (
    CallOutcome,
    ChatOutcome,
    Violation,
    judge_call,
    judge_chat,
)

#: One record of a stand-in.
Record = Mapping[str, Any]


def audit_chats(
    outcomes: Iterable[ChatOutcome],
    records: Iterable[Record],
    weights_versions: frozenset[str],
) -> list[Violation]:
    """Check the answers, and that no ``not-run`` was false.

    Parameters
    ----------
    outcomes
        What the callers saw.
    records
        Those of all engines.
    weights_versions
        Versions whose answers are right.
    """
    started = {
        record['prompt_sha256']
        for record in records
        if record['kind'] == 'started'
    }
    found: list[Violation] = []
    for outcome in outcomes:
        found.extend(judge_chat(outcome, weights_versions))
        if outcome.is_not_run and outcome.plan.prompt_sha256 in started:
            detail = f'request {outcome.request_id}, code {outcome.code}'
            found.append(Violation(kind='false not-run', detail=detail))
    return found


def audit_calls(
    outcomes: Iterable[CallOutcome],
    records: Iterable[Record],
) -> list[Violation]:
    """Check that each call ran at most once, and as the callers were told.

    Parameters
    ----------
    outcomes
        What the callers saw; copies of a call have the same key.
    records
        Those of all plain services.
    """
    ran = [record for record in records if record['kind'] == 'executed']
    executed = Counter(record['idempotency_key'] for record in ran)
    ran_as = {record['request_id'] for record in ran}
    found: list[Violation] = []
    by_key: defaultdict[str, list[CallOutcome]] = defaultdict(list)
    for outcome in outcomes:
        found.extend(judge_call(outcome))
        if outcome.is_not_run and outcome.request_id in ran_as:
            detail = f'request {outcome.request_id}, code {outcome.code}'
            found.append(Violation(kind='false not-run', detail=detail))
        by_key[outcome.key].append(outcome)
    for key, copies in by_key.items():
        kind = _judge_copies(copies, executed[key])
        if kind:
            codes = ', '.join(_summary(copy) for copy in copies)
            detail = f'key {key}, executed {executed[key]}, {codes}'
            found.append(Violation(kind=kind, detail=detail))
    return found


def count_executed(records: Iterable[Record]) -> int:
    """Return the number of executed plain calls."""
    return sum(1 for record in records if record['kind'] == 'executed')


def _judge_copies(copies: list[CallOutcome], executed: int) -> str:
    if executed > 1:
        return 'executed twice'
    if executed and all(copy.is_not_run for copy in copies):
        return 'false not-run'
    if not executed and any(copy.is_answered for copy in copies):
        return 'acknowledged but not executed'
    return ''


def _summary(copy: CallOutcome) -> str:
    told = copy.verdict or copy.failure or 'no verdict'
    return f'{copy.status} {copy.code} {told}'
