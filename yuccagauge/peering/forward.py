"""The transport by which a claim reaches the router of its shard."""

from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from yuccagauge.claims.client import ForwardError
from yuccagauge.clock import Millis
from yuccagauge.membership.service import MembershipService
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.messages import ClaimForward, ClaimReply


class ClaimForwarder:
    """Implements ``claims.client.Forwarder`` over the wire.

    Parameters
    ----------
    membership
        Names the live routers.
    client
        Asks them.
    """

    def __init__(
        self,
        membership: MembershipService,
        client: PeerClient,
    ) -> None:
        """Keep the collaborators."""
        self._membership = membership
        self._client = client

    @property
    def routers(self) -> tuple[str, ...]:
        """Names of the live routers of the fleet, without this one."""
        own = self._membership.own.name
        return tuple(
            member.name
            for member in self._membership.live()
            if member.name != own
        )

    def forward(
        self,
        router: str,
        payload: bytes,
        timeout: Millis,
    ) -> Deferred[bytes]:
        """Call another router and return a Deferred of its answer.

        Raises
        ------
        ForwardError
            If there was no answer in time; the call may have had effect.
        """
        peers = [
            member.peer
            for member in self._membership.live()
            if member.name == router
        ]
        if not peers:
            failed: Deferred[bytes] = Deferred()
            failed.errback(ForwardError(f'router {router} is not live'))
            return failed
        message = ClaimForward(payload=payload)
        answer = self._client.request(peers[0], message, timeout)
        return answer.addCallbacks(_payload, _translate)


def answer_claim(received: Received, answer: Any) -> Deferred[ClaimReply]:
    """Answer a forwarded claim by ``ClaimClient.answer_forwarded``."""
    reply = maybeDeferred(answer, received.message.payload)
    return reply.addCallback(lambda payload: ClaimReply(payload=payload))


def _payload(reply: ClaimReply) -> bytes:
    return reply.payload


def _translate(failure: Failure) -> None:
    raise ForwardError(failure.getErrorMessage()) from None
