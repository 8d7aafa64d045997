"""Gives the leader lease to a router that reaches the engines."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import inlineCallbacks

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.exchange.service import ExchangeService
from yuccagauge.relay.paths import RelayPaths
from yuccagauge.rendezvous import kept_rank, rendezvous_rank
from yuccagauge.rollout.base import WeightsOrderClient
from yuccagauge.rollout.election import LeaderElection
from yuccagauge.rollout.handover import (
    MAXIMUM_TRIALS,
    EngineTrials,
    Handover,
    Reach,
)
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.selection.selector import Selector
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Number of routers that take part in the leader election. If all of a fleet
#: did, they would load the store more than all else.
ELECTION_CANDIDATES = 3

#: Time between two checks of which engines are missed.
CHECK_PERIOD = Millis(250)

#: Engines that one log line names.
_LOGGED_ENGINES = 8

#: Routers that see whether they reach engines when the lease is released.
TRYING_ROUTERS = 32

#: Engines that each of them asks then.
TRIED_ON_RELEASE = 3

#: Time for a direct answer before an engine is also asked through a peer.
PEER_DELAY = Millis(100)

#: Time for which a router tries engines in the same order.
_ORDER_PERIOD = Millis(1000)

_RANK_KEY = 'lead'


class LeadDuty:
    """Decides who stands for election, and hands over for want of engines.

    Parameters
    ----------
    name
        Name of this router.
    exchange
        Knows the peers, and what they say about whether they can lead.
    paths
        Knows which servers only peers reach.
    directory, selector
        Know the engines and their weights.
    reactor, clock
        Schedule the checks and tell the time.
    order_client
        Reads the status of engines.
    """

    def __init__(
        self,
        name: str,
        exchange: ExchangeService,
        paths: RelayPaths,
        directory: Directory,
        selector: Selector,
        reactor: Any,
        clock: Clock,
        *,
        order_client: WeightsOrderClient,
    ) -> None:
        """Start as a router that reaches all engines."""
        self._name = name
        self._exchange = exchange
        self._standings = exchange.merger.standings
        self._paths = paths
        self._directory = directory
        self._selector = selector
        self._clock = clock
        self._reactor = reactor
        self._order_client = order_client
        self._handover = Handover()
        self._trials = EngineTrials()
        self._election: LeaderElection | None = None
        self._leader_lease: LeaderLease | None = None
        self._was_candidate = False
        #: Whether all peers were told that this router cannot lead.
        self._is_announced = False
        self._task = PeriodicTask('handover', self._check, reactor)

    def start(
        self, election: LeaderElection, leader_lease: LeaderLease
    ) -> None:
        """Start to check which engines are reached."""
        self._election = election
        self._leader_lease = leader_lease
        election.on_released = self._announce_release
        self._standings.on_change = self._apply_standings
        self._standings.on_lease_released = self._handle_release
        self._task.start(in_seconds(CHECK_PERIOD), now=False)

    def close(self) -> None:
        """Stop checking."""
        self._task.close()

    def is_candidate(self) -> bool:
        """Return whether this router takes part in the leader election."""
        if not self._directory.is_ready:
            return False
        now = self._clock.now()
        reach = self._reach()
        return self._handover.stands(reach, now) and (
            self._rank(among_fit=not reach.missed_since) < ELECTION_CANDIDATES
        )

    def try_engine(self, server: BackendServer, asked_at: Millis) -> None:
        """Find out who reaches an engine that has not answered.

        Parameters
        ----------
        asked_at
            When this router asked the engine.
        """
        now = self._clock.now()
        if not self._trials.tries(server.server_id):
            self._trials.begin((server.server_id,), now)
            self._trials.record_failure(server.server_id, asked_at, now)
        self._run_trials()

    def _check(self) -> None:
        now = self._clock.now()
        self._standings.keep_only(self._peer_names())
        self._trials.remove_old(self._directory.servers, now)
        lost = self._paths.lost
        if lost:
            self._try_engines(lambda server: server.endpoint in lost)
        self._run_trials()
        reach = self._reach()
        could_lead = not self._standings.cannot_lead
        self._standings.cannot_lead = self._handover.cannot_lead(reach, now)
        is_leader = self._leader_lease.is_leader
        self._handover.observe_lead(now, is_leader=is_leader)
        if is_leader and self._handover.hands_over(reach, now):
            self._hand_over(reach, now)
        elif could_lead is self._standings.cannot_lead:
            self._apply_standings()

    def _hand_over(self, reach: Reach, now: Millis) -> None:
        self._handover.record_handover(now)
        self._standings.cannot_lead = True
        # The release is announced once it is written.
        self._is_announced = True
        missed = reach.missed_since
        log_state_change(
            'lead_handed_over',
            fence=self._leader_lease.last_token,
            missed=len(missed),
            due=len(reach.due),
            servers=sorted(missed)[:_LOGGED_ENGINES],
            since_ms=now - min(missed.values()),
            peers=reach.peers,
            fit_peers=reach.fit_peers,
        )
        self._election.hand_over()

    def _handle_release(self) -> None:
        """Stand for election, and see whether this router reaches engines.

        Load pattern: half of the routers are partitioned, and have few calls.
        One after the other would take the lease and find that out.
        """
        self._check_reach_early()
        self._election.check_now()

    def _check_reach_early(self) -> None:
        """Ask some engines if this router may have to lead soon.

        The partition that cuts off one router may cut off those that come
        next. They find out at the same time, and not one after the other.
        """
        if self._rank(among_fit=True) >= TRYING_ROUTERS:
            return
        has_engines = any(
            server.weights for server in self._directory.servers.values()
        )
        if has_engines and self._handover.begin_reach_check(self._clock.now()):
            self._try_engines(lambda server: True, TRIED_ON_RELEASE)
            self._run_trials()

    def _try_engines(
        self,
        admits: Callable[[BackendServer], bool],
        count: int = MAXIMUM_TRIALS,
    ) -> None:
        """Begin to try some engines: those without a rate limit come first.

        Of these, the ones with old weights do.
        """
        limits = self._selector.limits
        servers = self._directory.servers
        # Another order for each router and second: engines that are down for
        # all do not keep the others from being tried.
        order = rendezvous_rank(
            (name for name, server in servers.items() if server.weights),
            f'{self._name}/{self._clock.now() // _ORDER_PERIOD}',
        )
        found = sorted(
            (
                limits.limit_of(name) is not None,
                not self._is_due(servers[name]),
                place,
                name,
            )
            for place, name in enumerate(order)
            if admits(servers[name])
        )
        names = [entry[-1] for entry in found]
        self._trials.begin(names[:count], self._clock.now())

    def _run_trials(self) -> None:
        # An engine may have left while its answer was awaited.
        self._trials.remove_old(self._directory.servers, self._clock.now())
        for name in self._trials.take_due(self._clock.now()):
            server = self._directory.servers[name]
            self._try_directly(server)
            self._reactor.callLater(
                in_seconds(PEER_DELAY), self._try_through_peer, server
            )

    @inlineCallbacks
    def _try_directly(self, server: BackendServer) -> Any:
        asked_at = self._clock.now()
        name = server.server_id
        try:
            yield self._order_client.read_status(server)
        except FetchError:
            # The log line of the hand-over has the engines and the time.
            self._trials.record_failure(name, asked_at, self._clock.now())
        else:
            self._trials.record_answer(name)
            self._end_reach_check()

    def _end_reach_check(self) -> None:
        """Stand for election now that an engine has answered."""
        now = self._clock.now()
        was_checked = self._handover.checks_reach(now)
        self._handover.end_reach_check(now)
        if was_checked:
            self._election.check_now()

    @inlineCallbacks
    def _try_through_peer(self, server: BackendServer) -> Any:
        if not self._trials.tries(server.server_id):
            return
        client = self._order_client.through(self._paths.peer_pool)
        try:
            yield client.read_status(server)
        except FetchError:
            # Without an answer the engine does not count as missed.
            return
        self._trials.record_peer_answer(server.server_id, self._clock.now())

    def _announce_release(self) -> None:
        self._exchange.broadcast_standing(released_lease=True)

    def _apply_standings(self) -> None:
        """Stand in for peers that cannot lead, or let others do so.

        Load pattern: half of a hundred routers are partitioned at once. Only
        those that others expect to lead tell all peers; messages that are
        sent anyway carry what the rest say.
        """
        if not self._standings.cannot_lead:
            self._is_announced = False
            if self._standings.unfit:
                self._check_reach_early()
        elif (
            not self._is_announced
            and self._rank(among_fit=True) < ELECTION_CANDIDATES
        ):
            self._is_announced = True
            self._exchange.broadcast_standing()
        was_candidate = self._was_candidate
        self._was_candidate = self.is_candidate()
        if self._was_candidate and not was_candidate:
            self._election.check_now()

    def _reach(self) -> Reach:
        missed = self._trials.missed_since(self._clock.now())
        servers = self._directory.servers
        peers = self._peer_names()
        return Reach(
            missed_since=missed,
            due=tuple(
                name
                for name in missed
                if name in servers and self._is_due(servers[name])
            ),
            peers=len(peers),
            fit_peers=len(peers - self._standings.unfit),
        )

    def _is_due(self, server: BackendServer) -> bool:
        return any(
            self._selector.weights.version_of(server, model)
            < self._directory.targets.get(model, 0)
            for model in server.weights
        )

    def _rank(self, *, among_fit: bool) -> int:
        """Return how many live routers come before this one.

        Parameters
        ----------
        among_fit
            Whether peers that cannot lead are left out.
        """
        peers = self._peer_names()
        if among_fit:
            peers -= self._standings.unfit
        names = peers | {self._name}
        return kept_rank(names, _RANK_KEY).index(self._name)

    def _peer_names(self) -> frozenset[str]:
        return self._exchange.peer_names.names
