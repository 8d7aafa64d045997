"""Choice of the KV cache store for the shared parts of prompts."""

from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.directory.base import KvCacheStore
from yuccagauge.selection.base import Candidate, SelectionRequest
from yuccagauge.settings.options import Endpoint

#: Below this number of shared tokens, computing them again is faster than
#: fetching them.
MINIMUM_FETCH_TOKENS = 512

#: How long the router assumes that a requested save will succeed, while no
#: event of the store confirms it.
PENDING_SAVE_LIFETIME = Millis(1500)


class KvCacheStoreTracker:
    """Tracks which KV cache stores answer and which saves are pending.

    Parameters
    ----------
    data_centre
        The router's own data centre.
    """

    def __init__(self, data_centre: str) -> None:
        """Start without live stores and without pending saves."""
        self._data_centre = data_centre
        #: Time of each requested save, by cache scope and last shared part.
        self._pending_saves: dict[tuple[str, str], Millis] = {}
        #: Endpoints of the KV cache stores that answer.
        self.live: set[Endpoint] = set()

    def nearest(self, stores: Iterable[KvCacheStore]) -> KvCacheStore | None:
        """Return a live KV cache store, preferably in the own data centre."""
        live = [store for store in stores if store.endpoint in self.live]
        return min(
            live,
            key=lambda store: store.data_centre != self._data_centre,
            default=None,
        )

    def choose_save_endpoint(
        self,
        candidate: Candidate,
        request: SelectionRequest,
        store: KvCacheStore | None,
        now: Millis,
    ) -> Endpoint | None:
        """Return the store if the engine should save shared parts there.

        Load pattern: each call has a long part that no other call uses.
        Saving these parts too would saturate the store's link, so that
        engines could fetch nothing. Only shared parts that the store lacks
        are saved, and not again while an earlier save of them is pending.
        """
        shared_tokens = request.shared_tokens
        if (
            store is None
            or candidate.stored_tokens + MINIMUM_FETCH_TOKENS > shared_tokens
        ):
            return None
        cache_scope = cache_scope_of(request, candidate.weights_version)
        last_shared_part = (cache_scope, request.parts[-2][0])
        self._pending_saves = {
            part: requested_at
            for part, requested_at in self._pending_saves.items()
            if now - requested_at < PENDING_SAVE_LIFETIME
        }
        if last_shared_part in self._pending_saves:
            return None
        self._pending_saves[last_shared_part] = now
        return store.endpoint


def store_holder_name(endpoint: Endpoint) -> str:
    """Return the name of a KV cache store in the cache map."""
    return f'kept/{endpoint}'


def cache_scope_of(request: SelectionRequest, version: int | None) -> str:
    """Return the cache scope: weights version, and who shares the parts.

    Engines and KV cache stores look parts up within one cache scope. A call
    thus never uses parts that were computed with other weights, nor parts of
    an isolated customer if it belongs to another one. They keep parts for
    longer than customers stay as they are, so that the scope of the customers
    that share parts differs by which ones do not.
    """
    group = request.sharing_group and f'-{request.sharing_group}'
    return f'{version}{group}/{request.isolated_customer}'


def choose_fetch_endpoint(
    candidate: Candidate,
    request: SelectionRequest,
    store: KvCacheStore | None,
) -> Endpoint | None:
    """Return the store from which the engine fetches the parts that it lacks.

    The engine asks the store even if the router does not know that the store
    has the parts: a router that just started does not know its contents, and
    a miss costs only a millisecond. If the router does not receive the cache
    events of an engine, it ignores the engine's cache, since the engine may
    have evicted the parts.
    """
    cached_tokens = candidate.cached_tokens if candidate.has_cache_events else 0
    if (
        store is None
        or request.shared_tokens - cached_tokens < MINIMUM_FETCH_TOKENS
    ):
        return None
    return store.endpoint
