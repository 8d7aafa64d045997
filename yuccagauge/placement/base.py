"""Base class, data types and registry of the placement policies."""

import abc
from collections.abc import Iterable
from dataclasses import dataclass
from typing import ClassVar

import numpy as np

from yuccagauge.cacheview.view import CacheView
from yuccagauge.clock import Millis
from yuccagauge.errors import NotFoundError
from yuccagauge.load.base import EngineKey
from yuccagauge.load.table import EngineTable
from yuccagauge.placement.notices import PlacementNotice
from yuccagauge.prefixes.base import RequestPrefix
from yuccagauge.registry import Registry


class PolicyNotFoundError(NotFoundError):
    """No placement policy is registered under the given name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """Properties of a request that placement policies read."""

    prefix: RequestPrefix
    #: Lower is more urgent.
    priority: int
    #: Latest time at which the first token may arrive.
    deadline: Millis
    #: Engines that must not get the request, such as those that failed it.
    excluded_engines: frozenset[EngineKey] = frozenset()


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may get the request, with its estimated cost."""

    engine: EngineKey
    #: Expected time to the first token, including the network, in ms.
    cost_ms: float
    #: Prompt tokens that the engine is expected to have in its cache.
    expected_tokens: int
    #: Expected wait until the prefill starts, in ms.
    queue_ms: float


@dataclass(frozen=True, slots=True)
class Decision:
    """Candidates, best first; empty if no engine can get the request."""

    candidates: tuple[Candidate, ...]


class PlacementPolicy(abc.ABC):
    """Base class of the policies that choose engines for requests.

    Parameters
    ----------
    table
        Load of the engines.
    view
        Expected cache contents of the engines.
    random
        Random number generator of this router.
    """

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()

    #: Whether the policy uses the cache events of the engines.
    uses_cache_events: ClassVar[bool] = False

    def __init__(
        self,
        table: EngineTable,
        view: CacheView,
        random: np.random.Generator,
    ) -> None:
        """Store the state that decisions read."""
        self._table = table
        self._view = view
        self._random = random

    @abc.abstractmethod
    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engines to try, best first."""

    def take_notices(self) -> tuple[PlacementNotice, ...]:
        """Return the notices for peers since the last call, and clear them."""
        return ()

    def apply_peer_notices(
        self,
        notices: tuple[PlacementNotice, ...],
        now: Millis,
    ) -> None:
        """Apply the placements of a peer. The default ignores them."""

    def _eligible_engines(
        self,
        request: PlacementRequest,
        now: Millis,
    ) -> tuple[EngineKey, ...]:
        """Return the usable engines that the request does not exclude."""
        version = request.prefix.cache_scope.weights_version
        usable = self._table.usable_engines(version, now)
        if not request.excluded_engines:
            return usable
        return tuple(
            engine
            for engine in usable
            if engine not in request.excluded_engines
        )

    def _estimate_candidate(
        self,
        request: PlacementRequest,
        engine: EngineKey,
        now: Millis,
    ) -> Candidate:
        """Return an engine with its expected time to the first token."""
        expected = self._view.expected_tokens(
            engine,
            self._table.incarnation(engine),
            request.prefix,
        )
        queue = self._table.queue_ms(engine, now)
        missing = max(0, request.prefix.prompt_tokens - expected)
        cost = queue + missing / self._table.prefill_rate
        cost += 2 * self._table.network_delay_ms(engine)
        return Candidate(engine, cost, expected, queue)

    def _build_decision(
        self,
        request: PlacementRequest,
        engines: Iterable[EngineKey],
        now: Millis,
    ) -> Decision:
        """Return a decision with the given engines in the given order."""
        return Decision(
            tuple(
                self._estimate_candidate(request, engine, now)
                for engine in engines
            ),
        )


#: All placement policies by name.
placement_policies: Registry[type[PlacementPolicy]] = Registry(
    'placement policy',
    PolicyNotFoundError,
)

#: Maximum candidates of a decision; those after the first serve retries.
MAXIMUM_CANDIDATES = 4
