"""Exchange state with other routers, a few at a time."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.members import Member, Members
from yuccagauge.quarantine.base import Quarantine, Suspicion
from yuccagauge.selection.load import PeerLoad
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.steadyloop import SteadyLoop
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.errors import PeerFailedError, PeerUnavailableError
from yuccagauge.wire.messages import (
    FleetExchange,
    FleetLoad,
    FleetMark,
    FleetMember,
    FleetPause,
    FleetRecord,
    FleetSuspicion,
    FleetWeights,
)
from yuccagauge.wire.server import PeerServer

_MILLISECONDS_PER_SECOND = 1000

#: Time between two exchanges.
PERIOD = Millis(250)

#: Routers that one exchange goes to. What one router knows reaches a fleet
#: of 450 within about four periods.
FANOUT = 3

#: Time for the answer of a peer.
PATIENCE = Millis(800)

#: Suspicions that one exchange carries, the latest first.
MAXIMUM_SUSPICIONS = 20

#: How long an exchange repeats that a server has shown weights.
WEIGHTS_NEWS = Millis(2500)


class ExchangeService:
    """Tells other routers what this one knows, and hears the same of them.

    Parameters
    ----------
    name, endpoint, data_centre
        This router.
    seeds
        Where to ask while no other router is known.
    server, client
        The connections with other routers.
    directory, selector, quarantine
        What is told and heard.
    reactor, clock
        Keep time.
    draw
        Draws a number from 0 to 1.
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
        reactor: Any,
        clock: Clock,
        draw: Callable[[], float],
    ) -> None:
        """Know no other router yet."""
        self._name = name
        self._endpoint = endpoint
        self._data_centre = data_centre
        self._seeds = tuple(seed for seed in seeds if seed != endpoint)
        self._server = server
        self._client = client
        self._directory = directory
        self._selector = selector
        self._quarantine = quarantine
        self._clock = clock
        self._draw = draw
        self._members = Members(name)
        self._is_leaving = False
        self._known: frozenset[str] = frozenset()
        self._shown: dict[tuple[str, str], tuple[int, Millis]] = {}
        self._loop = SteadyLoop('exchange', self._exchange, reactor)
        #: Told when another router announces orders, or that it stops.
        self.on_pause: Callable[[], None] = lambda: None
        self.on_leave: Callable[[], None] = lambda: None
        #: Returns when the store confirmed the marks last.
        self.confirmed_at: Callable[[Topic], Millis] = lambda topic: Millis(0)

    @property
    def peers(self) -> tuple[Member, ...]:
        """The other routers that are alive."""
        return self._members.live(self._clock.now())

    @property
    def size(self) -> int:
        """The number of routers that are alive, this one included."""
        return len(self.peers) + 1

    def start(self) -> None:
        """Answer peers and begin to ask them."""
        self._server.add_handler(FleetExchange, self._answer)
        self._server.start()
        self._loop.start(PERIOD / _MILLISECONDS_PER_SECOND)

    def close(self) -> Deferred[Any]:
        """Stop, and cut the connections."""
        self._loop.close()
        self._client.close()
        return maybeDeferred(self._server.close)

    def leave(self) -> None:
        """Tell all peers that this router stops."""
        self._is_leaving = True
        self._tell_all(self._compose(leaves=True))

    def tell_pause(
        self,
        server_ids: tuple[str, ...],
        duration: Millis,
    ) -> None:
        """Keep calls of all routers away from servers for a while.

        The answers tell what the routers still have in flight there.
        """
        for server_id in server_ids:
            self._take_pause(server_id, duration)
        pauses = tuple(
            FleetPause(server=name, remaining_ms=duration)
            for name in server_ids
        )
        self._tell_all(self._compose(pauses=pauses))

    def tell_weights(self, server_id: str, model: str, version: int) -> None:
        """Tell all routers that a server has loaded weights."""
        news = FleetWeights(server=server_id, model=model, version=version)
        self._shown[server_id, model] = (version, self._clock.now())
        self._take_weights(news)
        self._tell_all(self._compose(weights=(news,)))

    def _exchange(self) -> None:
        for endpoint in self._partners():
            self._ask(endpoint, self._compose(asks=True, whole=True))

    def _partners(self) -> set[Endpoint]:
        """Return a few routers by chance, or a seed while none is known."""
        peers = [member.endpoint for member in self.peers]
        if not peers:
            return set(self._seeds)
        chosen = {peers[int(self._draw() * len(peers))] for _ in range(FANOUT)}
        # A seed now and then joins two halves that lost each other.
        if self._seeds and self._draw() < 1 / len(peers):
            chosen.add(self._seeds[int(self._draw() * len(self._seeds))])
        return chosen

    def _tell_all(self, message: FleetExchange) -> None:
        for member in self.peers:
            self._ask(member.endpoint, message)

    def _ask(self, endpoint: Endpoint, message: FleetExchange) -> None:
        asked = self._client.request(endpoint, message, PATIENCE)
        asked.addCallbacks(
            self._take,
            self._note_unanswered,
            errbackArgs=(endpoint,),
        )

    def _note_unanswered(self, failure: Failure, peer: Endpoint) -> None:
        """Connect anew next time; a peer that nobody hears is dropped."""
        failure.trap(PeerUnavailableError, PeerFailedError)
        self._client.drop(peer)

    def _answer(self, received: Received) -> FleetExchange:
        message = received.message
        self._take(message)
        if not message.asks:
            return self._compose(whole=bool(message.pauses))
        marks = {mark.topic: mark.mark for mark in message.marks}
        return self._compose(whole=True, records=self._records(marks))

    def _compose(self, *, whole: bool = False, **parts: Any) -> FleetExchange:
        now = self._clock.now()
        if whole:
            parts.update(
                members=self._member_parts(now),
                marks=self._mark_parts(now),
                loads=self._load_parts(),
                suspicions=self._suspicion_parts(now),
                weights=self._weights_parts(now),
            )
        parts.setdefault('leaves', self._is_leaving)
        return FleetExchange(
            name=self._name,
            endpoint=self._endpoint,
            data_centre=self._data_centre,
            **parts,
        )

    def _member_parts(self, now: Millis) -> tuple[FleetMember, ...]:
        return tuple(
            FleetMember(
                name=member.name,
                endpoint=member.endpoint,
                data_centre=member.data_centre,
                age_ms=now - member.heard_at,
            )
            for member in self.peers
        )

    def _mark_parts(self, now: Millis) -> tuple[FleetMark, ...]:
        return tuple(
            FleetMark(
                topic=topic.value,
                mark=self._directory.mark(topic),
                age_ms=max(0, now - self.confirmed_at(topic)),
            )
            for topic in Topic
        )

    def _load_parts(self) -> tuple[FleetLoad, ...]:
        return tuple(
            FleetLoad(
                server=server_id,
                active=len(load.calls),
                waiting_tokens=sum(
                    call.missing_tokens
                    for call in load.calls.values()
                    if not call.has_output
                ),
                fixed=sum(not call.is_movable for call in load.calls.values()),
            )
            for server_id, load in self._selector.loads.items()
            if load.calls
        )

    def _weights_parts(self, now: Millis) -> tuple[FleetWeights, ...]:
        return tuple(
            FleetWeights(server=server_id, model=model, version=version)
            for (server_id, model), (version, at) in self._shown.items()
            if now - at < WEIGHTS_NEWS
        )

    def _suspicion_parts(self, now: Millis) -> tuple[FleetSuspicion, ...]:
        return tuple(
            FleetSuspicion(
                fingerprint=suspicion.fingerprint,
                crashes=','.join(sorted(suspicion.crashes)),
                cleared=','.join(sorted(suspicion.cleared)),
                age_ms=suspicion.age,
            )
            for suspicion in self._quarantine.export(MAXIMUM_SUSPICIONS, now)
        )

    def _records(self, marks: dict[int, int]) -> tuple[FleetRecord, ...]:
        return tuple(
            FleetRecord(
                topic=topic.value,
                key=record.key,
                offset=record.offset,
                removes=record.value is None,
                value=record.value or b'',
            )
            for topic in Topic
            for record in self._directory.newer_than(
                topic,
                marks.get(topic.value, 0),
            )
        )

    def _take(self, message: FleetExchange) -> None:
        now = self._clock.now()
        if message.leaves:
            if self._members.leave(message.name, now):
                self.on_leave()
        else:
            self._hear_members(message, now)
        self._take_records(message, now)
        self._take_loads(message, now)
        if message.pauses:
            self.on_pause()
        for pause in message.pauses:
            self._take_pause(pause.server, Millis(pause.remaining_ms))
        for news in message.weights:
            self._take_weights(news)
        self._quarantine.merge(
            tuple(_suspicion(part) for part in message.suspicions),
            now,
        )

    def _hear_members(self, message: FleetExchange, now: Millis) -> None:
        sender = Member(
            name=message.name,
            endpoint=message.endpoint,
            data_centre=message.data_centre,
            heard_at=now,
        )
        others = (
            Member(
                name=part.name,
                endpoint=part.endpoint,
                data_centre=part.data_centre,
                heard_at=Millis(now - part.age_ms),
            )
            for part in message.members
        )
        self._members.hear((sender, *others), now)
        names = frozenset(member.name for member in self.peers)
        if names != self._known:
            self._known = names
            log_state_change('routers_known', count=len(names) + 1)

    def _take_records(self, message: FleetExchange, now: Millis) -> None:
        """Merge records; only an answer has them, all above our mark."""
        for part in message.marks:
            topic = Topic(part.topic)
            records = tuple(
                _record(record)
                for record in message.records
                if record.topic == part.topic
            )
            if records:
                self._directory.apply(topic, records, part.mark, now)

    def _take_loads(self, message: FleetExchange, now: Millis) -> None:
        if not message.marks:
            return
        for load in self._selector.loads.values():
            load.peers.pop(message.name, None)
        for part in message.loads:
            self._selector.load(part.server).peers[message.name] = PeerLoad(
                active=part.active,
                waiting_tokens=part.waiting_tokens,
                fixed=part.fixed,
                heard_at=now,
            )

    def _take_pause(self, server_id: str, duration: Millis) -> None:
        load = self._selector.load(server_id)
        load.loading_until = Millis(self._clock.now() + duration)

    def _take_weights(self, news: FleetWeights) -> None:
        load = self._selector.load(news.server)
        if load.shown_weights.get(news.model, 0) < news.version:
            load.shown_weights[news.model] = news.version
            load.loading_until = Millis(0)


def _record(part: FleetRecord) -> KeyedRecord:
    return KeyedRecord(
        key=part.key,
        offset=part.offset,
        value=None if part.removes else part.value,
    )


def _suspicion(part: FleetSuspicion) -> Suspicion:
    return Suspicion(
        fingerprint=part.fingerprint,
        crashes=frozenset(filter(None, part.crashes.split(','))),
        cleared=frozenset(filter(None, part.cleared.split(','))),
        age=Millis(part.age_ms),
    )
