"""Where the shared parts of prompts are kept, and come from."""

import dataclasses
from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.directory.base import KvCacheStore
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.selection.base import Candidate, SelectionRequest
from yuccagauge.settings.options import Endpoint

#: Shared tokens below which a part is read again sooner than it is fetched.
LEAST_FETCH = 512

#: How long a part that a call was asked to keep is expected in the store
#: without an event of the store.
SAVE_LIFETIME = Millis(1500)


class KeptParts:
    """The kept stores that answer, and what they were asked to keep.

    Parameters
    ----------
    data_centre
        The router's own data centre.
    """

    def __init__(self, data_centre: str) -> None:
        """Know no store yet."""
        self._data_centre = data_centre
        #: Scope and last shared part of what calls were asked to keep.
        self._saves: dict[tuple[str, str], Millis] = {}
        #: Kept stores that answer, by endpoint.
        self.live: set[Endpoint] = set()

    def nearest(self, stores: Iterable[KvCacheStore]) -> KvCacheStore | None:
        """Return a live kept store, one of the own data centre first."""
        live = [store for store in stores if store.endpoint in self.live]
        return min(
            live,
            key=lambda store: store.data_centre != self._data_centre,
            default=None,
        )

    def keeper(
        self,
        candidate: Candidate,
        request: SelectionRequest,
        store: KvCacheStore | None,
        now: Millis,
    ) -> Endpoint | None:
        """Return the store if it lacks shared parts of the prompt.

        Load pattern: every call carries a long part of its own. Keeping
        these too would fill the store's link, and nothing else could be
        fetched.
        """
        shared = request.shared_tokens
        if store is None or candidate.stored_tokens + LEAST_FETCH > shared:
            return None
        scope = scope_of(request, candidate.weights_version)
        last = (scope, request.parts[-2][0])
        self._saves = {
            part: at
            for part, at in self._saves.items()
            if now - at < SAVE_LIFETIME
        }
        if last in self._saves:
            return None
        self._saves[last] = now
        return store.endpoint


def kept_holder(endpoint: Endpoint) -> str:
    """Return the name of a kept store in the cache map."""
    return f'kept/{endpoint}'


def scope_of(request: SelectionRequest, version: int | None) -> str:
    """Return the scope of cached parts: weights version and customer.

    Engines and kept stores find parts by scope alone, so a part is never
    found under other weights, nor by another customer than an isolated one.
    """
    return f'{version}/{request.isolated_customer}'


def source(
    candidate: Candidate,
    request: SelectionRequest,
    store: KvCacheStore | None,
) -> Endpoint | None:
    """Return where the engine fetches the shared parts that it lacks.

    A router that has just started does not know what the store holds, and
    asking in vain costs a millisecond. An engine whose events are not heard
    may have dropped what it once read.
    """
    known = candidate.cached_tokens if candidate.is_followed else 0
    if store is None or request.shared_tokens - known < LEAST_FETCH:
        return None
    return store.endpoint


def with_home(
    candidates: list[Candidate],
    request: SelectionRequest,
) -> list[Candidate]:
    """Mark the home of the shared parts if no engine is known to hold them."""
    shared = request.shared_tokens
    if shared < LEAST_FETCH or not candidates:
        return candidates
    if any(each.cached_tokens + LEAST_FETCH > shared for each in candidates):
        return candidates
    names = (candidate.server.server_id for candidate in candidates)
    preferred = rendezvous_rank(names, request.parts[-2][0])[0]
    return [
        candidate
        if candidate.server.server_id == preferred
        else dataclasses.replace(candidate, is_preferred=False)
        for candidate in candidates
    ]
