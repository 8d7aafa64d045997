"""Tell peers the versions in force, and fetch newer documents from them."""

from typing import Any, Protocol

from twisted.python.failure import Failure

from yuccagauge.adoption.replay import Snapshot
from yuccagauge.clock import Millis
from yuccagauge.errors import SettingsError
from yuccagauge.membership.items import HeldItem, ItemTopic
from yuccagauge.membership.service import MembershipService
from yuccagauge.settings.reader import RawSections, read_text, render
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.messages import DocumentReply, DocumentRequest, Item

#: A version is spread again after this time, in milliseconds.
_LIFETIME = Millis(600_000)

_TIMEOUT = Millis(5000)
_PEERS_ASKED = 3


class VersionedStore(Protocol):
    """What the exchange needs of ``adoption.DocumentStore``."""

    @property
    def services(self) -> tuple[str, ...]:
        """The services that are followed."""

    @property
    def versions(self) -> Any:
        """The version in force of each service."""

    def is_behind(self, service: str, version: int) -> bool:
        """Tell whether a peer's version is worth asking for."""

    def latest_snapshot(self, service: str) -> Any:
        """Return the version in force for a peer."""

    def merge_snapshot(self, service: str, snapshot: Snapshot) -> bool:
        """Take a version from a peer."""


class DocumentExchange:
    """Spread versions as items, and ask for documents over TCP.

    Parameters
    ----------
    store
        The documents in force.
    membership
        Spreads the versions and names the peers.
    client
        Asks the peers.
    """

    def __init__(
        self,
        store: VersionedStore,
        membership: MembershipService,
        client: PeerClient,
    ) -> None:
        """Listen to versions from peers."""
        self._store = store
        self._membership = membership
        self._client = client
        self._asked: set[str] = set()
        membership.add_item_listener(int(ItemTopic.VERSION), self._heard)

    def spread(self) -> None:
        """Tell the versions in force, those that peers do not know yet."""
        held = {
            item.key: item.version
            for item in self._membership.held(int(ItemTopic.VERSION))
        }
        for service, version in self._store.versions.items():
            key = service.encode()
            # Version 0 is valid, and an item's version counts from 1.
            if held.get(key, 0) < version + 1:
                self._membership.spread(
                    Item(
                        topic=int(ItemTopic.VERSION),
                        key=key,
                        version=version + 1,
                        lifetime_ms=_LIFETIME,
                    ),
                )

    def check(self) -> None:
        """Ask for what the items say and the store does not have.

        A service without any document is asked for in any case, since all
        versions may have been spread before this router started.
        """
        for item in self._membership.held(int(ItemTopic.VERSION)):
            self._heard(item)
        for service in self._store.services:
            if service not in self._store.versions:
                self._ask(service)

    def answer(self, received: Received) -> DocumentReply:
        """Answer a peer that is behind."""
        request = received.message
        snapshot = self._store.latest_snapshot(request.service)
        if snapshot is None or snapshot.version < request.above:
            return DocumentReply(found=False, service=request.service)
        return DocumentReply(
            found=True,
            service=request.service,
            version=snapshot.version,
            as_of=snapshot.as_of,
            text=render(snapshot.sections),
            era=snapshot.era,
            published_at_ms=snapshot.published_at,
        )

    def _heard(self, item: HeldItem) -> None:
        service = item.key.decode(errors='replace')
        if self._store.is_behind(service, item.version - 1):
            self._ask(service)

    def _ask(self, service: str) -> None:
        if service in self._asked:
            return
        own = self._membership.own
        peers = [
            member.peer
            for member in self._membership.live()
            if member.name != own.name
        ]
        # The members of the own data centre answer soonest.
        near = [
            member.peer
            for member in self._membership.live(own.data_centre)
            if member.name != own.name
        ]
        self._ask_next(service, list(dict.fromkeys(near + peers)))

    def _ask_next(self, service: str, peers: list[Any]) -> None:
        if not peers:
            return
        self._asked.add(service)
        known = self._store.versions.get(service, -1)
        request = DocumentRequest(service=service, above=known + 1)
        answer = self._client.request(peers[0], request, _TIMEOUT)
        answer.addCallbacks(self._take, _ignore)
        answer.addCallback(self._go_on, service, peers[1:_PEERS_ASKED])

    def _go_on(self, is_taken: bool, service: str, peers: list[Any]) -> None:
        self._asked.discard(service)
        if not is_taken:
            self._ask_next(service, peers)

    def _take(self, reply: DocumentReply) -> bool:
        if not reply.found:
            return False
        try:
            sections: RawSections = read_text(reply.text, 'peer')
        except SettingsError:
            return False
        snapshot = Snapshot(
            version=reply.version,
            as_of=reply.as_of,
            sections=sections,
            era=reply.era,
            published_at=Millis(reply.published_at_ms),
        )
        is_taken = self._store.merge_snapshot(reply.service, snapshot)
        if is_taken:
            log_state_change(
                'document_from_peer',
                service=reply.service,
                version=reply.version,
            )
        return is_taken


def _ignore(failure: Failure) -> bool:
    return False
