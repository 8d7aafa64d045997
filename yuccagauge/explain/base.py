"""A bounded buffer of decision records, without prompts or answers."""

import dataclasses
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from yuccagauge.clock import Millis

#: Requests that are remembered.
MAXIMUM_RECORDS = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class CandidateRecord:
    """A backend server that was considered."""

    backend_server: str
    cost_ms: float
    expected_tokens: int
    queue_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRecord:
    """One attempt and its end."""

    backend_server: str
    #: ``run``, ``resume``, ``replay`` or ``hedge``.
    kind: str
    ending: str
    verdict: str
    reason: str
    started_at: Millis
    duration_ms: Millis
    expected_tokens: int = 0
    #: Prompt tokens that the engine reports as cached; -1 if unknown.
    cached_tokens: int = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionRecord:
    """What was decided for one request, and why."""

    request_id: str
    customer: str
    service: str
    document_version: int
    weights_version: str
    priority: int
    received_at: Millis
    deadline: Millis
    prompt_tokens: int = 0
    levels: int = 0
    candidates: tuple[CandidateRecord, ...] = ()
    #: The limit or rule that refused the request; empty if none did.
    limit: str = ''
    attempts: tuple[AttemptRecord, ...] = ()
    #: Empty while the request runs.
    verdict: str = ''
    time_to_first_token_ms: Millis | None = None

    def as_json(self) -> dict[str, Any]:
        """Return the record as plain values."""
        return dataclasses.asdict(self)


class DecisionLog:
    """The latest decision records by request id.

    Parameters
    ----------
    maximum
        Records that are kept; the oldest are dropped.
    """

    def __init__(self, maximum: int = MAXIMUM_RECORDS) -> None:
        """Start without records."""
        self._maximum = maximum
        self._records: OrderedDict[str, DecisionRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def add(self, record: DecisionRecord) -> None:
        """Keep the record of a new request."""
        self._records[record.request_id] = record
        if len(self._records) > self._maximum:
            self._records.popitem(last=False)

    def change(self, request_id: str, **fields: Any) -> None:
        """Replace fields of a record that is still kept."""
        record = self._records.get(request_id)
        if record is not None:
            changed = dataclasses.replace(record, **fields)
            self._records[request_id] = changed

    def add_attempt(self, request_id: str, attempt: AttemptRecord) -> None:
        """Add an attempt to a record that is still kept."""
        record = self._records.get(request_id)
        if record is not None:
            attempts = (*record.attempts, attempt)
            self.change(request_id, attempts=attempts)

    def find(self, request_id: str) -> DecisionRecord | None:
        """Return the record of a request, or ``None``."""
        return self._records.get(request_id)
