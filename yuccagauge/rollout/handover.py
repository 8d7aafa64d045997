"""Whether this router may lead, by the engines that it reaches. No I/O."""

from collections.abc import Collection, Container, Iterable, Mapping
from dataclasses import dataclass

from yuccagauge.clock import Millis

#: An engine is missed if its status was not had directly for this long, though
#: the engine answered through a peer meanwhile.
MISSED_AFTER = Millis(800)

#: Time between two tries of one engine.
TRIAL_PERIOD = Millis(400)

#: Time for which an answer through a peer counts, and without one of which an
#: engine is not tried any longer.
PEER_ANSWER_LIFETIME = Millis(3000)

#: Engines that are tried at the same time.
MAXIMUM_TRIALS = 8

#: A router that handed over does not take part in the election for this long.
ABSTENTION = Millis(4000)

#: Shortest time between two hand-overs while each router misses engines.
ROTATION_PERIOD = Millis(6000)

#: Time for which a router that could take the lease from one that misses
#: engines stands back until an engine answers it. By its end it knows whether
#: it misses some, and if no router reaches any, one has to lead all the same.
REACH_CHECK_TIME = Millis(MISSED_AFTER + 2 * TRIAL_PERIOD)

#: Time without an answer after which it lets others stand meanwhile. Engines
#: that are reached answer within some ms.
REACH_ANSWER_TIME = Millis(300)

#: Time for which an answer shows that a router reaches engines.
REACH_LIFETIME = Millis(1000)

#: Time from the begin of a check without an answer to the next one, so that a
#: router stands for election though no router reaches an engine.
REACH_CHECK_PERIOD = Millis(6000)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reach:
    """Which engines this router misses, and who else could lead."""

    #: Since when each engine was not reached that a peer reaches.
    missed_since: Mapping[str, Millis]
    #: The missed engines that have old weights.
    due: Collection[str] = ()
    #: Live peers, and those of them that do not miss engines.
    peers: int
    fit_peers: int


@dataclass(slots=True)
class _Trial:
    """What is known of one engine that may not be reached."""

    begun_at: Millis
    tried_at: Millis | None = None
    is_pending: bool = False
    failed_since: Millis | None = None
    failed_at: Millis = Millis(0)
    peer_answered_at: Millis | None = None

    def is_missed(self, now: Millis) -> bool:
        """Return whether a peer reaches the engine, and this router not."""
        if self.failed_since is None or self.peer_answered_at is None:
            return False
        is_lasting = self.failed_at - self.failed_since >= MISSED_AFTER
        return is_lasting and now - self.peer_answered_at < PEER_ANSWER_LIFETIME


class EngineTrials:
    """Finds out which engines only peers reach.

    Load pattern: a partition separates this router from hundreds of engines,
    whose connections hang, are refused, or open and are reset. A few engines
    show it. One that is down for all is not tried for long.
    """

    def __init__(self) -> None:
        """Try no engine."""
        self._trials: dict[str, _Trial] = {}

    def begin(self, engines: Iterable[str], now: Millis) -> None:
        """Try engines, the first ones first, as far as there is room."""
        for name in engines:
            if len(self._trials) < MAXIMUM_TRIALS:
                self._trials.setdefault(name, _Trial(now))

    def tries(self, name: str) -> bool:
        """Return whether an engine is tried that has not answered directly."""
        return name in self._trials

    def take_due(self, now: Millis) -> tuple[str, ...]:
        """Return the engines to try now."""
        due = tuple(
            name
            for name, trial in self._trials.items()
            if not trial.is_pending
            and (trial.tried_at is None or now - trial.tried_at >= TRIAL_PERIOD)
        )
        for name in due:
            self._trials[name].tried_at = now
            self._trials[name].is_pending = True
        return due

    def record_answer(self, name: str) -> None:
        """Record that an engine has answered directly."""
        self._trials.pop(name, None)

    def record_failure(self, name: str, since: Millis, now: Millis) -> None:
        """Record that an engine that was asked has not answered directly."""
        trial = self._trials.get(name)
        if trial is not None:
            trial.is_pending = False
            trial.failed_at = now
            if trial.failed_since is None:
                trial.failed_since = since

    def record_peer_answer(self, name: str, now: Millis) -> None:
        """Record that an engine has answered through a peer."""
        if name in self._trials:
            self._trials[name].peer_answered_at = now

    def remove_old(self, listed: Container[str], now: Millis) -> None:
        """Forget engines that are gone, or that no peer reaches."""
        self._trials = {
            name: trial
            for name, trial in self._trials.items()
            if name in listed
            and now - (trial.peer_answered_at or trial.begun_at)
            < PEER_ANSWER_LIFETIME
        }

    def missed_since(self, now: Millis) -> dict[str, Millis]:
        """Return the engines that only peers reach, and since when."""
        return {
            name: trial.failed_since
            for name, trial in self._trials.items()
            if trial.is_missed(now)
        }


