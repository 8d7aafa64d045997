"""Keep the lead, or take it when it is free."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.rollout.base import LeaseStore
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Renewals in the time of a lease.
RENEWALS_PER_LEASE = 4


class LeaderElection:
    """Writes the records of the lead and reads those of others.

    Parameters
    ----------
    name
        Name of this router.
    store
        The records of the lead.
    leader_lease
        What they mean for this router.
    reactor, clock
        Keep time.
    lease_duration
        Time after which a silent leader is replaced.
    is_candidate
        Returns whether this router is one of those that may take the lead.
    """

    def __init__(
        self,
        name: str,
        store: LeaseStore,
        leader_lease: LeaderLease,
        reactor: Any,
        clock: Clock,
        *,
        lease_duration: Millis,
        is_candidate: Callable[[], bool] = lambda: True,
    ) -> None:
        """Follow nobody yet."""
        self._name = name
        self._store = store
        self._leader_lease = leader_lease
        self._clock = clock
        self._is_candidate = is_candidate
        self._is_renewing = False
        self._was_leading = False
        #: When the first record left that has had no answer yet.
        self._unanswered_at: Millis | None = None
        #: Told when this router begins or ceases to lead.
        self.on_leadership_change: Callable[[bool], None] = lambda is_leader: (
            None
        )
        self._renewals = PeriodicTask('lead', self._renew, reactor)
        self._period_s = in_seconds(lease_duration / RENEWALS_PER_LEASE)

    def start(self) -> None:
        """Begin to look after the lead."""
        self._renewals.start(self._period_s)

    def close(self) -> Deferred[Any]:
        """Stop, and give the lead up."""
        self._renewals.close()
        if not self._leader_lease.is_leader:
            return succeed(None)
        self._leader_lease.step_down()
        leaving = self._store.append_lease('', self._leader_lease.record_count)
        leaving.addErrback(lambda failure: failure.trap(StoreUnavailableError))
        return leaving

    def check_now(self) -> None:
        """Look at once, because the leader may have given the lead up."""
        if self._renewals.is_running:
            self._renew()

    @inlineCallbacks
    def _renew(self) -> Any:
        """Renew the lead, or look whether it may be taken."""
        if self._is_renewing:
            return
        self._is_renewing = True
        try:
            yield self._keep_lead()
        except StoreUnavailableError:
            # The followers of the store log its loss; the lead lapses.
            return
        finally:
            self._is_renewing = False
        if self._leader_lease.is_leader != self._was_leading:
            self._was_leading = self._leader_lease.is_leader
            self.on_leadership_change(self._was_leading)
            log_state_change(
                'lead_changed',
                leads=self._was_leading,
                fence=self._leader_lease.record_count,
            )

    @inlineCallbacks
    def _keep_lead(self) -> Any:
        leader_lease = self._leader_lease
        if not leader_lease.is_leader:
            if not self._is_candidate():
                return
            yield self._read_lease()
            if not leader_lease.can_acquire(self._clock.now()):
                return
        record_count = leader_lease.record_count
        sent_at = self._clock.now()
        self._unanswered_at = self._unanswered_at or sent_at
        is_written = yield self._store.append_lease(self._name, record_count)
        if is_written:
            self._unanswered_at = None
            leader_lease.confirm_append(
                record_count, sent_at, self._clock.now()
            )
        else:
            leader_lease.step_down()
            yield self._read_lease()

    @inlineCallbacks
    def _read_lease(self) -> Any:
        """Read the lead; a record of ours may have lost its answer."""
        known = self._leader_lease.record_count
        state = yield self._store.read_lease()
        now = self._clock.now()
        sent_at, self._unanswered_at = self._unanswered_at, None
        is_ours = state.holder == self._name and state.record_count == known + 1
        if is_ours and sent_at is not None:
            self._leader_lease.confirm_append(known, sent_at, now)
        else:
            self._leader_lease.observe_state(state, now)
