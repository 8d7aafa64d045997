"""Exchange state with other routers, a few at a time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.intake import Intake
from yuccagauge.exchange.members import Member
from yuccagauge.exchange.partners import draw_partners, is_turn
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.steadyloop import SteadyLoop
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

#: Time for the answer of a peer.
PATIENCE = Millis(800)

#: Other routers that one exchange names. Each router asks a few others each
#: period, so that the news of a router that lives reaches a hundred others
#: well within the time after which it would count as dead.
MAXIMUM_MEMBERS = 24

#: Suspicions that one exchange carries, the latest first.
MAXIMUM_SUSPICIONS = 20

#: Time for which news of engines wait for more of them.
NEWS_DELAY = Millis(20)

#: How long an exchange repeats that a server has shown weights.
WEIGHTS_NEWS = Millis(2500)


@dataclass(slots=True)
class _News:
    """What all routers are to hear soon."""

    pauses: dict[str, Millis] = field(default_factory=dict)
    weights: list[FleetWeights] = field(default_factory=list)


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
        self._intake = Intake(name, directory, selector, quarantine, clock)
        self._is_leaving = False
        self._shown: dict[tuple[str, str], tuple[int, Millis]] = {}
        self._reactor = reactor
        self._period = 0
        self._news = _News()
        #: The call that tells the news, while there are some.
        self._telling: Any = None
        self._loop = SteadyLoop('exchange', self._exchange, reactor)
        #: Returns when the store answered this router last.
        self.answered_at: Callable[[Topic], Millis] = lambda topic: Millis(0)

    @property
    def peers(self) -> tuple[Member, ...]:
        """The other routers that are alive."""
        return self._intake.peers

    @property
    def intake(self) -> Intake:
        """Where the messages of other routers are merged."""
        return self._intake

    @property
    def size(self) -> int:
        """The number of routers that are alive, this one included."""
        return len(self.peers) + 1

    def age(self, topic: Topic, now: Millis) -> Millis:
        """Return how long ago the store confirmed what is known of a topic.

        It may have confirmed it to this router, or to a peer that told it.
        """
        told_at = self._intake.confirmed_at(topic)
        return Millis(max(0, now - max(told_at, self.answered_at(topic))))

    def start(self) -> None:
        """Answer peers and begin to ask them."""
        self._server.add_handler(FleetExchange, self._answer)
        self._server.start()
        self._loop.start(PERIOD / _MILLISECONDS_PER_SECOND)

    def close(self) -> Deferred[Any]:
        """Stop, and cut the connections."""
        self._loop.close()
        if self._telling is not None:
            self._telling.cancel()
            self._telling = None
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
        if any(news.server in server_ids for news in self._news.weights):
            # Weights end a pause, so these must not arrive with it.
            self._tell_news()
        for server_id in server_ids:
            self._intake.take_pause(server_id, duration)
            self._news.pauses[server_id] = duration
        self._tell_soon()

    def tell_weights(self, server_id: str, model: str, version: int) -> None:
        """Tell all routers that a server has loaded weights."""
        news = FleetWeights(server=server_id, model=model, version=version)
        self._shown[server_id, model] = (version, self._clock.now())
        self._intake.take_weights(news)
        self._news.weights.append(news)
        self._tell_soon()

    def _tell_soon(self) -> None:
        """Tell what happens at nearly the same time in one message.

        Load pattern: tens of engines load weights at once in a fleet of a
        hundred routers, each of which would get a message for each engine.
        """
        if self._telling is None:
            delay = NEWS_DELAY / _MILLISECONDS_PER_SECOND
            self._telling = self._reactor.callLater(delay, self._tell_news)

    def _tell_news(self) -> None:
        if self._telling is not None and self._telling.active():
            self._telling.cancel()
        self._telling = None
        news = self._news
        self._news = _News()
        pauses = tuple(
            FleetPause(server=name, remaining_ms=duration)
            for name, duration in news.pauses.items()
        )
        self._tell_all(
            self._compose(pauses=pauses, weights=tuple(news.weights)),
        )

    def _exchange(self) -> None:
        self._period += 1
        if not is_turn(self._period, self.size):
            return
        for endpoint in self._partners():
            self._ask(endpoint, self._compose(asks=True, whole=True))

    def _partners(self) -> set[Endpoint]:
        """Return a few routers by chance, or a seed while none is known."""
        peers = self.peers
        if not peers:
            return set(self._seeds)
        chosen = draw_partners(peers, self._data_centre, self._draw)
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
            self._intake.take,
            self._note_unanswered,
            errbackArgs=(endpoint,),
        )

    def _note_unanswered(self, failure: Failure, peer: Endpoint) -> None:
        """Connect anew next time; a peer that nobody hears is dropped."""
        failure.trap(PeerUnavailableError, PeerFailedError)
        self._client.drop(peer)

    def _answer(self, received: Received) -> FleetExchange:
        message = received.message
        self._intake.take(message)
        if not message.asks:
            return self._compose(whole=bool(message.pauses))
        marks = {mark.topic: mark.mark for mark in message.marks}
        return self._compose(
            whole=True,
            answers=True,
            records=self._records(marks),
        )

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
            for member in self._intake.members.sample(
                MAXIMUM_MEMBERS, now, self._draw
            )
        )

    def _mark_parts(self, now: Millis) -> tuple[FleetMark, ...]:
        return tuple(
            FleetMark(
                topic=topic.value,
                mark=self._directory.mark(topic),
                age_ms=self.age(topic, now),
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
