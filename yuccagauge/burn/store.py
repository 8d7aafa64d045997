"""The counts of this router, and copies of those of others."""

from collections.abc import Mapping
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from yuccagauge.burn.base import RequestSample, Series, judge
from yuccagauge.burn.codec import (
    BurnFormatError,
    decode_buckets,
    encode_buckets,
)
from yuccagauge.burn.state import BurnState
from yuccagauge.burn.windows import BurnView
from yuccagauge.clock import Clock, Millis
from yuccagauge.membership.service import MembershipService
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.settings.document import ObjectiveSection
from yuccagauge.telemetry.guard import guarded
from yuccagauge.telemetry.meter import counter
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.messages import (
    Accepted,
    BurnPush,
    BurnReply,
    BurnRequest,
)
from yuccagauge.wire.server import PeerServer

#: Time between two pushes to the holders, in seconds; a router that fails
#: loses the counts of this time.
PUSH_SECONDS = 60

#: Routers that hold a copy.
HOLDERS = 2

#: Copies that are held; the one that was pushed least recently goes first.
MAXIMUM_COPIES = 8

_TIMEOUT = Millis(10_000)

_REQUESTS = counter(
    'yuccagauge.objective.requests',
    'Requests under an objective.',
    '{request}',
)
_MISSES = counter(
    'yuccagauge.objective.misses',
    'Requests that missed an objective, by indicator.',
    '{request}',
)


class BurnStore:
    """Count requests and survive the replacement of this router.

    Parameters
    ----------
    name
        Name of this router, under which its counts are kept.
    clock
        The wall time decides on the bucket.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        """Start without counts."""
        self._name = name
        self._clock = clock
        self._own = BurnState()
        self._copies: dict[str, BurnState] = {}
        self._objectives: dict[str, Mapping[str, ObjectiveSection]] = {}

    @property
    def objectives(self) -> Mapping[str, Mapping[str, ObjectiveSection]]:
        """Objectives by service and name."""
        return dict(self._objectives)

    @property
    def own(self) -> BurnState:
        """The counts of this router."""
        return self._own

    @property
    def states(self) -> Mapping[str, BurnState]:
        """The own counts and the copies, by router."""
        return {**self._copies, self._name: self._own}

    def configure(
        self,
        service: str,
        objectives: Mapping[str, ObjectiveSection],
    ) -> None:
        """Take the objectives of a document in force."""
        self._objectives[service] = dict(objectives)

    def record(self, sample: RequestSample) -> None:
        """Count the end of one request."""
        wall = self._clock.wall_time()
        for name, objective in self._objectives.get(sample.service, {}).items():
            counts = judge(sample, objective)
            series = Series(
                service=sample.service,
                objective=name,
                customer=sample.customer,
                priority=sample.priority,
            )
            self._own.add(series, counts, wall)
            attributes = {'service': sample.service, 'objective': name}
            _REQUESTS.add(1, attributes)
            if any(counts[1:]):
                _MISSES.add(1, attributes)

    def view(self) -> BurnView:
        """Return what this router knows of all routers."""
        return BurnView(self.states.values())

    def hold(self, origin: str, packed: bytes) -> None:
        """Keep counts of another router.

        Raises
        ------
        BurnFormatError
            If the bytes are not encoded counts.
        """
        buckets = decode_buckets(packed)
        if origin == self._name:
            return
        state = self._copies.pop(origin, None) or BurnState()
        state.merge(buckets)
        self._copies[origin] = state
        if len(self._copies) > MAXIMUM_COPIES:
            self._copies.pop(next(iter(self._copies)))

    def copy_of(self, origin: str) -> BurnState | None:
        """Return the copy of another router's counts."""
        return self._copies.get(origin)


class BurnExchange:
    """Push the counts to holders, and fetch them back after a restart.

    Parameters
    ----------
    store
        The counts.
    membership, client, server
        Name, ask and answer the other routers.
    reactor
        Timers.
    """

    def __init__(
        self,
        store: BurnStore,
        membership: MembershipService,
        client: PeerClient,
        server: PeerServer,
        reactor: Any,
    ) -> None:
        """Answer the other routers from now on."""
        self._store = store
        self._membership = membership
        self._client = client
        self._holders: frozenset[str] = frozenset()
        self._is_restored = False
        self._loop = LoopingCall(guarded(self.push, 'burn_push'))
        self._loop.clock = reactor
        server.add_handler(BurnPush, self._answer_push)
        server.add_handler(BurnRequest, self._answer_request)

    @property
    def is_restored(self) -> bool:
        """Whether the counts of an earlier process were looked for."""
        return self._is_restored

    def start(self) -> None:
        """Begin to push."""
        self._loop.start(PUSH_SECONDS, now=False)

    def close(self) -> None:
        """Stop pushing."""
        if self._loop.running:
            self._loop.stop()

    def push(self) -> None:
        """Send what changed to the holders, and everything to new ones.

        Nothing is sent before the counts of an earlier process were looked
        for, which would otherwise be mixed with those of this one.
        """
        if not self._is_restored:
            self.restore()
            return
        own = self._membership.own.name
        peers = {
            member.name: member.peer
            for member in self._membership.live()
            if member.name != own
        }
        holders = frozenset(rendezvous_rank(peers, own)[:HOLDERS])
        state = self._store.own
        changed = encode_buckets(state.take_changed())
        for holder in holders:
            packed = changed
            if holder not in self._holders:
                packed = encode_buckets(state.buckets())
            message = BurnPush(origin=own, buckets=packed)
            answer = self._client.request(peers[holder], message, _TIMEOUT)
            answer.addErrback(self._not_pushed, holder)
        self._holders = holders

    def restore(self) -> Any:
        """Fetch the counts of an earlier process; return a Deferred.

        The first copy that is found is added, once. Both holders got the
        same pushes, so that a second copy would add nothing new.
        """
        own = self._membership.own.name
        peers = {
            member.name: member.peer
            for member in self._membership.live()
            if member.name != own
        }
        ranked = [peers[name] for name in rendezvous_rank(peers, own)]
        return self._ask(ranked[: 2 * HOLDERS])

    def _ask(self, peers: list[Any]) -> Any:
        if self._is_restored:
            return None
        if not peers:
            self._is_restored = True
            return None
        request = BurnRequest(origin=self._membership.own.name)
        answer = self._client.request(peers[0], request, _TIMEOUT)
        answer.addCallbacks(self._take, _ignore)
        return answer.addCallback(lambda _nothing: self._ask(peers[1:]))

    def _take(self, reply: BurnReply) -> None:
        if not reply.found or self._is_restored:
            return
        try:
            buckets = decode_buckets(reply.buckets)
        except BurnFormatError:
            return
        self._is_restored = True
        self._store.own.restore(buckets)

    def _not_pushed(self, failure: Failure, holder: str) -> None:
        # The next push to this router sends everything again.
        self._holders -= {holder}

    def _answer_push(self, received: Received) -> Accepted:
        message = received.message
        self._store.hold(message.origin, message.buckets)
        return Accepted()

    def _answer_request(self, received: Received) -> BurnReply:
        copy = self._store.copy_of(received.message.origin)
        if copy is None:
            return BurnReply(found=False)
        return BurnReply(found=True, buckets=encode_buckets(copy.buckets()))


def _ignore(failure: Failure) -> None:
    """Ask the next router; the wire counts the failure."""
