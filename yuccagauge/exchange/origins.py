"""Keeps the origins of streams at several routers, and asks them for it."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from itertools import starmap
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.origins.base import (
    KEY_BYTES,
    OriginNotHeardError,
    StreamOrigin,
)
from yuccagauge.origins.events import REPORTED
from yuccagauge.origins.log import ROUTERS_PER_WRITER, OriginLog
from yuccagauge.origins.table import OriginTable
from yuccagauge.origins.versions import VersionHistory
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.errors import PeerFailedError, PeerUnavailableError
from yuccagauge.wire.fleetmessages import (
    StreamGroup,
    StreamOriginPull,
    StreamOriginReply,
    StreamOriginReport,
    StreamOriginRequest,
)
from yuccagauge.wire.messages import Accepted
from yuccagauge.wire.server import PeerServer

#: Routers that keep the origin of a stream, besides the one that began it.
_KEEPERS = 2

#: Routers that are asked for it. More than keep it, because each router leaves
#: itself out of the ranking, and others come and go.
_ASKED = 4

#: How long streams wait for others that are reported in the same message.
_REPORT_DELAY = Millis(20)

#: Longest wait for the answers of peers. The caller has its stream back after
#: it, or comes back itself.
_REPLY_TIMEOUT = Millis(300)

#: Time since the store has confirmed the entries of servers after which one of
#: another version may stand there unread.
_CONFIRMATION_LIMIT = Millis(3000)


class OriginBroker:
    """Reports the streams that this router begins, and finds those of others.

    Parameters
    ----------
    name
        Name of this router.
    merger
        Knows the other routers.
    history
        Tells whether a service has several versions. Only then is anything
        reported.
    log
        Keeps the streams when all routers restart.
    server, client
        Accept and open connections with other routers.
    reactor, clock
        Schedule the reports and tell the time.
    expected_peers
        Number of other routers that exist at least.
    """

    def __init__(
        self,
        name: str,
        *,
        merger: MessageMerger,
        history: VersionHistory,
        log: OriginLog,
        server: PeerServer,
        client: PeerClient,
        reactor: Any,
        clock: Clock,
        expected_peers: int,
    ) -> None:
        """Create a broker that answers nothing yet."""
        self._name = name
        self._merger = merger
        self._history = history
        self._log = log
        self._server = server
        self._client = client
        self._reactor = reactor
        self._clock = clock
        self._expected_peers = expected_peers
        self._table = OriginTable()
        #: Streams that wait to be reported.
        self._unreported: dict[bytes, StreamOrigin] = {}
        #: Services that had several versions when last looked at.
        self._mixed: frozenset[str] = frozenset()
        #: Names of the peers that were asked for what this router should keep.
        self._pulled: set[str] = set()
        #: By the first byte of a key, so that hundreds of routers need not be
        #: ranked for each stream.
        self._rankings: dict[int, tuple[str, ...]] = {}
        self._endpoints: dict[str, Endpoint] = {}
        #: Names of the routers that append streams to the log.
        self._writers: tuple[str, ...] = (name,)
        #: Streams that were reported to another router.
        self.reported_streams = 0
        #: Returns the time since the store has confirmed the entries of servers
        #: to this router or to a peer that told it.
        self.confirmation_age: Callable[[], Millis] = lambda: Millis(0)

    def start(self) -> None:
        """Begin to answer peers."""
        self._server.add_handler(StreamOriginReport, self._handle_report)
        self._server.add_handler(StreamOriginRequest, self._handle_request)
        self._server.add_handler(StreamOriginPull, self._handle_pull)

    def record(self, key: bytes, origin: StreamOrigin) -> None:
        """Keep the origin of a stream that this router has begun.

        An incarnation that is not listed may be the first one of another
        version, so that nobody knows yet that there are several.
        """
        self._table.add(key, origin, self._clock.now(), is_own=True)
        is_mixed = self._history.is_mixed(origin.service)
        if is_mixed or origin.is_unlisted:
            self._report(key, origin)

    def keep(self, key: bytes, origin: StreamOrigin) -> Deferred[None]:
        """Keep the origin of a stream; return once a peer keeps it.

        It also returns once no peer can be told any more.
        """
        self._table.add(key, origin, self._clock.now(), is_own=True)
        answers = self._send_reports({key: origin})
        kept: Deferred[None] = Deferred()
        open_answers = set(range(len(answers)))

        def end(reply: Any, number: int) -> None:
            open_answers.discard(number)
            if not kept.called and (reply is not None or not open_answers):
                kept.callback(None)

        for number, answer in enumerate(answers):
            answer.addCallback(end, number)
        if not answers:
            kept.callback(None)
        return kept

    def update(self) -> None:
        """Report and fetch what a change of versions or routers asks for."""
        self._report_mixed()
        if self._mixed:
            self._pull()
            if self._log.must_be_read:
                self._log.read(self._restore)

    def find(self, key: bytes) -> Deferred[StreamOrigin | None]:
        """Return what this router or a peer knows of a stream.

        ``None`` if nobody knows it, since its service had one version only.

        Raises
        ------
        OriginNotHeardError
            If too little is heard to say so.
        """
        known = self._table.find(key, self._clock.now())
        if known is not None:
            return succeed(known)
        self._refresh_rankings()
        return self._ask(key, self._peers_for(key, _ASKED))

    def _ask(
        self, key: bytes, peers: Sequence[Endpoint]
    ) -> Deferred[StreamOrigin | None]:
        """Return what the first peer knows that knows a stream."""
        found: Deferred[StreamOrigin | None] = Deferred()
        waiting = set(peers)
        silent: set[Endpoint] = set()

        def end_if_all_heard() -> None:
            if found.called or waiting:
                return
            if self._has_heard_enough(len(peers), len(silent)):
                found.callback(None)
            else:
                found.errback(OriginNotHeardError())

        def take(reply: Any, peer: Endpoint) -> None:
            waiting.discard(peer)
            if not isinstance(reply, StreamOriginReply):
                silent.add(peer)
            elif reply.is_known and not found.called:
                origin = _origin(reply)
                self._table.add(key, origin, self._clock.now(), is_own=False)
                found.callback(origin)
            end_if_all_heard()

        request = StreamOriginRequest(key=key)
        for peer in peers:
            answer = self._client.request(peer, request, _REPLY_TIMEOUT)
            answer.addErrback(self._handle_no_reply, peer)
            answer.addCallback(take, peer)
        end_if_all_heard()
        return found

    def _has_heard_enough(self, asked: int, silent: int) -> bool:
        """Return whether a stream of another version would have been heard of.

        The store has the versions that are listed. Streams of processes that
        are not listed yet are kept by several peers. While the store is away,
        all of these must not be among those that are not heard.

        Parameters
        ----------
        asked, silent
            Numbers of the peers that were asked, and that did not answer.
        """
        missing = self._merger.members.missing_count(
            self._expected_peers, self._clock.now()
        )
        if silent == asked:
            return not (silent or missing)
        is_confirmed = self.confirmation_age() < _CONFIRMATION_LIMIT
        return is_confirmed or silent + missing < _KEEPERS

    def _restore(self, key: bytes, origin: StreamOrigin) -> None:
        """Take a stream of the log unless something newer is known."""
        now = self._clock.now()
        if self._table.find(key, now) is None:
            self._table.add(key, origin, now, is_own=False)

    def _report_mixed(self) -> None:
        """Report the streams of services that have just become mixed.

        They were begun while there was one version, so nothing was reported.
        """
        now = self._clock.now()
        mixed = self._history.mixed_services
        for service in mixed - self._mixed:
            for key, origin in self._table.own_streams(service, now):
                self._report(key, origin)
        self._mixed = mixed

    def _pull(self) -> None:
        """Ask each peer once for the streams that this router should keep.

        A router that starts has lost those that it kept before.
        """
        for peer in self._merger.peers:
            if peer.name not in self._pulled:
                self._pulled.add(peer.name)
                answer = self._client.request(
                    peer.endpoint, StreamOriginPull(), _REPLY_TIMEOUT
                )
                answer.addCallbacks(
                    self._merge_report,
                    self._handle_no_reply,
                    errbackArgs=(peer.endpoint,),
                )

    def _report(self, key: bytes, origin: StreamOrigin) -> None:
        if not self._unreported:
            self._reactor.callLater(
                in_seconds(_REPORT_DELAY), self._send_unreported
            )
        self._unreported[key] = origin

    def _send_unreported(self) -> None:
        unreported, self._unreported = self._unreported, {}
        self._send_reports(unreported)

    def _send_reports(
        self, unreported: Mapping[bytes, StreamOrigin]
    ) -> list[Deferred[Any]]:
        """Send each peer the streams that it keeps, in one message.

        Returns the answers, ``None`` for each peer that sends none.
        """
        self._refresh_rankings()
        by_peer: dict[Endpoint, dict[StreamOrigin, list[bytes]]] = defaultdict(
            lambda: defaultdict(list)
        )
        for key, origin in unreported.items():
            for peer in self._recipients(key):
                by_peer[peer][origin].append(key)
            self._log_if_writer(key, origin)
        answers: list[Deferred[Any]] = []
        for peer, groups in by_peer.items():
            answer = self._client.request(
                peer, _report_message(groups), _REPLY_TIMEOUT
            )
            answers.append(answer.addErrback(self._handle_no_reply, peer))
        self.reported_streams += len(unreported)
        REPORTED.add(len(unreported))
        return answers

    def _handle_no_reply(self, failure: Failure, peer: Endpoint) -> None:
        failure.trap(PeerUnavailableError, PeerFailedError)
        self._client.drop(peer)

    def _handle_report(self, received: Received) -> Accepted:
        self._refresh_rankings()
        for key, origin in _streams(received.message):
            self._log_if_writer(key, origin)
        self._merge_report(received.message)
        return Accepted()

    def _handle_pull(self, received: Received) -> StreamOriginReport:
        """Return the streams of which the sender is one of the keepers."""
        self._refresh_rankings()
        groups: dict[StreamOrigin, list[bytes]] = defaultdict(list)
        for key, origin in self._table.streams(self._clock.now()):
            names = self._ranking(key)[: _KEEPERS + 1]
            if received.sender in names and self._history.is_mixed(
                origin.service
            ):
                groups[origin].append(key)
        return _report_message(groups)

    def _merge_report(self, report: StreamOriginReport) -> None:
        now = self._clock.now()
        for key, origin in _streams(report):
            self._table.add(key, origin, now, is_own=False)

    def _handle_request(self, received: Received) -> StreamOriginReply:
        origin = self._table.find(received.message.key, self._clock.now())
        if origin is None:
            return StreamOriginReply(is_known=False)
        return StreamOriginReply(
            is_known=True,
            service=origin.service,
            software_version=origin.software_version,
        )

    def _peers_for(self, key: bytes, count: int) -> list[Endpoint]:
        """Return the peers that come first for a stream."""
        ranking = self._ranking(key)
        return [self._endpoints[name] for name in ranking[:count]]

    def _recipients(self, key: bytes) -> set[Endpoint]:
        """Return the peers that keep a stream, and the one that logs it."""
        writer = self._endpoints.get(self._writer(key))
        recipients = set(self._peers_for(key, _KEEPERS))
        return recipients if writer is None else {*recipients, writer}

    def _log_if_writer(self, key: bytes, origin: StreamOrigin) -> None:
        if self._writer(key) == self._name:
            self._log.add(key, origin)

    def _writer(self, key: bytes) -> str:
        """Return the name of the router that logs a stream."""
        return self._writers[key[-1] % len(self._writers)]

    def _refresh_rankings(self) -> None:
        """Drop the rankings if the peers have changed."""
        endpoints = {peer.name: peer.endpoint for peer in self._merger.peers}
        if endpoints != self._endpoints:
            self._endpoints = endpoints
            self._rankings.clear()
            names = {self._name, *endpoints}
            count = 1 + len(names) // ROUTERS_PER_WRITER
            self._writers = rendezvous_rank(names, 'streams/log')[:count]

    def _ranking(self, key: bytes) -> tuple[str, ...]:
        """Return the names of the peers in their order for a stream."""
        bucket = key[0]
        ranking = self._rankings.get(bucket)
        if ranking is None:
            ranking = rendezvous_rank(self._endpoints, f'streams/{bucket}')
            self._rankings[bucket] = ranking
        return ranking


def _report_message(
    groups: Mapping[StreamOrigin, list[bytes]],
) -> StreamOriginReport:
    return StreamOriginReport(groups=tuple(starmap(_group, groups.items())))


def _group(origin: StreamOrigin, keys: list[bytes]) -> StreamGroup:
    return StreamGroup(
        service=origin.service,
        software_version=origin.software_version,
        keys=b''.join(keys),
    )


def _streams(
    report: StreamOriginReport,
) -> Iterator[tuple[bytes, StreamOrigin]]:
    """Return the key and the origin of each stream of a report."""
    for group in report.groups:
        origin = _origin(group)
        for start in range(0, len(group.keys), KEY_BYTES):
            yield group.keys[start : start + KEY_BYTES], origin


def _origin(part: StreamGroup | StreamOriginReply) -> StreamOrigin:
    return StreamOrigin(
        service=part.service, software_version=part.software_version
    )
