"""Interfaces of the leader lease and of the orders to engines."""

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.position import UNKNOWN_ERA


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseEras:
    """The eras of the store that a record of the leader lease names."""

    #: The era in which the record was written.
    written: int = UNKNOWN_ERA
    #: The era from which fencing tokens are counted.
    first: int = UNKNOWN_ERA


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseState:
    """The leader lease as the store has it."""

    #: Number of lease records, without those that the store has lost.
    record_count: int
    #: Router that wrote the last record; empty if it released the lease.
    holder: str
    #: The era of the store in which the state was read.
    era: int = UNKNOWN_ERA
    #: What the last record names.
    eras: LeaseEras = LeaseEras()

    @property
    def is_copied(self) -> bool:
        """Whether records that followed the last one may have been lost."""
        return UNKNOWN_ERA < self.eras.written < self.era


class LeaseStore(Protocol):
    """Reads lease records and appends them under a condition."""

    def read_lease(self) -> Deferred[LeaseState]:
        """Return the last lease record and the number of records.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """

    def append_lease(
        self, holder: str, expected_count: int, eras: LeaseEras
    ) -> Deferred[bool]:
        """Append a record if the store has exactly ``expected_count`` records.

        Fires with whether the record was appended, in the era that it names.

        Parameters
        ----------
        holder
            Name of this router; empty to release the lease.
        expected_count
            Number of lease records before this one.
        eras
            The eras that the record names.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer; it may still append the record
            later if the condition holds then.
        """


@enum.unique
class SwapMode(enum.Enum):
    """What an engine does with its running calls when it swaps weights."""

    FINISH_RUNS = 'finish-runs'
    RESET_RUNS = 'reset-runs'


@enum.unique
class OrderAnswer(enum.Enum):
    """An engine's answer to an order."""

    ACCEPTED = 'accepted'
    #: The engine already runs these weights.
    ALREADY_LOADED = 'holds'
    #: The engine carries out another order, or accepted one since its status
    #: was read.
    CONFLICT = 'conflict'
    #: The engine has already seen an order with a newer fencing token.
    FENCED = 'fenced'
    #: The address belongs to another engine now.
    MISDIRECTED = 'misdirected'
    #: The engine refuses the order for any other reason.
    REJECTED = 'rejected'


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStatus:
    """An engine's report about itself, which may be some hundred ms old."""

    #: Whether the engine is carrying out an order.
    is_busy: bool
    #: Number of the last order that the engine accepted.
    last_order_number: int
    #: Version of each model that the engine runs.
    weights: Mapping[str, int] = field(default_factory=dict)
    #: Calls that the engine runs, and calls that wait there.
    active_calls: int = 0
    queued_calls: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightsOrder:
    """An order to an engine to load a weights version."""

    server: BackendServer
    model: str
    version: int
    swap_mode: SwapMode
    #: The token of the leader that gives the order.
    fencing_token: int
    #: The engine refuses the order unless its last order has this number, so
    #: a delayed order has no effect after a newer one.
    expected_order_number: int


class WeightsOrderClient(Protocol):
    """Reads the status of engines and sends them orders."""

    def through(self, pool: Any) -> 'WeightsOrderClient':
        """Return a client that uses the connections of another pool."""

    def read_status(self, server: BackendServer) -> Deferred[EngineStatus]:
        """Return the status that an engine reports.

        Raises
        ------
        FetchError
            If the engine does not answer.
        """

    def send_order(
        self, order: WeightsOrder, may_send: Callable[[], bool]
    ) -> Deferred[OrderAnswer]:
        """Send an order and return the engine's answer.

        Parameters
        ----------
        may_send
            Called when there is a connection; returns whether the order may
            still be sent.

        Raises
        ------
        FetchError
            If the engine does not answer; it may still carry out the
            order later.
        """
