"""Asks the homes of brittle servers for slots, and lends them as a home."""

from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.exchange.homes import ServerHomes
from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.ratelimit.limits import MAXIMUM_MESSAGE_DELAY
from yuccagauge.ratelimit.slotledger import (
    FULL_WAIT,
    LEARNING_TIME,
    SlotLedger,
)
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.errors import PeerFailedError, PeerUnavailableError
from yuccagauge.wire.fleetmessages import PermitReply, PermitRequest

#: Time for which a router that did not answer is home of no server.
LOST_HOME_TIME = Millis(3000)

#: Wait of a router whose home is not known, or does not answer.
RETRY_PAUSE = Millis(100)

#: Time after which a slot that no call uses is returned.
SPARE_TIME = Millis(10)


class SlotBroker:
    """Borrows slots of brittle servers from their homes, and lends them.

    The home of a server lends the part of the slots that corresponds to the routers that it knows
    to live, of those that it knew lately: routers that it cannot reach may
    have a home of their own.

    Parameters
    ----------
    name
        Name of this router.
    merger
        Knows the other routers.
    selector
        Knows the servers, and the slots that are lent to this router.
    client
        Opens connections with other routers.
    reactor, clock
        Schedule the return of slots and tell the time.
    expected_peers
        Number of other routers that exist at least.
    """

    def __init__(
        self,
        name: str,
        *,
        merger: MessageMerger,
        selector: Selector,
        client: PeerClient,
        reactor: Any,
        clock: Clock,
        expected_peers: int,
    ) -> None:
        """Create a broker that lends nothing yet."""
        self._name = name
        self._merger = merger
        self._homes = ServerHomes(name, merger, 'slots')
        self._selector = selector
        self._slots = selector.brittle.slots
        self._client = client
        self._reactor = reactor
        self._clock = clock
        self._expected_peers = expected_peers
        self._started_at = clock.now()
        #: The ledgers of the servers whose home this router is.
        self._ledgers: dict[str, SlotLedger] = {}
        #: Until when routers that did not answer are no homes, by name.
        self._lost_until: dict[str, Millis] = {}
        #: Called with a server that a waiting call can be sent to.
        self.on_free_slot: Callable[[str], None] = lambda server_id: None
        #: The delayed calls that return spare slots, by server.
        self._returns: dict[str, Any] = {}
        #: Servers that calls look at again after a wait.
        self._wakes: set[str] = set()

    def start(self) -> None:
        """Begin to ask."""
        self._slots.on_request = self.request
        self._slots.on_free = self._handle_free_slot

    def close(self) -> None:
        """Return no slot any more."""
        for delayed in self._returns.values():
            delayed.cancel()
        self._returns.clear()

    def update(self) -> None:
        """Tell homes what is occupied, and drop what is of no use any longer.

        A home that has just begun learns what others occupy.
        """
        now = self._clock.now()
        self._slots.drop_sound()
        for server_id in self._slots.servers:
            self._slots.confirm(server_id, now)
        self._homes.keep(self._selector.brittle.is_brittle)
        kept = filter(self._is_home, self._ledgers)
        self._ledgers = {name: self._ledgers[name] for name in kept}

    def request(self, server_id: str, occupied: int, wanted: int) -> None:
        """Ask the home of a server for slots."""
        home = self._home_of(server_id)
        if home is None:
            count = self._lend(server_id, self._name, occupied, wanted)
            wait = Millis(0) if count or not wanted else FULL_WAIT
            self._record_grant(server_id, count, wait)
            return
        reply = self._client.request(
            home,
            PermitRequest(
                server=server_id,
                count=wanted,
                within_ms=0,
                rate_milli=0,
                age_ms=0,
                is_for_slots=True,
                occupied=occupied,
            ),
            MAXIMUM_MESSAGE_DELAY,
        )
        reply.addCallbacks(
            self._handle_reply,
            self._handle_no_reply,
            callbackArgs=(server_id,),
            errbackArgs=(server_id, home),
        )

    def handle_request(self, received: Received) -> PermitReply:
        """Lend slots to another router, if this one is the home."""
        message = received.message
        if not self._is_home(message.server):
            # The sender has lost the home. If it has ended, this router has to
            # notice that as well, so that it becomes the next one.
            self._slots.ask_home(message.server, self._clock.now())
            return PermitReply(count=0, wait_ms=RETRY_PAUSE)
        count = self._lend(
            message.server, received.sender, message.occupied, message.count
        )
        is_full = message.count and not count
        return PermitReply(count=count, wait_ms=FULL_WAIT if is_full else 0)

    def _lend(
        self, server_id: str, router: str, occupied: int, wanted: int
    ) -> int:
        now = self._clock.now()
        server = self._selector.view.servers.get(server_id)
        if server is None:
            return 0
        ledger = self._ledgers.get(server_id)
        if ledger is None:
            ledger = SlotLedger(self._learned_at(server_id, now))
            self._ledgers[server_id] = ledger
        share = self._merger.members.live_share(self._expected_peers, now)
        capacity = round(max(1, server.slots) * share)
        return ledger.lend(router, occupied, wanted, capacity, now)

    def _learned_at(self, server_id: str, now: Millis) -> Millis:
        """Return when a new home knows which slots are occupied.

        Nobody has lent slots of a server that was sound until now.
        """
        brittle_since = self._selector.brittle.since(server_id)
        is_old_router = brittle_since - self._started_at > LEARNING_TIME
        if is_old_router and now - brittle_since < LEARNING_TIME:
            return now
        return Millis(now + LEARNING_TIME)

    def _is_home(self, server_id: str) -> bool:
        return self._home_of(server_id) is None

    def _home_of(self, server_id: str) -> Endpoint | None:
        """Return the home of a server; ``None`` if it is this router."""
        now = self._clock.now()
        lost = (name for name, until in self._lost_until.items() if now < until)
        return self._homes.home_of(server_id, frozenset(lost))

    def _handle_reply(self, reply: Any, server_id: str) -> None:
        self._record_grant(server_id, reply.count, Millis(reply.wait_ms))

    def _record_grant(self, server_id: str, count: int, wait: Millis) -> None:
        now = self._clock.now()
        self._slots.record_grant(server_id, count, wait, now)
        if wait:
            self._wake(server_id, wait)

    def _handle_no_reply(
        self, failure: Failure, server_id: str, home: Endpoint
    ) -> None:
        """Ask the next router in the ranking from now on."""
        failure.trap(PeerUnavailableError, PeerFailedError)
        now = self._clock.now()
        for peer in self._merger.peers:
            if peer.endpoint == home:
                self._lost_until[peer.name] = Millis(now + LOST_HOME_TIME)
        self._slots.record_failure(server_id, RETRY_PAUSE, now)
        self._wake(server_id, RETRY_PAUSE)
        log_state_change(
            'slot_home_lost',
            home=home,
            server=server_id,
            reason=failure.getErrorMessage(),
        )

    def _handle_free_slot(self, server_id: str) -> None:
        """Let a call that waits use a slot, or return it after some time.

        The call that has just ended is still being handled.
        """
        self._wake(server_id, Millis(0))
        if server_id not in self._returns:
            self._returns[server_id] = self._reactor.callLater(
                in_seconds(SPARE_TIME), self._return_spare, server_id
            )

    def _wake(self, server_id: str, delay: Millis) -> None:
        """Let calls that wait look at a server again after some time."""
        if server_id not in self._wakes or not delay:
            self._wakes.add(server_id)
            self._reactor.callLater(
                in_seconds(delay), self._select_for_calls, server_id
            )

    def _select_for_calls(self, server_id: str) -> None:
        self._wakes.discard(server_id)
        self.on_free_slot(server_id)

    def _return_spare(self, server_id: str) -> None:
        self._returns.pop(server_id)
        self._slots.return_spare(server_id, self._clock.now())
