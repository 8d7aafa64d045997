"""Interface to the cache events of engines and KV cache stores."""

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.settings.options import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A part of a prompt that a holder stored or evicted."""

    is_stored: bool
    cache_scope: str
    part_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEventBatch:
    """The events that one poll returned."""

    #: Changes when the holder restarts with an empty cache.
    epoch: int
    #: Sequence number of the first event of the next poll.
    next_sequence: int
    #: Whether events before these were lost.
    has_gap: bool
    events: tuple[CacheEvent, ...]


class HolderBusyError(FetchError):
    """The holder is live, but already serves as many polls as it accepts."""


class CacheEventSource(Protocol):
    """Polls the cache events of engines and KV cache stores."""

    def poll_events(
        self,
        holder: Endpoint,
        since: int,
        wait: Millis,
    ) -> Deferred[CacheEventBatch]:
        """Return the events from a sequence number on.

        Parameters
        ----------
        holder
            Endpoint of the engine or KV cache store.
        since
            Sequence number of the first event to return.
        wait
            How long the holder waits for an event if it has none.

        Raises
        ------
        FetchError
            If the holder does not answer or refuses the poll.
        HolderBusyError
            If the holder refuses the poll because it has too many.
        """
