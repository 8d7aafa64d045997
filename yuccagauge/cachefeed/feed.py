"""Poll the cache events of all engines and kept stores."""

import dataclasses
from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from yuccagauge.cachefeed.base import (
    CacheEventBatch,
    CacheEventSource,
    HolderBusyError,
)
from yuccagauge.clock import Millis, in_seconds
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.selection.kvcachestores import store_holder_name
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.tasks import BackgroundTask
from yuccagauge.telemetry.journal import log_state_change

#: How long one poll waits at the holder for events.
POLL_WAIT = Millis(1000)

#: Time between two polls of a holder. Events come many a second under load,
#: and each answer costs a call; the next one brings them together.
POLL_PAUSE = Millis(150)

#: Time between two polls of a kept store by a router that is not among
#: those whose polls wait there. Every router has to know whether the store
#: answers and what it holds.
STORE_LOOK_PAUSE = Millis(2000)

#: Time between two polls of a holder that does not answer.
RETRY_PAUSE = Millis(600)

#: Share of a holder's waiting polls that routers use; others may poll too.
USED_POLLS = 0.7

#: A fleet with more routers for each poll that an engine takes does without
#: events of engines: each router would hear of a few engines only.
ROUTERS_PER_POLL = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """An engine or kept store to poll."""

    #: Its name in the cache map.
    name: str
    endpoint: Endpoint
    poll_limit: int
    is_store: bool = False
    data_centre: str = ''
    #: Whether polls wait there for events.
    is_waiting: bool = True

    @property
    def wait(self) -> Millis:
        """How long one poll waits."""
        return POLL_WAIT if self.is_waiting else Millis(0)

    @property
    def pause(self) -> Millis:
        """Time between two polls."""
        return POLL_PAUSE if self.is_waiting else STORE_LOOK_PAUSE


class _Poller:
    """Follows the events of one holder."""

    def __init__(self, holder: Holder, feed: 'CacheFeed') -> None:
        self._holder = holder
        self._feed = feed
        self._since = 0
        self._epoch: int | None = None
        self._task = BackgroundTask(self._follow)
        self._is_closed = False
        self._was_live: bool | None = None

    def start(self) -> None:
        self._task.start()

    def close(self) -> None:
        self._is_closed = True
        self._task.close()
        self._feed.selector.engines_with_cache_events.discard(self._holder.name)

    @inlineCallbacks
    def _follow(self) -> Any:
        while not self._is_closed:
            try:
                found = yield self._feed.cache_event_source.poll_events(
                    self._holder.endpoint,
                    self._since,
                    self._holder.wait,
                )
            except HolderBusyError:
                self._note_live(is_live=True, reason='')
                yield self._feed.pause(self._holder.pause)
                continue
            except FetchError as error:
                self._note_live(is_live=False, reason=str(error))
                yield self._feed.pause(RETRY_PAUSE)
                continue
            try:
                self._take(found)
            except Exception as error:
                # One bad answer must not end the poller.
                log_state_change(
                    'duty_failed',
                    duty='cache_feed',
                    kind=type(error).__name__,
                    reason=str(error),
                )
            yield self._feed.pause(self._holder.pause)

    def _take(self, found: CacheEventBatch) -> None:
        cache = self._feed.selector.cache
        name = self._holder.name
        is_new = self._epoch is not None and found.epoch != self._epoch
        if is_new or found.has_gap:
            # What was dropped unheard must not be expected there.
            cache.remove_holder(name)
        self._epoch = found.epoch
        self._since = found.next_sequence
        for event in found.events:
            change = cache.add if event.is_stored else cache.remove
            change(name, event.scope, event.part_id)
        self._note_live(is_live=True, reason='')

    def _note_live(self, *, is_live: bool, reason: str) -> None:
        selector = self._feed.selector
        if self._holder.is_store:
            known, holder = selector.live_stores, self._holder.endpoint
        else:
            known, holder = (
                selector.engines_with_cache_events,
                self._holder.name,
            )
        change = known.add if is_live else known.discard
        change(holder)
        if is_live != self._was_live:
            self._was_live = is_live
            log_state_change(
                'cache_holder_reached' if is_live else 'cache_holder_lost',
                holder=self._holder.name,
                reason=reason,
            )


class CacheFeed:
    """Keeps the cache map up to date.

    Parameters
    ----------
    cache_event_source
        Polls the holders.
    directory, selector
        Name the holders, and take what they hold.
    reactor
        Keeps time.
    name, data_centre
        This router.
    routers
        Returns the names of all routers that are alive.
    """

    def __init__(
        self,
        cache_event_source: CacheEventSource,
        directory: Directory,
        selector: Selector,
        reactor: Any,
        name: str,
        data_centre: str,
        routers: Callable[[], Iterable[str]],
    ) -> None:
        """Poll nobody yet."""
        self.cache_event_source = cache_event_source
        self.selector = selector
        self._directory = directory
        self._reactor = reactor
        self._name = name
        self._data_centre = data_centre
        self._routers = routers
        self._pollers: dict[Holder, _Poller] = {}

    def update_pollers(self) -> None:
        """Poll the holders that the directory names now."""
        waiting = set(self._waiting())
        wanted = waiting | set(self._looks(waiting))
        for holder in set(self._pollers) - wanted:
            self._pollers.pop(holder).close()
        for holder in wanted - set(self._pollers):
            poller = _Poller(holder, self)
            self._pollers[holder] = poller
            poller.start()

    def close(self) -> None:
        """Stop polling."""
        for poller in self._pollers.values():
            poller.close()
        self._pollers.clear()

    def pause(self, duration: Millis) -> Deferred[None]:
        """Return a Deferred that fires after a while."""
        return deferLater(self._reactor, in_seconds(duration))

    def _waiting(self) -> Iterable[Holder]:
        """Return the holders at which this router's polls wait."""
        names = {self._name, *self._routers()}
        for holder in self._holders():
            allowed = max(1, int(holder.poll_limit * USED_POLLS))
            is_crowded = len(names) > ROUTERS_PER_POLL * allowed
            if is_crowded and not holder.is_store:
                continue
            if self._name in rendezvous_rank(names, holder.name)[:allowed]:
                yield holder

    def _looks(self, waiting: Set[Holder]) -> Iterable[Holder]:
        """Return the kept stores at which it looks now and then.

        Load pattern: more routers than a kept store takes waiting polls.
        Each looks at the store that it uses, or at all while none answers.
        """
        stores = [holder for holder in self._holders() if holder.is_store]
        near = [
            store
            for store in stores
            if store.data_centre == self._data_centre
            and store.endpoint in self.selector.live_stores
        ]
        for store in near or stores:
            if store not in waiting:
                yield dataclasses.replace(store, is_waiting=False)

    def _holders(self) -> Iterable[Holder]:
        configuration = self._directory.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.kv_cache_store is not None:
                endpoint = service.kv_cache_store.endpoint
                yield Holder(
                    name=store_holder_name(endpoint),
                    endpoint=endpoint,
                    poll_limit=service.poll_limit,
                    is_store=True,
                    data_centre=service.kv_cache_store.data_centre,
                )
        for server in self._directory.servers.values():
            spec = configuration.services.get(server.service)
            if spec is not None and spec.is_model:
                yield Holder(
                    name=server.server_id,
                    endpoint=server.endpoint,
                    poll_limit=spec.poll_limit,
                )
