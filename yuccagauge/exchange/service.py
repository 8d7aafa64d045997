"""Exchange state with other routers, a few at a time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange import parts as parts_of
from yuccagauge.exchange.members import Member
from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.exchange.partners import (
    NEWS_DELAY,
    draw_partners,
    is_turn,
    weights_delay,
)
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.errors import PeerFailedError, PeerUnavailableError
from yuccagauge.wire.messages import (
    FleetExchange,
    FleetPause,
    FleetSilence,
    FleetWeights,
)
from yuccagauge.wire.server import PeerServer

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

#: Time after which a server that stays silent is told again.
SILENCE_REPEAT = Millis(1000)

#: How long an exchange repeats that a server has shown weights.
WEIGHTS_NEWS = Millis(2500)


@dataclass(slots=True)
class _News:
    """What all routers are to hear soon."""

    pauses: dict[str, Millis] = field(default_factory=dict)
    weights: list[FleetWeights] = field(default_factory=list)
    silences: set[str] = field(default_factory=set)


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
        self._merger = MessageMerger(
            name, directory, selector, quarantine, clock
        )
        self._is_leaving = False
        self._shown: dict[tuple[str, str], tuple[int, Millis]] = {}
        self._reactor = reactor
        self._period = 0
        #: When each silent server was told last.
        self._silences_told: dict[str, Millis] = {}
        self._news = _News()
        #: The call that tells the news, while there are some.
        self._telling: Any = None
        self._loop = PeriodicTask('exchange', self._exchange, reactor)
        #: Returns as of when the store confirmed a topic to this router.
        self.own_confirmed_at: Callable[[Topic], Millis] = lambda topic: Millis(
            0
        )

    @property
    def peers(self) -> tuple[Member, ...]:
        """The other routers that are alive."""
        return self._merger.peers

    @property
    def merger(self) -> MessageMerger:
        """Where the messages of other routers are merged."""
        return self._merger

    @property
    def router_count(self) -> int:
        """The number of routers that are alive, this one included."""
        return len(self.peers) + 1

    def confirmation_age(self, topic: Topic, now: Millis) -> Millis:
        """Return how long ago the store confirmed what is known of a topic.

        It may have confirmed it to this router, or to a peer that told it.
        """
        told_at = self._merger.peer_confirmed_at(topic)
        return Millis(max(0, now - max(told_at, self.own_confirmed_at(topic))))

    def start(self) -> None:
        """Answer peers and begin to ask them."""
        self._server.add_handler(FleetExchange, self._answer)
        self._server.start()
        self._loop.start(in_seconds(PERIOD))

    def close(self) -> Deferred[Any]:
        """Stop, and cut the connections."""
        self._loop.close()
        if self._telling is not None:
            self._telling.cancel()
            self._telling = None
        self._client.close()
        return maybeDeferred(self._server.close)

    def announce_leave(self) -> None:
        """Tell all peers that this router stops."""
        self._is_leaving = True
        self._tell_all(self._compose(leaves=True))

    def broadcast_pause(
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
            self._merger.apply_pause(server_id, duration)
            self._news.pauses[server_id] = duration
        self._tell_soon()

    def broadcast_weights(
        self, server_id: str, model: str, version: int
    ) -> None:
        """Tell all routers that a server has loaded weights."""
        news = FleetWeights(server=server_id, model=model, version=version)
        self._shown[server_id, model] = (version, self._clock.now())
        self._merger.apply_weights(news)
        self._news.weights.append(news)
        self._tell_soon(weights_delay(self.router_count))

    def broadcast_unresponsive(self, server_id: str) -> None:
        """Tell all routers that a server accepts no connection."""
        now = self._clock.now()
        told_at = self._silences_told.get(server_id)
        if told_at is not None and now - told_at < SILENCE_REPEAT:
            return
        self._silences_told = {
            name: at
            for name, at in self._silences_told.items()
            if now - at < SILENCE_REPEAT
        }
        self._silences_told[server_id] = now
        self._news.silences.add(server_id)
        log_state_change('server_silent', server=server_id)
        self._tell_soon()

    def _tell_soon(self, delay: Millis = NEWS_DELAY) -> None:
        """Tell what happens at nearly the same time in one message."""
        due_s = in_seconds(delay)
        if self._telling is None:
            self._telling = self._reactor.callLater(due_s, self._tell_news)
            return
        left_s = self._telling.getTime() - self._reactor.seconds()
        if due_s < left_s:
            self._telling.reset(due_s)

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
            self._compose(
                pauses=pauses,
                weights=tuple(news.weights),
                silences=tuple(
                    FleetSilence(server=name) for name in news.silences
                ),
            ),
        )

    def _exchange(self) -> None:
        self._period += 1
        if not is_turn(self._period, self.router_count):
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
            self._merger.merge_message,
            self._note_unanswered,
            errbackArgs=(endpoint,),
        )

    def _note_unanswered(self, failure: Failure, peer: Endpoint) -> None:
        """Connect anew next time; a peer that nobody hears is dropped."""
        failure.trap(PeerUnavailableError, PeerFailedError)
        self._client.drop(peer)

    def _answer(self, received: Received) -> FleetExchange:
        message = received.message
        self._merger.merge_message(message)
        if message.pauses:
            return self._compose(**self._call_parts(self._clock.now()))
        if not message.asks:
            return self._compose()
        marks = {mark.topic: mark.mark for mark in message.marks}
        return self._compose(
            whole=True,
            answers=True,
            records=parts_of.records(self._directory, marks),
        )

    def _compose(self, *, whole: bool = False, **parts: Any) -> FleetExchange:
        now = self._clock.now()
        if whole:
            parts.update(
                members=parts_of.members(self._sample(now), now),
                **self._call_parts(now),
                suspicions=parts_of.suspicions(
                    self._quarantine.recent_suspicions(MAXIMUM_SUSPICIONS, now),
                ),
                weights=self._fresh_weights(now),
            )
        parts.setdefault('leaves', self._is_leaving)
        return FleetExchange(
            name=self._name,
            endpoint=self._endpoint,
            data_centre=self._data_centre,
            **parts,
        )

    def _call_parts(self, now: Millis) -> dict[str, Any]:
        """Return this router's calls; these come with its marks."""
        return {
            'marks': parts_of.marks(self._directory, self._ages(now)),
            'loads': parts_of.loads(self._selector.loads),
        }

    def _sample(self, now: Millis) -> tuple[Member, ...]:
        members = self._merger.members
        return members.sample(MAXIMUM_MEMBERS, now, self._draw)

    def _ages(self, now: Millis) -> dict[Topic, Millis]:
        return {topic: self.confirmation_age(topic, now) for topic in Topic}

    def _fresh_weights(self, now: Millis) -> tuple[FleetWeights, ...]:
        return tuple(
            FleetWeights(server=server_id, model=model, version=version)
            for (server_id, model), (version, at) in self._shown.items()
            if now - at < WEIGHTS_NEWS
        )
