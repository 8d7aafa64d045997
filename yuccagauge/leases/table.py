"""The pure table of leases: a fold over the lease stream.

Only the log's clock decides. A reader that lost records to trimming is in
doubt about every lease until the longest one that it may have missed has
ended; it neither grants nor refuses in that time.
"""

import dataclasses
import enum
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.leases.records import (
    MAXIMUM_TTL,
    Acquire,
    GiveBack,
    LeaseRecord,
    Renew,
)


@enum.unique
class LeaseResult(enum.Enum):
    """What became of a record."""

    GRANTED = 'granted'
    REFUSED = 'refused'
    #: Trimmed records may decide otherwise.
    DOUBTFUL = 'doubtful'


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """The last lease on a resource."""

    resource: str
    holder: str
    fence: int
    nonce: str
    #: Log time at which it ends.
    end: Millis


def is_valid(lease: Lease, time: Millis) -> bool:
    """Return whether a lease still runs at a log time."""
    return time < lease.end


def may_acquire(lease: Lease | None, record: Acquire, time: Millis) -> bool:
    """Return whether a record takes the resource.

    A holder may take its own lease again, which gives it a new fence; a
    second copy of the record that made the lease does not.
    """
    if lease is None:
        return True
    if lease.nonce == record.nonce:
        return False
    return lease.holder == record.holder or not is_valid(lease, time)


def may_renew(lease: Lease | None, fence: int, time: Millis) -> bool:
    """Return whether the lease with a fence still runs."""
    if lease is None or lease.fence != fence:
        return False
    return is_valid(lease, time)


def doubt_end(time: Millis) -> Millis:
    """Return when leases that were granted up to a time have ended."""
    return Millis(time + MAXIMUM_TTL)


class LeaseTable:
    """Fold over the lease stream, in offset order."""

    def __init__(self) -> None:
        """Start at the beginning of an untrimmed stream."""
        self._leases: dict[str, Lease] = {}
        self._doubts: dict[str, Millis] = {}
        self._doubt_all: Millis | None = None
        self._had_gap = False
        self._time = Millis(0)

    @property
    def time(self) -> Millis:
        """Log time of the last record that was read."""
        return self._time

    def lease(self, resource: str, time: Millis) -> Lease | None:
        """Return the lease that runs at a log time, as far as is known."""
        lease = self._leases.get(resource)
        if lease is None or not is_valid(lease, time):
            return None
        return lease

    def is_doubtful(self, resource: str, time: Millis) -> bool:
        """Return whether a trimmed record may have granted a lease."""
        if self._had_gap:
            return True
        if self._doubt_all is not None and time < self._doubt_all:
            return True
        return time < self._doubts.get(resource, time)

    def read_gap(self) -> None:
        """Forget everything: records before the next one were trimmed."""
        self._leases.clear()
        self._doubts.clear()
        self._had_gap = True

    def apply(
        self,
        offset: int,
        time: Millis,
        record: LeaseRecord,
    ) -> LeaseResult:
        """Fold one record."""
        self._observe(time)
        if self.is_doubtful(record.resource, time):
            return self._doubt(record, time)
        if isinstance(record, Acquire):
            return self._acquire(offset, record, time)
        lease = self._leases.get(record.resource)
        if not may_renew(lease, record.fence, time):
            return LeaseResult.REFUSED
        ttl = record.ttl if isinstance(record, Renew) else Millis(0)
        self._leases[record.resource] = dataclasses.replace(
            lease,
            end=Millis(time + min(ttl, MAXIMUM_TTL)),
        )
        return LeaseResult.GRANTED

    def _observe(self, time: Millis) -> None:
        self._time = time
        if self._had_gap:
            self._had_gap = False
            self._doubt_all = doubt_end(time)

    def _doubt(self, record: LeaseRecord, time: Millis) -> LeaseResult:
        if not isinstance(record, GiveBack):
            # The record may have granted or prolonged a lease.
            self._doubts[record.resource] = doubt_end(time)
        return LeaseResult.DOUBTFUL

    def _acquire(
        self,
        offset: int,
        record: Acquire,
        time: Millis,
    ) -> LeaseResult:
        lease = self._leases.get(record.resource)
        if not may_acquire(lease, record, time):
            return LeaseResult.REFUSED
        self._leases[record.resource] = Lease(
            resource=record.resource,
            holder=record.holder,
            fence=offset,
            nonce=record.nonce,
            end=Millis(time + min(record.ttl, MAXIMUM_TTL)),
        )
        return LeaseResult.GRANTED
