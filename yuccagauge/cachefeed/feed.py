"""Polling of the cache events of all engines and KV cache stores."""

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
from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.selection.kvcachestores import store_holder_name
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.tasks import BackgroundTask
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter

#: How long a long poll waits at the holder for events.
POLL_WAIT = Millis(1000)

#: Time between two long polls of a holder. Under load, a holder has many events
#: a second, and each answer costs a request. With the pause, one answer returns
#: many events.
POLL_PAUSE = Millis(150)

#: Time between two short polls of a KV cache store, by a router that does not
#: long-poll it. Every router must know whether the store answers and what it
#: holds.
STORE_SHORT_POLL_PAUSE = Millis(2000)

#: Time between two polls of a holder that does not answer.
RETRY_PAUSE = Millis(600)

#: Share of a holder's long polls that routers use. Other clients may need the
#: rest.
USABLE_POLL_SHARE = 0.7

#: Largest number of routers for each usable long poll of an engine. With more,
#: no router polls engines, since each would receive the events of only a few.
MAXIMUM_ROUTERS_PER_POLL = 4

_POLLS = counter(
    'yuccagauge.cachefeed.polls',
    'Polls of engines and KV cache stores for cache events, by kind.',
    '{request}',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """An engine or KV cache store to poll, and how to poll it."""

    #: Name of the holder in the cache map.
    name: str
    endpoint: Endpoint
    poll_limit: int
    is_store: bool = False
    data_centre: str = ''
    #: Whether polls wait at the holder for events.
    is_long_poll: bool = True

    @property
    def wait(self) -> Millis:
        """How long one poll waits at the holder for events."""
        return POLL_WAIT if self.is_long_poll else Millis(0)

    @property
    def pause(self) -> Millis:
        """Time between two polls of the holder."""
        return POLL_PAUSE if self.is_long_poll else STORE_SHORT_POLL_PAUSE


class _Poller:
    """Polls one holder until it is closed, and applies its events."""

    def __init__(self, holder: Holder, feed: 'CacheFeed') -> None:
        self._holder = holder
        self._feed = feed
        self._next_sequence = 0
        self._epoch: int | None = None
        self._task = BackgroundTask(self._poll_until_closed)
        self._is_closed = False
        self._was_live: bool | None = None

    def start(self) -> None:
        self._task.start()

    def close(self) -> None:
        self._is_closed = True
        self._task.close()
        self._feed.selector.engines_with_cache_events.discard(self._holder.name)

    @inlineCallbacks
    def _poll_until_closed(self) -> Any:
        """Poll, unless the holder limits the requests that it takes.

        The events are worth less than the calls that it takes instead.
        """
        kind = 'store' if self._holder.is_store else 'engine'
        while not self._is_closed:
            limit = self._feed.selector.limits.limit_of(self._holder.name)
            if limit is not None:
                self._set_live(is_live=False, reason='rate limit')
                yield self._feed.pause(RETRY_PAUSE)
                continue
            _POLLS.add(1, {'kind': kind})
            asked_at = self._feed.now()
            try:
                batch = yield self._feed.cache_event_source.poll_events(
                    self._holder.endpoint,
                    self._next_sequence,
                    self._holder.wait,
                )
            except HolderBusyError:
                self._set_live(is_live=True, reason='')
                yield self._feed.pause(self._holder.pause)
                continue
            except FetchError as error:
                self._set_live(is_live=False, reason=str(error))
                yield self._feed.pause(RETRY_PAUSE)
                continue
            try:
                self._apply_batch(batch, asked_at)
            except Exception as error:
                # A malformed answer must not stop the poller.
                log_state_change(
                    'duty_failed',
                    duty='cache_feed',
                    kind=type(error).__name__,
                    reason=str(error),
                )
            yield self._feed.pause(self._holder.pause)

    def _apply_batch(self, batch: CacheEventBatch, asked_at: Millis) -> None:
        cache_map = self._feed.selector.cache_map
        name = self._holder.name
        has_restarted = self._epoch is not None and batch.epoch != self._epoch
        # A process may state the epoch of the one before, but counts anew.
        has_restarted |= batch.next_sequence < self._next_sequence
        if has_restarted or batch.has_gap:
            # The router has missed evictions, so it drops all known parts.
            cache_map.remove_holder(name)
        self._epoch = batch.epoch
        if not self._holder.is_store:
            self._feed.on_epoch(name, batch.epoch, asked_at)
        self._next_sequence = batch.next_sequence
        for event in batch.events:
            change = cache_map.add if event.is_stored else cache_map.remove
            change(name, event.cache_scope, event.part_id)
        self._set_live(is_live=True, reason='')

    def _set_live(self, *, is_live: bool, reason: str) -> None:
        selector = self._feed.selector
        if self._holder.is_store:
            live_holders, holder = selector.live_stores, self._holder.endpoint
        else:
            live_holders, holder = (
                selector.engines_with_cache_events,
                self._holder.name,
            )
        change = live_holders.add if is_live else live_holders.discard
        change(holder)
        if is_live != self._was_live:
            self._was_live = is_live
            log_state_change(
                'cache_holder_reached' if is_live else 'cache_holder_lost',
                holder=self._holder.name,
                reason=reason,
            )


class CacheFeed:
    """Updates the cache map from the cache events of all holders.

    Parameters
    ----------
    cache_event_source
        Polls the holders.
    directory
        Lists the holders.
    selector
        Has the cache map and the sets of live holders.
    reactor
        Schedules the polls.
    name, data_centre
        Name and data centre of this router.
    routers
        Returns the names of the live routers.
    clock
        The source of time.
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
        clock: Clock,
    ) -> None:
        """Create a feed that does not poll yet."""
        self.cache_event_source = cache_event_source
        self.selector = selector
        self._directory = directory
        self._reactor = reactor
        self._name = name
        self._data_centre = data_centre
        self._routers = routers
        self._clock = clock
        #: Called with the id of an engine that answers a poll, the epoch of its
        #: events, and when it was asked.
        self.on_epoch: Callable[[str, int, Millis], None] = (
            lambda server_id, epoch, asked_at: None
        )
        self._pollers: dict[Holder, _Poller] = {}

    def update_pollers(self) -> None:
        """Start and stop pollers after a change of the directory or routers."""
        long_polled = set(self._long_polled_holders())
        wanted = long_polled | set(self._short_polled_stores(long_polled))
        for holder in set(self._pollers) - wanted:
            self._pollers.pop(holder).close()
        for holder in wanted - set(self._pollers):
            poller = _Poller(holder, self)
            self._pollers[holder] = poller
            poller.start()

    def close(self) -> None:
        """Stop all pollers."""
        for poller in self._pollers.values():
            poller.close()
        self._pollers.clear()

    def now(self) -> Millis:
        """Return the time of the router."""
        return self._clock.now()

    def pause(self, duration: Millis) -> Deferred[None]:
        """Return a Deferred that fires after a duration."""
        return deferLater(self._reactor, in_seconds(duration))

    def _long_polled_holders(self) -> Iterable[Holder]:
        """Return the holders that this router long-polls.

        The rendezvous ranking of the routers for each holder decides which
        of them poll it, so that they share out its polls without messages.
        """
        router_names = {self._name, *self._routers()}
        for holder in self._all_holders():
            usable_polls = max(1, int(holder.poll_limit * USABLE_POLL_SHARE))
            has_too_many_routers = (
                len(router_names) > MAXIMUM_ROUTERS_PER_POLL * usable_polls
            )
            if has_too_many_routers and not holder.is_store:
                continue
            if (
                self._name
                in rendezvous_rank(router_names, holder.name)[:usable_polls]
            ):
                yield holder

    def _short_polled_stores(
        self, long_polled: Set[Holder]
    ) -> Iterable[Holder]:
        """Return the KV cache stores that this router polls at intervals.

        Load pattern: there are more routers than a KV cache store accepts long
        polls. A router without a long poll there polls the live stores of its
        own data centre, or all stores while none of those is live.
        """
        stores = [holder for holder in self._all_holders() if holder.is_store]
        nearby_stores = [
            store
            for store in stores
            if store.data_centre == self._data_centre
            and store.endpoint in self.selector.live_stores
        ]
        for store in nearby_stores or stores:
            if store not in long_polled:
                yield dataclasses.replace(store, is_long_poll=False)

    def _all_holders(self) -> Iterable[Holder]:
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
