"""Acquires, renews and releases the leader lease."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.interfaces import IDelayedCall

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.rollout.base import LeaseStore
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Renewals within one lease duration.
RENEWALS_PER_LEASE = 4

#: Time after the expiry of another router's lease at which it is checked, so
#: that a clock that truncates to whole ms shows it as expired.
EXPIRY_CHECK_DELAY = Millis(2)


class LeaderElection:
    """Appends and reads the records of the leader lease in the store.

    Parameters
    ----------
    name
        Name of this router.
    store
        Stores the lease records.
    leader_lease
        Derives from the records whether this router leads.
    reactor, clock
        Schedule the renewals and tell the time.
    lease_duration
        Time without a renewal after which another router may acquire the
        lease.
    is_candidate
        Returns whether this router may acquire the lease.
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
        """Start as a follower; does not call the store yet."""
        self._name = name
        self._store = store
        self._leader_lease = leader_lease
        self._reactor = reactor
        self._clock = clock
        self._is_candidate = is_candidate
        self._is_checking = False
        self._was_leader = False
        #: When the first append that has no answer yet was sent, or the read
        #: before it.
        self._unanswered_at: Millis | None = None
        self._expiry_check: IDelayedCall | None = None
        #: Called with whether this router leads, when that changes.
        self.on_leadership_change: Callable[[bool], None] = lambda is_leader: (
            None
        )
        #: Whether the lease is released instead of renewed.
        self._hands_over = False
        #: Called when this router has released the lease to its peers.
        self.on_released: Callable[[], None] = lambda: None
        self._renewal_task = PeriodicTask('lead', self._check_lease, reactor)
        self._period_s = in_seconds(lease_duration / RENEWALS_PER_LEASE)

    def start(self) -> None:
        """Start to renew the lease, or to check whether it is free."""
        self._renewal_task.start(self._period_s)

    def close(self) -> Deferred[Any]:
        """Stop, and release the lease if this router holds it."""
        self._renewal_task.close()
        self._cancel_expiry_check()
        if not self._leader_lease.is_leader:
            return succeed(None)
        self._leader_lease.release()
        release = self._append('')
        release.addErrback(lambda failure: failure.trap(StoreUnavailableError))
        return release

    def check_now(self) -> None:
        """Check the lease at once, because the leader may have released it."""
        if self._renewal_task.is_running:
            self._check_lease()

    def hand_over(self) -> None:
        """Release the lease at once, or after the renewal under way."""
        self._hands_over = True
        self.check_now()

    @inlineCallbacks
    def _check_lease(self) -> Any:
        """Renew or acquire the lease, and report a change of leadership."""
        if self._is_checking:
            return
        self._is_checking = True
        try:
            yield self._renew_or_acquire()
        except StoreUnavailableError:
            # The topic followers log that the store is unavailable. Without
            # a renewal the lease expires.
            return
        finally:
            self._is_checking = False
        if self._hands_over:
            # A renewal was under way when the hand-over was decided.
            self.check_now()
        if self._leader_lease.is_leader != self._was_leader:
            self._was_leader = self._leader_lease.is_leader
            self.on_leadership_change(self._was_leader)
            log_state_change(
                'lead_changed',
                leads=self._was_leader,
                fence=self._leader_lease.last_token,
            )

    @inlineCallbacks
    def _renew_or_acquire(self) -> Any:
        leader_lease = self._leader_lease
        asked_at = self._clock.now()
        if leader_lease.is_leader and self._hands_over:
            yield self._release()
            return
        if not leader_lease.is_leader:
            self._hands_over = False
            is_candidate = self._is_candidate()
            if not (is_candidate or self._may_resume()):
                return
            yield self._read_lease()
            if not is_candidate and not leader_lease.is_resumable:
                return
            if not leader_lease.can_acquire(self._clock.now()):
                self._check_at_expiry()
                return
        yield self._append_own(asked_at)
        if not leader_lease.is_leader and leader_lease.is_resumable:
            # The store came back from a copy.
            yield self._append_own(self._clock.now())

    @inlineCallbacks
    def _append_own(self, asked_at: Millis) -> Any:
        """Append a record of this router, or read the one in its place."""
        leader_lease = self._leader_lease
        record_count = leader_lease.record_count
        sent_at = self._clock.now()
        # The store may write a record of this router's former process, which
        # counts as this append, at any time after the read.
        self._unanswered_at = self._unanswered_at or asked_at
        is_written = yield self._append(self._name)
        if is_written:
            self._unanswered_at = None
            leader_lease.confirm_append(
                record_count, sent_at, self._clock.now()
            )
        else:
            leader_lease.step_down()
            yield self._read_lease()

    def _append(self, holder: str) -> Deferred[bool]:
        """Append a record after the last known one."""
        lease = self._leader_lease
        return self._store.append_lease(holder, lease.record_count, lease.eras)

    def _may_resume(self) -> bool:
        """Return whether the lease may be that of the former process.

        Whoever led before a restart goes on, even if it is no candidate by now:
        the others wait for the end of its lease.
        """
        lease = self._leader_lease
        return lease.is_resumable or not lease.has_been_read

    def _check_at_expiry(self) -> None:
        """Check again when the lease expires, if that is before a period."""
        self._cancel_expiry_check()
        wait = self._leader_lease.time_until_free(self._clock.now())
        wait_s = in_seconds(Millis(wait + EXPIRY_CHECK_DELAY))
        if self._renewal_task.is_running and wait_s < self._period_s:
            self._expiry_check = self._reactor.callLater(wait_s, self.check_now)

    def _cancel_expiry_check(self) -> None:
        if self._expiry_check is not None and self._expiry_check.active():
            self._expiry_check.cancel()

    @inlineCallbacks
    def _release(self) -> Any:
        """Stop giving orders, and then release the lease."""
        self._hands_over = False
        self._leader_lease.release()
        is_written = yield self._append('')
        yield self._read_lease()
        if is_written:
            self.on_released()

    @inlineCallbacks
    def _read_lease(self) -> Any:
        """Read the lease.

        A record by this router that follows the last known one is an append
        whose answer was lost, so it counts as confirmed.
        """
        known_count = self._leader_lease.record_count
        known_era = self._leader_lease.era
        state = yield self._store.read_lease()
        now = self._clock.now()
        sent_at, self._unanswered_at = self._unanswered_at, None
        is_own = (
            state.holder == self._name
            and state.record_count == known_count + 1
            and state.era == known_era
        )
        if is_own and sent_at is not None:
            self._leader_lease.confirm_append(known_count, sent_at, now)
        else:
            self._leader_lease.observe_state(state, now)