class Handover:
    """Decides whether the leader hands over, and who stands for election.

    Load pattern: a router is partitioned from some or all engines for ten
    seconds or more, while the store and its peers reach it, and others reach
    all engines. Orders come from the holder's own VM only, so the lease has
    to go to another router. Engines that no peer reaches say nothing about
    this router. If each router misses some, they take turns at a bounded rate.
    The routers that the same partition cuts off do not know that while they
    have few calls: each would take the released lease and hand it over again.
    """

    def __init__(self) -> None:
        """Start as a router that misses no engine."""
        self._abstains_until: Millis | None = None
        self._led_since: Millis | None = None
        #: When a check began whether this router reaches an engine, and when
        #: the last one ended with an answer.
        self._checks_reach_since: Millis | None = None
        self._reached_at: Millis | None = None

    def observe_lead(self, now: Millis, *, is_leader: bool) -> None:
        """Record whether this router leads."""
        if not is_leader:
            self._led_since = None
        elif self._led_since is None:
            self._led_since = now

    def cannot_lead(self, reach: Reach, now: Millis) -> bool:
        """Return whether peers should not count on this router to lead."""
        if self.checks_reach(now):
            return now - self._checks_reach_since >= REACH_ANSWER_TIME
        return bool(reach.missed_since) or self._abstains(now)

    def stands(self, reach: Reach, now: Millis) -> bool:
        """Return whether this router takes part in the election."""
        if self._abstains(now) or self.checks_reach(now):
            return False
        return not reach.missed_since or not reach.fit_peers

    def hands_over(self, reach: Reach, now: Millis) -> bool:
        """Return whether this router, which leads, releases the lease."""
        if not reach.missed_since or not reach.peers:
            return False
        if reach.fit_peers:
            return True
        led_since = now if self._led_since is None else self._led_since
        return bool(reach.due) and now - led_since >= ROTATION_PERIOD

    def record_handover(self, now: Millis) -> None:
        """Abstain for a while, so that the lease does not come back at once."""
        self._abstains_until = Millis(now + ABSTENTION)

    def begin_reach_check(self, now: Millis) -> bool:
        """Stand back until an engine answers, but not for long.

        Returns
        -------
        bool
            Whether engines have to be asked: none has answered lately, and
            they were not asked lately without an answer.
        """
        reached_at = self._reached_at
        has_reached = (
            reached_at is not None and now - reached_at < REACH_LIFETIME
        )
        since = self._checks_reach_since
        has_asked = since is not None and now - since < REACH_CHECK_PERIOD
        if has_reached or has_asked:
            return False
        self._checks_reach_since = now
        return True

    def end_reach_check(self, now: Millis) -> None:
        """Record that an engine has answered this router directly."""
        self._checks_reach_since = None
        self._reached_at = now

    def checks_reach(self, now: Millis) -> bool:
        """Return whether this router does not know yet if it reaches one."""
        since = self._checks_reach_since
        return since is not None and now - since < REACH_CHECK_TIME

    def _abstains(self, now: Millis) -> bool:
        return self._abstains_until is not None and now < self._abstains_until
