"""Exchanges state with a few other routers at a time."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.readpolicy import shares_reads
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange import parts as message_parts
from yuccagauge.exchange.builder import MessageBuilder
from yuccagauge.exchange.limitsharing import LimitSharing
from yuccagauge.exchange.members import LiveNames, Member
from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.exchange.notifications import Notifications
from yuccagauge.exchange.partners import (
    NOTIFICATION_DELAY,
    choose_endpoints,
    exchanges_in_period,
    weights_notification_delay,
)
from yuccagauge.exchange.slots import SlotBroker
from yuccagauge.exchange.spread import ChangeSpread, successor
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.quarantine.parts import PartQuarantine
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.errors import PeerFailedError, PeerUnavailableError
from yuccagauge.wire.fleetmessages import FleetExchange, FleetWeights
from yuccagauge.wire.server import PeerServer

#: Time between two exchange periods.
EXCHANGE_PERIOD = Millis(250)

#: Time within which a peer has to answer.
REPLY_TIMEOUT = Millis(800)

#: Time without any message after which a router counts as isolated. Even in a
#: large fleet, each router receives several messages within it.
ISOLATION_TIME = Millis(1500)

#: How long a router that starts waits for the state of a peer.
PEER_STATE_TIMEOUT = Millis(1000)

#: Time after which a server that stays unresponsive is announced again.
UNRESPONSIVE_REPEAT_PERIOD = Millis(1000)


class ExchangeService:
    """Sends this router's state to others and merges theirs.

    Parameters
    ----------
    name, endpoint, data_centre
        Identity, peer address and data centre of this router.
    seeds
        Routers to ask while no other is known, and occasionally later.
    server, client
        Accept and open connections with other routers.
    directory, selector, quarantine, part_quarantine
        Hold the state that is sent and merged.
    reactor, clock
        Schedule the messages and tell the time.
    random_fraction
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        name: str,
        endpoint: Endpoint,
        data_centre: str,
        *,
        seeds: tuple[Endpoint, ...],
        server: PeerServer,
        client: PeerClient,
        directory: Directory,
        selector: Selector,
        quarantine: Quarantine,
        part_quarantine: PartQuarantine,
        reactor: Any,
        clock: Clock,
        random_fraction: Callable[[], float],
    ) -> None:
        """Does not open or accept connections yet."""
        self._name = name
        self._endpoint = endpoint
        self._data_centre = data_centre
        self._seeds = tuple(seed for seed in seeds if seed != endpoint)
        self._server = server
        self._client = client
        self._directory = directory
        self._selector = selector
        self._clock = clock
        self._random_fraction = random_fraction
        self._merger = MessageMerger(
            name, directory, selector, quarantine, part_quarantine, clock
        )
        self._limit_sharing = LimitSharing(
            name,
            merger=self._merger,
            selector=selector,
            server=server,
            client=client,
            reactor=reactor,
            clock=clock,
            expected_peers=len(self._seeds),
            random_fraction=random_fraction,
        )
        self._builder = MessageBuilder(
            name,
            endpoint,
            data_centre,
            directory=directory,
            selector=selector,
            quarantine=quarantine,
            part_quarantine=part_quarantine,
            merger=self._merger,
            clock=clock,
            random_fraction=random_fraction,
            confirmation_age=self.confirmation_age,
        )
        self._spread = ChangeSpread()
        self._started_at = clock.now()
        self._reactor = reactor
        self._period = 0
        #: When each unresponsive server was last announced.
        self._unresponsive_announced_at: dict[str, Millis] = {}
        self._notifications = Notifications()
        #: The delayed call that sends the pending notifications, if any.
        self._delayed_send: Any = None
        self._exchange_task = PeriodicTask('exchange', self._exchange, reactor)
        #: Returns when the store last confirmed a topic to this router.
        self.own_confirmed_at: Callable[[Topic], Millis] = lambda topic: Millis(
            0
        )

    @property
    def peers(self) -> tuple[Member, ...]:
        """The other live routers."""
        return self._merger.peers

    @property
    def peer_names(self) -> LiveNames:
        """The names of the other live routers."""
        return self._merger.peer_names

    @property
    def data_centres(self) -> dict[str, str]:
        """The data centre of each live router, including this one."""
        return {**self.peer_names.data_centres, self._name: self._data_centre}

    @property
    def merger(self) -> MessageMerger:
        """Applies the messages of other routers."""
        return self._merger

    @property
    def router_count(self) -> int:
        """Number of live routers, including this one."""
        return len(self.peer_names.ordered) + 1

    @property
    def slot_broker(self) -> SlotBroker:
        """Borrows and lends the slots of brittle servers."""
        return self._limit_sharing.slots

    @property
    def is_isolated(self) -> bool:
        """Whether other routers should be reachable, but none is heard."""
        silence = self._clock.now() - self._merger.received_at
        return bool(self._seeds) and silence > ISOLATION_TIME

    @property
    def is_ready(self) -> bool:
        """Whether the state of a peer is known, or none is to be had in time.

        A router that starts needs the rate limits before its first call.
        """
        return (
            not self._seeds
            or self._merger.has_peer_state
            or self._clock.now() - self._started_at >= PEER_STATE_TIMEOUT
        )

    def confirmation_age(self, topic: Topic, now: Millis) -> Millis:
        """Return the time since the store confirmed this router's state.

        The store may have confirmed the topic to this router, or to a peer
        whose message this router received.
        """
        return Millis(max(0, now - self.confirmed_at(topic)))

    def confirmed_at(self, topic: Topic) -> Millis:
        """Return when the store last confirmed this router's state."""
        return max(
            self._merger.peer_confirmed_at(topic), self.own_confirmed_at(topic)
        )

    def start(self) -> None:
        """Start to answer peers and to exchange with them."""
        self._server.add_handler(FleetExchange, self._handle_message)
        self._started_at = self._clock.now()
        self._limit_sharing.start()
        self._directory.listeners.append(self._spread_change)
        self._server.start()
        self._exchange_task.start(in_seconds(EXCHANGE_PERIOD))

    def close(self) -> Deferred[Any]:
        """Stop, and close the connections."""
        self._exchange_task.close()
        self._limit_sharing.close()
        if self._delayed_send is not None:
            self._delayed_send.cancel()
            self._delayed_send = None
        self._client.close()
        return maybeDeferred(self._server.close)

    def announce_leave(self) -> None:
        """Notify all peers that this router stops."""
        self._builder.is_leaving = True
        self._broadcast(self._builder.build(leaves=True))

    def broadcast_standing(self, *, released_lease: bool = False) -> None:
        """Notify all peers that this router cannot lead."""
        self._broadcast(self._builder.build(released_lease=released_lease))

    def broadcast_pause(
        self,
        server_ids: tuple[str, ...],
        duration: Millis,
    ) -> None:
        """Make all routers send no calls to servers for a duration.

        The answers report the calls that the routers still have in flight.
        """
        if any(
            loaded.server in server_ids
            for loaded in self._notifications.weights
        ):
            # A receiver applies the pauses of a message before its weights,
            # which end a pause. Weights from before this pause therefore need
            # a message of their own.
            self._send_notifications()
        for server_id in server_ids:
            self._merger.apply_pause(server_id, duration)
            self._notifications.pauses[server_id] = duration
        self._schedule_send()

    def broadcast_weights(
        self, server_id: str, model: str, version: int
    ) -> None:
        """Notify all routers that a server has loaded weights."""
        loaded = FleetWeights(server=server_id, model=model, version=version)
        self._builder.recent_weights.add(loaded, self._clock.now())
        self._merger.apply_weights(loaded)
        self._notifications.weights.append(loaded)
        self._schedule_send(weights_notification_delay(self.router_count))

    def broadcast_unresponsive(self, server_id: str) -> None:
        """Notify all routers that a server leaves connections unanswered."""
        now = self._clock.now()
        announced_at = self._unresponsive_announced_at.get(server_id)
        if (
            announced_at is not None
            and now - announced_at < UNRESPONSIVE_REPEAT_PERIOD
        ):
            return
        self._unresponsive_announced_at = {
            name: at
            for name, at in self._unresponsive_announced_at.items()
            if now - at < UNRESPONSIVE_REPEAT_PERIOD
        }
        self._unresponsive_announced_at[server_id] = now
        self._notifications.unresponsive.add(server_id)
        log_state_change('server_silent', server=server_id)
        self._schedule_send()

    def broadcast_limit(self, server_id: str) -> None:
        """Notify all routers that the limit of a server has changed."""
        self._notifications.limited.add(server_id)
        self._schedule_send()

    def _schedule_send(self, delay: Millis = NOTIFICATION_DELAY) -> None:
        """Send all pending notifications in one message after a delay."""
        delay_s = in_seconds(delay)
        if self._delayed_send is None:
            self._delayed_send = self._reactor.callLater(
                delay_s, self._send_notifications
            )
            return
        remaining_s = self._delayed_send.getTime() - self._reactor.seconds()
        if delay_s < remaining_s:
            self._delayed_send.reset(delay_s)

    def _send_notifications(self) -> None:
        if self._delayed_send is not None and self._delayed_send.active():
            self._delayed_send.cancel()
        self._delayed_send = None
        notifications = self._notifications
        self._notifications = Notifications()
        parts = notifications.message_parts(
            self._selector.limits,
            self._selector.brittle.stated,
            self._clock.now(),
        )
        self._broadcast(self._builder.build(**parts))

    def _exchange(self) -> None:
        self._period += 1
        self._limit_sharing.update()
        if exchanges_in_period(self._period, self.router_count):
            self._ask_partners()

    def _ask_partners(self) -> None:
        # Sorted, because the order of a set differs between processes.
        chosen = choose_endpoints(
            self.peers, self._seeds, self._data_centre, self._random_fraction
        )
        for endpoint in sorted(chosen, key=str):
            self._ask(endpoint)

    def _ask(self, endpoint: Endpoint) -> None:
        self._send_message(
            endpoint, self._builder.build(asks=True, full_state=True)
        )

    def _spread_change(self) -> None:
        """Pass a change of the operator's records on at once."""
        position = self._directory.position(Topic.OPERATIONS)
        is_shared = shares_reads(self.data_centres)
        if not self._spread.passes_on(position, is_shared=is_shared):
            return
        self._ask_partners()
        next_name = successor(self._name, self.peer_names.names)
        for peer in self.peers:
            if peer.name == next_name:
                self._ask(peer.endpoint)

    def _broadcast(self, message: FleetExchange) -> None:
        for member in self.peers:
            self._send_message(member.endpoint, message)

    def _send_message(self, endpoint: Endpoint, message: FleetExchange) -> None:
        asked_at = self._clock.now()
        self._client.request(endpoint, message, REPLY_TIMEOUT).addCallbacks(
            self._merger.merge_reply,
            self._handle_no_reply,
            callbackArgs=(asked_at,),
            errbackArgs=(endpoint,),
        )

    def _handle_no_reply(self, failure: Failure, peer: Endpoint) -> None:
        """Drop the connection; the peer stays known for some time."""
        failure.trap(PeerUnavailableError, PeerFailedError)
        self._client.drop(peer)

    def _handle_message(self, received: Received) -> FleetExchange:
        message = received.message
        self._merger.merge_message(message)
        self._fetch_change(message)
        if message.pauses:
            return self._builder.build(
                **self._builder.load_parts(self._clock.now())
            )
        if not message.asks:
            return self._builder.build()
        now = self._clock.now()
        return self._builder.build(
            full_state=True,
            answers=True,
            peer_marks=message.marks,
            records=message_parts.records(self._directory, message.marks),
            targets=message_parts.targets(
                self._directory.target_evidence(now), now
            ),
        )

    def _fetch_change(self, message: FleetExchange) -> None:
        """Ask a peer that has records of the operator that are not known."""
        position = self._directory.position(Topic.OPERATIONS)
        if self._spread.fetches(
            position,
            message_parts.position(message.marks, Topic.OPERATIONS),
            self._clock.now(),
        ):
            self._ask(message.endpoint)
