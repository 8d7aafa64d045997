"""The placement interface and the registry of policies."""

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
    """No placement policy has this name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """What a policy knows about a request."""

    prefix: RequestPrefix
    #: Lower is more urgent.
    priority: int
    #: Time by which the first token has to be there.
    deadline: Millis
    #: Engines that must not get the request, after failed attempts.
    excluded_engines: frozenset[EngineKey] = frozenset()


@dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may get the request."""

    engine: EngineKey
    #: Expected time to the first token and side costs, in ms.
    cost_ms: float
    #: Tokens of the prompt that the engine is expected to hold.
    expected_tokens: int
    #: Expected wait before the prefill starts, in ms.
    queue_ms: float


@dataclass(frozen=True, slots=True)
class Decision:
    """Candidates, best first; empty if no engine can take the request."""

    candidates: tuple[Candidate, ...]


class PlacementPolicy(abc.ABC):
    """Chooses engines for requests.

    Parameters
    ----------
    table
        Load of the engines.
    view
        Expected cache contents.
    random
        The stream of random numbers of this router.
    """

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()

    #: Whether decisions gain from the cache events of the engines.
    uses_cache_events: ClassVar[bool] = False

    def __init__(
        self,
        table: EngineTable,
        view: CacheView,
        random: np.random.Generator,
    ) -> None:
        """Keep the state that decisions read."""
        self._table = table
        self._view = view
        self._random = random

    @abc.abstractmethod
    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engines to try, best first."""

    def take_notices(self) -> tuple[PlacementNotice, ...]:
        """Return what peers should hear since the last call."""
        return ()

    def apply_peer_notices(
        self,
        notices: tuple[PlacementNotice, ...],
        now: Millis,
    ) -> None:
        """Learn from the placements of a peer; most policies do not."""

    def _usable(
        self,
        request: PlacementRequest,
        now: Millis,
    ) -> tuple[EngineKey, ...]:
        """Return the engines that may get the request."""
        version = request.prefix.cache_scope.weights_version
        usable = self._table.usable_engines(version, now)
        if not request.excluded_engines:
            return usable
        return tuple(
            engine
            for engine in usable
            if engine not in request.excluded_engines
        )

    def _candidate(
        self,
        request: PlacementRequest,
        engine: EngineKey,
        now: Millis,
    ) -> Candidate:
        """Estimate the time to the first token on one engine."""
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

    def _decide(
        self,
        request: PlacementRequest,
        engines: Iterable[EngineKey],
        now: Millis,
    ) -> Decision:
        """Return a decision that keeps the order of the engines."""
        return Decision(
            tuple(self._candidate(request, engine, now) for engine in engines),
        )


#: All placement policies by name.
placement_policies: Registry[type[PlacementPolicy]] = Registry(
    'placement policy',
    PolicyNotFoundError,
)

#: Candidates that a decision names, for a retry elsewhere.
MAXIMUM_CANDIDATES = 4
