"""Notices about backend servers that leave, and about poison requests."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from yuccagauge.clock import Millis
from yuccagauge.membership.items import HeldItem, ItemTopic
from yuccagauge.membership.service import MembershipService
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import pack_endpoint, unpack_endpoint
from yuccagauge.wire.messages import Item

#: How long a server counts as leaving after the last notice, in ms. A VM
#: that leaves is gone by then or the VM list still names it.
LEAVING_LIFETIME = Millis(120_000)

#: How long a suspicion lasts after its crash, in milliseconds; the same
#: time as in ``quarantine``.
SUSPICION_LIFETIME = Millis(600_000)

#: Suspicions that are offered to peers at once.
_SUSPICIONS = 64

# Versions of a suspicion's item: clearing overrides the crash.
_CRASHED = 1
_CLEARED = 2

# Bytes of the digest by which the key of an item names a crash.
_CRASH_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class HeardSuspicion:
    """A peer's suspicion, with the attributes of ``quarantine.CrashSuspicion``."""

    fingerprint: bytes
    crashes: frozenset[str]
    cleared: frozenset[str]
    #: Time since the crash, in milliseconds.
    age: Millis


class SuspicionTable(Protocol):
    """What the exchange needs of ``quarantine.Quarantine``."""

    def recent_suspicions(self, limit: int, now: Millis) -> tuple[Any, ...]:
        """Return the latest suspicions."""

    def merge_suspicions(
        self, suspicions: tuple[Any, ...], now: Millis
    ) -> None:
        """Take the suspicions of a peer."""


class LeavingNotices:
    """Tell all routers that a backend server is leaving.

    Parameters
    ----------
    membership
        Spreads the notices.
    listener
        Called after each notice of a peer.
    """

    def __init__(
        self,
        membership: MembershipService,
        listener: Callable[[], None],
    ) -> None:
        """Listen to peers."""
        self._membership = membership
        self._listener = listener
        membership.add_item_listener(
            int(ItemTopic.LEAVING_SERVER),
            self._heard,
        )

    @property
    def servers(self) -> tuple[Endpoint, ...]:
        """Servers that some router has found to be leaving."""
        held = self._membership.held(int(ItemTopic.LEAVING_SERVER))
        return tuple(filter(None, map(_server, held)))

    def spread(self, server: Endpoint, wall: Millis) -> None:
        """Tell the other routers; a repeated notice prolongs it."""
        self._membership.spread(
            Item(
                topic=int(ItemTopic.LEAVING_SERVER),
                key=pack_endpoint(server),
                # The wall time orders notices of different routers; a
                # wrong clock only changes how long a notice lasts.
                version=wall // LEAVING_LIFETIME,
                lifetime_ms=LEAVING_LIFETIME,
            ),
        )

    def _heard(self, item: HeldItem) -> None:
        self._listener()


class SuspicionExchange:
    """Spread each crash and each clearing of a request as one item.

    Parameters
    ----------
    membership
        Spreads the items.
    table
        The suspicions of this router.
    now
        Reads the monotonic time.
    """

    def __init__(
        self,
        membership: MembershipService,
        table: SuspicionTable,
        now: Callable[[], Millis],
    ) -> None:
        """Listen to peers."""
        self._membership = membership
        self._table = table
        self._now = now
        membership.add_item_listener(int(ItemTopic.SUSPICION), self._heard)

    def spread(self) -> None:
        """Tell what the peers do not know yet."""
        for suspicion in self._table.recent_suspicions(
            _SUSPICIONS, self._now()
        ):
            lifetime = SUSPICION_LIFETIME - suspicion.age
            for crash in suspicion.crashes:
                is_cleared = crash in suspicion.cleared
                # The value has the whole name. A shortened one would be
                # another crash to a router that saw the same crash itself.
                self._membership.spread(
                    Item(
                        topic=int(ItemTopic.SUSPICION),
                        key=_key(suspicion.fingerprint, crash),
                        version=_CLEARED if is_cleared else _CRASHED,
                        value=crash.encode(),
                        lifetime_ms=max(1, lifetime),
                    ),
                )

    def _heard(self, item: HeldItem) -> None:
        now = self._now()
        crashes = frozenset((item.value.decode(errors='replace'),))
        age = max(0, SUSPICION_LIFETIME - (item.expires_at - now))
        suspicion = HeardSuspicion(
            fingerprint=item.key[:-_CRASH_DIGEST_BYTES],
            crashes=crashes,
            cleared=crashes if item.version >= _CLEARED else frozenset(),
            age=Millis(age),
        )
        self._table.merge_suspicions((suspicion,), now)


def _server(item: HeldItem) -> Endpoint | None:
    try:
        return unpack_endpoint(item.key)
    except ValueError:
        return None


def _key(fingerprint: bytes, crash: str) -> bytes:
    digest = hashlib.blake2b(crash.encode(), digest_size=_CRASH_DIGEST_BYTES)
    return fingerprint + digest.digest()
