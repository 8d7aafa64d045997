"""The interface of the store that keeps what is in force."""

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Topic
from yuccagauge.errors import UnavailableError, YuccagaugeError


class StoreUnavailableError(UnavailableError):
    """The store did not answer, or refused the call for now."""


class StoreGapError(YuccagaugeError):
    """The store no longer has the records that a reader wants next."""


class RecordError(YuccagaugeError):
    """A record of the store that cannot be understood."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StorePage:
    """Records of one topic, and the offset behind the last of them."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


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
        """Return the records from an offset on, waiting for the first.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        StoreGapError
            If the records were dropped; list the newest ones instead.
        """
