"""The interface of the store that the directory reads."""

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Topic
from yuccagauge.errors import UnavailableError, YuccagaugeError


class StoreUnavailableError(UnavailableError):
    """The store did not answer, or refused the call temporarily."""


class StoreGapError(YuccagaugeError):
    """The store has dropped records that the reader has not read yet."""


class RecordError(YuccagaugeError):
    """A record of the store cannot be decoded."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StorePage:
    """Records of one topic, and the offset after the last of them."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    #: Whether the topic had no record after these when the store answered.
    is_last: bool = True
    #: The era of the store in which it answered.
    era: int = UNKNOWN_ERA


class KeyedStore(Protocol):
    """Reads the keyed topics of the store."""

    def list_newest(self, topic: Topic) -> Deferred[StorePage]:
        """Return the newest record of each key.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """

    def read_from(
        self,
        topic: Topic,
        offset: int,
        wait: Millis,
    ) -> Deferred[StorePage]:
        """Return the records from an offset on, or wait for the first one.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        StoreGapError
            If the store has dropped the records, or has lost them and came back
            from a copy; call ``list_newest`` then.
        """
