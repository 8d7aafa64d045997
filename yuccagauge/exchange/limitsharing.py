"""Shares the limits of servers between routers, by permits and by slots."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Clock
from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.exchange.permits import PermitBroker
from yuccagauge.exchange.slots import SlotBroker
from yuccagauge.selection.selector import Selector
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.fleetmessages import PermitReply, PermitRequest
from yuccagauge.wire.server import PeerServer


class LimitSharing:
    """Runs the brokers of permits and of slots.

    Parameters
    ----------
    name
        Name of this router.
    merger
        Knows the other routers.
    selector
        Knows the limits, and what of them this router may use.
    server, client
        Accept and open connections with other routers.
    reactor, clock
        Schedule what is due later and tell the time.
    expected_peers
        Number of other routers that exist at least.
    random_fraction
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        name: str,
        *,
        merger: MessageMerger,
        selector: Selector,
        server: PeerServer,
        client: PeerClient,
        reactor: Any,
        clock: Clock,
        expected_peers: int,
        random_fraction: Callable[[], float],
    ) -> None:
        """Create brokers that answer nothing yet."""
        self._server = server
        self._permits = PermitBroker(
            name,
            merger=merger,
            limits=selector.limits,
            permits=selector.permits,
            client=client,
            clock=clock,
            expected_peers=expected_peers,
            random_fraction=random_fraction,
        )
        self._slots = SlotBroker(
            name,
            merger=merger,
            selector=selector,
            client=client,
            reactor=reactor,
            clock=clock,
            expected_peers=expected_peers,
        )

    @property
    def slots(self) -> SlotBroker:
        """Borrows and lends the slots of brittle servers."""
        return self._slots

    def start(self) -> None:
        """Begin to ask and to answer."""
        self._permits.start()
        self._slots.start()
        self._server.add_handler(PermitRequest, self._handle_request)

    def close(self) -> None:
        """Ask for nothing any more."""
        self._slots.close()

    def update(self) -> None:
        """Tell homes what is in use, and drop what is of no use any longer."""
        self._permits.drop_obsolete()
        self._slots.update()

    def _handle_request(self, received: Received) -> PermitReply:
        if received.message.is_for_slots:
            return self._slots.handle_request(received)
        return self._permits.handle_request(received)
