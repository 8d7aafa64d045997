"""The exchange between routers as one object of the daemon."""

from typing import Any

from twisted.internet.defer import DeferredList, maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.clock import Clock, Millis
from yuccagauge.membership.base import LIVE_STATES, MemberChange
from yuccagauge.membership.service import MembershipService
from yuccagauge.membership.vmlist import Vm, VmListFollower
from yuccagauge.peering.demand import DemandExchange
from yuccagauge.peering.documents import DocumentExchange
from yuccagauge.peering.engines import EngineExchange
from yuccagauge.peering.forward import ClaimForwarder, answer_claim
from yuccagauge.peering.hooks import PeeringHooks
from yuccagauge.peering.load import rounds_between_shares
from yuccagauge.peering.notices import LeavingNotices, SuspicionExchange
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.process import RouterSettings
from yuccagauge.telemetry.guard import guarded
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.datagram import DatagramEndpoint
from yuccagauge.wire.messages import (
    ClaimForward,
    DemandShare,
    DocumentRequest,
    EngineReply,
    EngineRequest,
    HotPrefixPart,
    HotPrefixReply,
    HotPrefixRequest,
    LoadShare,
)
from yuccagauge.wire.server import PeerServer
from yuccagauge.wire.tls import RELOAD_SECONDS, peer_tls

#: Time between two rounds of polls, shares and notices, in seconds.
ROUND_SECONDS = 1

#: Time between two shares of demand, in seconds.
DEMAND_SECONDS = 10

#: Hot prefixes that a starting router asks for.
HOT_PREFIXES = 2000

#: Time between two checks for newer documents, in seconds. Versions that
#: are spread are asked for at once; this finds those that were missed.
CHECK_SECONDS = 3

_TIMEOUT = Millis(3000)


