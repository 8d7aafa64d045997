"""The interface of cache events."""

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.settings.options import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A part that was stored or dropped."""

    is_stored: bool
    scope: str
    part_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEventBatch:
    """The answer to one poll."""

    #: Changes when the holder starts again, empty.
    epoch: int
    #: Where the next poll continues.
    next_sequence: int
    #: Whether events before these are missing.
    has_gap: bool
    events: tuple[CacheEvent, ...]


class HolderBusyError(FetchError):
    """The holder lives, and has as many polls as it takes."""


class CacheEventSource(Protocol):
    """Polls the cache events of engines and kept stores."""

    def poll_events(
        self,
        holder: Endpoint,
        since: int,
        wait: Millis,
    ) -> Deferred[CacheEventBatch]:
        """Return the events from a number on, waiting for the first.

        Raises
        ------
        FetchError
            If there is no answer, or the holder refuses the poll.
        HolderBusyError
            If it refuses the poll because of the others.
        """
