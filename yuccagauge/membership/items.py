"""Small keyed items that spread to all routers and expire."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.wire.messages import Item

#: Largest number of items; further ones are dropped, the oldest first.
MAXIMUM_ITEMS = 2048

#: Longest key and value, in bytes, so that several fit into a datagram.
MAXIMUM_KEY = 64
MAXIMUM_VALUE = 256

#: Longest lifetime, in milliseconds: one day.
MAXIMUM_LIFETIME = Millis(86_400_000)


@enum.unique
class ItemTopic(enum.IntEnum):
    """What an item is about; its listeners know keys and values."""

    #: Key: service name; version: version in force, plus one.
    VERSION = 1
    #: Key: packed address of a backend server that is leaving.
    LEAVING_SERVER = 2
    #: Key: fingerprint of a request; value: number of crashes.
    SUSPICION = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldItem:
    """An item with its local end of life."""

    topic: int
    key: bytes
    version: int
    value: bytes
    expires_at: Millis


#: Called with each item that is new or has a higher version.
ItemListener = Callable[[HeldItem], None]


class ItemTable:
    """Keep the highest version of each item until it expires.

    Two values of one version are ordered by their bytes, so that all
    routers keep the same one.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._items: dict[tuple[int, bytes], HeldItem] = {}

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._items)

    def held(self, topic: int, now: Millis) -> tuple[HeldItem, ...]:
        """Return the items of one topic that have not expired."""
        return tuple(
            item
            for item in self._items.values()
            if item.topic == topic and item.expires_at > now
        )

    def apply(self, item: Item, now: Millis) -> HeldItem | None:
        """Take an item; return it if it changed the table."""
        if len(item.key) > MAXIMUM_KEY or len(item.value) > MAXIMUM_VALUE:
            return None
        lifetime = min(item.lifetime_ms, MAXIMUM_LIFETIME)
        place = (item.topic, item.key)
        known = self._items.get(place)
        if lifetime <= 0 or (known and not _supersedes(item, known)):
            return None
        held = HeldItem(
            topic=item.topic,
            key=item.key,
            version=item.version,
            value=item.value,
            expires_at=Millis(now + lifetime),
        )
        # Popping first moves a renewed item to the young end.
        self._items.pop(place, None)
        self._items[place] = held
        if len(self._items) > MAXIMUM_ITEMS:
            self._items.pop(next(iter(self._items)))
        return held

    def expire(self, now: Millis) -> None:
        """Drop what has expired."""
        expired = [
            place
            for place, item in self._items.items()
            if item.expires_at <= now
        ]
        for place in expired:
            self._items.pop(place)

    def messages(self, now: Millis) -> tuple[Item, ...]:
        """Return all items as messages."""
        return tuple(
            message_of(item, now)
            for item in self._items.values()
            if item.expires_at > now
        )


def message_of(item: HeldItem, now: Millis) -> Item:
    """Return the message with the remaining lifetime."""
    return Item(
        topic=item.topic,
        key=item.key,
        version=item.version,
        value=item.value,
        lifetime_ms=max(0, item.expires_at - now),
    )


def _supersedes(item: Item, known: HeldItem) -> bool:
    return (item.version, item.value) > (known.version, known.value)
