"""How far routers that know little of each other spread their calls. Pure."""

import dataclasses
import math
from collections.abc import Iterable, Mapping

import xxhash

from yuccagauge.directory.base import BackendServer
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.selection.base import Candidate, SelectionRequest
from yuccagauge.selection.kvcachestores import MINIMUM_FETCH_TOKENS

#: Routers up to which each knows well enough what all of them have sent, since
#: an exchange with each takes place several times a second.
INFORMED_ROUTERS = 10

#: Engines that a prompt is spread over at least.
MINIMUM_CHOICES = 3

#: Cost of an engine that is not the preferred one for the shared parts: about
#: the time to fetch them from the KV cache store.
NOT_PREFERRED_COST_MS = 15.0

#: Cost of an engine that is not among those that a prompt is spread over: the
#: time to prefill its shared parts, which are hardly cached there.
OUTSIDE_CHOICES_COST_MS = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PrefixHolders:
    """How many leading tokens of one prompt are held where."""

    #: By the name of each known holder.
    known: Mapping[str, int]
    #: At engines that the router hears nothing of.
    common: int

    @classmethod
    def among(
        cls,
        engines: Iterable[BackendServer],
        known: Mapping[str, int],
        routers: int,
    ) -> 'PrefixHolders':
        """Return the holders as one of many routers knows them.

        Load pattern: a router that has sent each engine a call or two knows
        of few that hold a part that all prompts begin with. If it took the
        others for empty, it would send them nothing, and leave the engines
        that all routers prefer for the next part.

        Parameters
        ----------
        known
            Leading tokens of the prompt by the name of each known holder.
        routers
            Number of live routers.
        """
        is_informed = routers <= INFORMED_ROUTERS
        held = (
            () if is_informed else (known.get(e.server_id, 0) for e in engines)
        )
        return cls(known=known, common=max(held, default=0))

    def tokens_at(self, engine: str, *, is_heard: bool) -> int:
        """Return how many leading tokens an engine is expected to have.

        Parameters
        ----------
        is_heard
            Whether the router receives the cache events of the engine.
        """
        known = self.known.get(engine, 0)
        return known if is_heard else max(known, self.common)

    def tokens_in_store(self, name: str) -> int:
        """Return how many leading tokens a KV cache store has."""
        return self.known.get(name, 0)


def choice_count(engines: int, routers: int) -> int:
    """Return how many engines the calls with the same parts are spread over.

    Load pattern: each of hundreds of routers sends a call or two a second, and
    hears of the calls of others when most of these have ended. If each chose
    the engine that seems to be the least loaded, many would choose the same
    one, and a part of a prompt would be prefilled at all engines in turn.

    Parameters
    ----------
    engines
        Number of engines that may run the call.
    routers
        Number of live routers.
    """
    informed = math.ceil(engines * INFORMED_ROUTERS / max(1, routers))
    return min(engines, max(MINIMUM_CHOICES, informed))


def spread_costs(
    candidates: list[Candidate], request: SelectionRequest, routers: int
) -> list[Candidate]:
    """Return the candidates with the costs of leaving the preferred engines.

    All routers rank the engines alike by the last shared part of the prompt,
    and each prompt without shared parts of note by a hash of its own. The
    prompt of a popular part leaves its engines once these are so loaded that
    it is served sooner elsewhere.
    """
    if not candidates:
        return candidates
    is_shared = request.shared_tokens >= MINIMUM_FETCH_TOKENS
    choices = choice_count(len(candidates), routers)
    if choices == len(candidates):
        if not is_shared or _is_held(candidates, request):
            return candidates
        choices = 1
        outside_cost_ms = NOT_PREFERRED_COST_MS
    else:
        outside_cost_ms = OUTSIDE_CHOICES_COST_MS
    key = request.parts[-2][0] if is_shared else request.call_id
    server_ids = (candidate.server.server_id for candidate in candidates)
    ranking = rendezvous_rank(server_ids, key)
    costs = dict.fromkeys(ranking, outside_cost_ms)
    costs.update(
        dict.fromkeys(
            ranking[:choices], NOT_PREFERRED_COST_MS if is_shared else 0
        )
    )
    costs[ranking[0]] = 0
    return [
        dataclasses.replace(
            candidate, spread_cost_ms=costs[candidate.server.server_id]
        )
        for candidate in candidates
    ]


def tie_break(candidate: Candidate, request: SelectionRequest) -> int:
    """Return a number by which engines of the same cost are compared.

    Load pattern: to routers that know little, most engines look idle. If all
    took the first one by name, it would get the calls of all.
    """
    text = f'{candidate.server.server_id}/{request.call_id}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _is_held(candidates: list[Candidate], request: SelectionRequest) -> bool:
    """Return whether an engine is known to hold the shared parts."""
    return any(
        candidate.cached_tokens + MINIMUM_FETCH_TOKENS > request.shared_tokens
        for candidate in candidates
    )
