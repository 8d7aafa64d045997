"""The pure rules for orders to one engine.

An engine that checks fences needs one order under the new fence before its
state can be trusted: it refuses older orders only after it has seen a newer
one. An engine that ignores fences may still be reached by an order of an
earlier holder, so its state counts only after it has matched for longer
than the lock delay.
"""

import enum

from yuccagauge.clock import Millis

#: The lock delay as a multiple of a lease's time to live.
LOCK_DELAY_TTLS = 2

#: An order is repeated after this time while the state does not match; a
#: load of weights takes longer than a look at the engine.
_REPEAT_EVERY = Millis(10_000)


def lock_delay(ttl: Millis) -> Millis:
    """Return how long an order of an earlier holder may still arrive."""
    return Millis(LOCK_DELAY_TTLS * ttl)


def has_matched_long(since: Millis, now: Millis, delay: Millis) -> bool:
    """Return whether a state has matched for longer than the lock delay."""
    return now - since > delay


def has_waited(since: Millis, now: Millis, delay: Millis) -> bool:
    """Return whether the lock delay after the lease's grant has passed."""
    return now - since > delay


def is_trusted(*, is_fenced: bool, matches: bool) -> bool:
    """Return whether the state of an engine that checks fences will stay.

    Until it has taken an order under the present fence, it may still take
    one of an earlier holder.
    """
    return is_fenced and matches


@enum.unique
class Step(enum.Enum):
    """What the holder does next."""

    WAIT = 'wait'
    ORDER = 'order'
    STABLE = 'stable'


class Reconciler:
    """Bring one engine to the wanted state under one lease.

    Parameters
    ----------
    checks_fence
        Whether the engine refuses orders with an old fence.
    delay
        The lock delay, in milliseconds.
    held_since
        When the lease was granted, by the holder's clock.
    """

    def __init__(
        self,
        *,
        checks_fence: bool,
        delay: Millis,
        held_since: Millis,
    ) -> None:
        """Trust nothing yet."""
        self._checks_fence = checks_fence
        self._delay = delay
        self._held_since = held_since
        self._matched_since: Millis | None = None
        self._ordered_at: Millis | None = None
        self._is_fenced = False

    def ordered(self, now: Millis, *, accepted: bool) -> None:
        """Take note of an order and of whether the engine took it."""
        self._ordered_at = now
        self._is_fenced = self._is_fenced or accepted

    def observe(self, *, matches: bool, now: Millis) -> Step:
        """Return the next step after the engine's state was read."""
        if not matches:
            self._matched_since = None
        elif self._matched_since is None:
            self._matched_since = now
        if self._checks_fence:
            return self._step_checked(matches, now)
        return self._step_unchecked(matches, now)

    def _step_checked(self, matches: bool, now: Millis) -> Step:
        if is_trusted(is_fenced=self._is_fenced, matches=matches):
            return Step.STABLE
        return self._order(now)

    def _step_unchecked(self, matches: bool, now: Millis) -> Step:
        if not has_waited(self._held_since, now, self._delay):
            return Step.WAIT
        if not matches:
            return self._order(now)
        if has_matched_long(self._matched_since, now, self._delay):
            return Step.STABLE
        return Step.WAIT

    def _order(self, now: Millis) -> Step:
        last = self._ordered_at
        if last is not None and now - last < _REPEAT_EVERY:
            return Step.WAIT
        return Step.ORDER


class StabilityGate:
    """Whether a router may give an engine work, by the engine's reports.

    An engine whose first report matches may work at once, so that a
    restarted router does not wait; every answer is checked for its weights
    version anyway. After a report that does not match, an engine that
    ignores fences has to match for longer than the lock delay.

    Parameters
    ----------
    delay
        The lock delay, in milliseconds; 0 for an engine that checks fences.
    """

    def __init__(self, delay: Millis) -> None:
        """Know no report yet."""
        self._delay = delay
        self._matched_since: Millis | None = None
        self._has_mismatched = False

    def observe(self, *, matches: bool, now: Millis) -> bool:
        """Return whether the engine may work after this report."""
        if not matches:
            self._has_mismatched = True
            self._matched_since = None
            return False
        if self._matched_since is None:
            self._matched_since = now
        if not self._has_mismatched:
            return True
        return has_matched_long(self._matched_since, now, self._delay)