class Peering:
    """Membership and all exchanges of one router.

    Parameters
    ----------
    settings
        The router's settings.
    reactor, clock
        Loop and time.
    """

    def __init__(
        self,
        settings: RouterSettings,
        reactor: Any,
        clock: Clock,
    ) -> None:
        """Make the endpoints without opening them."""
        name = settings.router.name
        listen = settings.router.peer_listen
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._tls = peer_tls(settings.tls)
        self._server = PeerServer(reactor, listen, name, self._tls)
        self._client = PeerClient(reactor, name, self._tls)
        self._datagrams = DatagramEndpoint(reactor, listen, name)
        self._vm_list = VmListFollower(settings.platform.vm_list, reactor)
        self._membership = MembershipService(
            settings,
            self._datagrams,
            self._server,
            self._client,
            reactor,
            clock,
        )
        self._forwarder = ClaimForwarder(self._membership, self._client)
        self._loops: list[LoopingCall] = []
        self._is_warm = False
        self._has_to_assign = True
        self._rounds = 0
        self._leaving_servers: frozenset[Endpoint] = frozenset()

    @property
    def membership(self) -> MembershipService:
        """The membership among routers."""
        return self._membership

    @property
    def forwarder(self) -> ClaimForwarder:
        """The transport for ``claims.client``."""
        return self._forwarder

    @property
    def vm_list(self) -> VmListFollower:
        """The platform's VM list."""
        return self._vm_list

    @property
    def client(self) -> PeerClient:
        """Asks other routers."""
        return self._client

    @property
    def server(self) -> PeerServer:
        """Answers other routers."""
        return self._server

    def start(self, hooks: PeeringHooks) -> None:
        """Open the endpoints, join the fleet and begin all exchanges."""
        self._hooks = hooks
        self._documents = DocumentExchange(
            hooks.store,
            self._membership,
            self._client,
        )
        self._engines = EngineExchange(
            self._membership,
            self._datagrams,
            hooks,
            self._reactor,
            self._clock,
        )
        self._demand = DemandExchange(self._settings.router.data_centre)
        self._leaving = LeavingNotices(
            self._membership,
            self._update_leaving,
        )
        self._suspicions = SuspicionExchange(
            self._membership,
            hooks.quarantine,
            self._clock.now,
        )
        self._add_handlers()
        self._membership.add_listener(self._member_changed)
        self._vm_list.add_listener(self._take_vms)
        self._server.start()
        self._datagrams.start(self._server.endpoint)
        self._membership.start()
        self._vm_list.start()
        self._repeat(self._round, ROUND_SECONDS)
        self._repeat(self._share_demand, DEMAND_SECONDS)
        self._repeat(self._documents.check, CHECK_SECONDS)
        if self._tls is not None:
            self._repeat(self._reload, RELOAD_SECONDS)

    def configure(self) -> None:
        """Take new engines, customers and versions after an adoption."""
        self._has_to_assign = True
        self._demand.set_customers(self._hooks.customers())
        self._documents.spread()

    def notify_leaving(self, server: Endpoint) -> None:
        """Tell the others that this router found a server leaving."""
        self._leaving.spread(server, self._clock.wall_time())
        self._update_leaving()

    def leave(self) -> None:
        """Tell the others that this router takes no new work soon."""
        self._membership.leave()

    def close(self) -> Any:
        """Close everything; return a Deferred."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._membership.close()
        self._client.close()
        closing = (
            self._vm_list,
            self._engines,
            self._datagrams,
            self._server,
        )
        return DeferredList([maybeDeferred(one.close) for one in closing])

    def _add_handlers(self) -> None:
        self._datagrams.add_handler(LoadShare, self._engines.receive)
        self._datagrams.add_handler(DemandShare, self._receive_demand)
        self._server.add_handler(DocumentRequest, self._documents.answer)
        self._server.add_handler(HotPrefixRequest, self._answer_hot)
        self._server.add_handler(EngineRequest, self._engines.answer)
        self._server.add_handler(
            ClaimForward,
            lambda received: answer_claim(received, self._hooks.answer_claim),
        )

    def _repeat(self, function: Any, seconds: float) -> None:
        # An exception would end the loop for good.
        loop = LoopingCall(guarded(function, function.__name__))
        loop.clock = self._reactor
        loop.start(seconds, now=False)
        self._loops.append(loop)

    def _round(self) -> None:
        if self._has_to_assign:
            self._has_to_assign = False
            self._engines.assign()
        own = self._membership.own
        near = self._membership.live(own.data_centre)
        self._rounds += 1
        if self._rounds % rounds_between_shares(len(near)) == 0:
            self._engines.poll()
            self._engines.share()
        self._documents.spread()
        self._suspicions.spread()
        self._update_leaving()

    def _share_demand(self) -> None:
        now = self._clock.now()
        membership = self._membership
        own = membership.own
        self._demand.set_own(self._hooks.demand())
        near = [
            member
            for member in membership.live(own.data_centre)
            if member.name != own.name
        ]
        near_peers = tuple(member.peer for member in near)
        self._datagrams.send_all(near_peers, self._demand.own_share())
        summarisers = self._summarisers()
        if summarisers.get(own.data_centre) == own.name:
            others = self._demand.others_share(now)
            self._datagrams.send_all(near_peers, others)
            far = tuple(
                member.peer
                for member in membership.live()
                if member.data_centre != own.data_centre
                and summarisers[member.data_centre] == member.name
            )
            self._datagrams.send_all(far, self._demand.centre_share(now))
        live = len(membership.live())
        self._hooks.set_fleet_demand(live, self._demand.total(now))

    def _summarisers(self) -> dict[str, str]:
        names: dict[str, list[str]] = {}
        for member in self._membership.live():
            names.setdefault(member.data_centre, []).append(member.name)
        return {
            data_centre: rendezvous_rank(found, data_centre)[0]
            for data_centre, found in names.items()
        }

    def _receive_demand(self, received: Received) -> None:
        self._demand.receive(
            received.message,
            received.sender,
            self._clock.now(),
        )

    def _answer_hot(self, received: Received) -> HotPrefixReply:
        limit = min(received.message.limit, HOT_PREFIXES)
        return HotPrefixReply(
            prefixes=tuple(
                HotPrefixPart(
                    engine=hot.engine,
                    incarnation=hot.incarnation,
                    digest=hot.digest,
                    tokens=hot.tokens,
                    rate_milli=round(hot.rate * 1000),
                )
                for hot in self._hooks.hot(limit)
            ),
        )

    def _member_changed(self, change: MemberChange) -> None:
        member = change.member
        own = self._membership.own
        is_near = member.data_centre == own.data_centre
        was_live = change.previous in LIVE_STATES
        is_live = member.is_live and not change.removed
        # A suspicion that comes and goes does not move any engine.
        if is_near and was_live != is_live:
            self._has_to_assign = True
        if is_near and member.is_live and not self._is_warm:
            self._is_warm = True
            self._warm_up(member.peer)

    def _warm_up(self, peer: Endpoint) -> None:
        # The first router of the data centre that is found tells what it
        # knows; events and readings bring the rest.
        request = HotPrefixRequest(limit=HOT_PREFIXES)
        hot = self._client.request(peer, request, _TIMEOUT)
        hot.addCallbacks(self._preload, self._not_warm)
        engines = self._client.request(peer, EngineRequest(), _TIMEOUT)
        engines.addCallbacks(self._take_engines, self._not_warm)

    def _preload(self, reply: HotPrefixReply) -> None:
        self._hooks.preload(
            tuple(
                HotPrefix(
                    digest=part.digest,
                    tokens=part.tokens,
                    engine=part.engine,
                    incarnation=part.incarnation,
                    rate=part.rate_milli / 1000,
                )
                for part in reply.prefixes
            ),
        )

    def _take_engines(self, reply: EngineReply) -> None:
        self._engines.assign()
        self._engines.take(reply)

    def _not_warm(self, failure: Failure) -> None:
        self._is_warm = False

    def _take_vms(self, vms: tuple[Vm, ...]) -> None:
        self._membership.add_seeds(self._vm_list.router_seeds)
        self._update_leaving()

    def _update_leaving(self) -> None:
        named = {vm.address for vm in self._vm_list.vms if vm.is_leaving}
        leaving = frozenset(named.union(self._leaving.servers))
        if leaving != self._leaving_servers:
            self._leaving_servers = leaving
            self._hooks.leaving(leaving)

    def _reload(self) -> None:
        if self._tls is not None and self._tls.reload():
            self._client.drop_connections()
