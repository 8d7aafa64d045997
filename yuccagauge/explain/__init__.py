"""Decision records, by request id and by backend server."""

from yuccagauge.explain.base import (
    AttemptRecord,
    CandidateRecord,
    DecisionLog,
    DecisionRecord,
)

__all__ = (
    'AttemptRecord',
    'CandidateRecord',
    'DecisionLog',
    'DecisionRecord',
)
