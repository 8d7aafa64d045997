"""The interfaces of the record of the lead and of the engines' orders."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from twisted.internet.defer import Deferred

from yuccagauge.directory.base import BackendServer


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseState:
    """What the store has about the lead."""

    #: Number of records of the lead that were ever written.
    record_count: int
    #: Name of the router that wrote the last one; empty if it gave it up.
    holder: str


class LeaseStore(Protocol):
    """Keeps the records of the lead, written under a condition."""

    def read_lease(self) -> Deferred[LeaseState]:
        """Read the state of the lead.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """

    def append_lease(self, holder: str, expected_count: int) -> Deferred[bool]:
        """Write a record if there are still ``expected_count``; return whether it was.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer; the record may be written later,
            if the condition still holds then.
        """


@enum.unique
class SwapMode(enum.Enum):
    """What happens to the runs of an engine that gets new weights."""

    FINISH_RUNS = 'finish-runs'
    RESET_RUNS = 'reset-runs'


@enum.unique
class OrderAnswer(enum.Enum):
    """What an engine says to an order."""

    ACCEPTED = 'accepted'
    #: The engine has these weights already.
    ALREADY_LOADED = 'holds'
    #: Another order is in work, or came in between.
    CONFLICT = 'conflict'
    #: A newer leader gave an order before.
    FENCED = 'fenced'
    #: Another engine has the address now.
    MISDIRECTED = 'misdirected'
    #: The engine does not take the order at all.
    REJECTED = 'rejected'


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStatus:
    """What an engine reports about itself, some hundred ms ago."""

    #: Whether an order is in work.
    is_busy: bool
    #: Number of the last order that it accepted.
    last_order_number: int
    weights: Mapping[str, int] = field(default_factory=dict)
    active: int = 0
    queued: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightsOrder:
    """An order to load weights."""

    server: BackendServer
    model: str
    version: int
    swap_mode: SwapMode
    #: The leader's fencing token.
    fencing_token: int
    #: The engine carries the order out only if this was its last one.
    expected_order_number: int


class WeightsOrderClient(Protocol):
    """Gives orders to engines and reads their reports."""

    def read_status(self, server: BackendServer) -> Deferred[EngineStatus]:
        """Read an engine's report.

        Raises
        ------
        FetchError
            If there is no answer.
        """

    def send_order(self, order: WeightsOrder) -> Deferred[OrderAnswer]:
        """Give an order.

        Raises
        ------
        FetchError
            If there is no answer; the order may be carried out later.
        """
