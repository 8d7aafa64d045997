"""Poll the cache events of all engines and kept stores."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from yuccagauge.cachefeed.base import CacheEvents, CachePort
from yuccagauge.clock import Millis
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.rendezvous import rank
from yuccagauge.selection.selector import Selector, kept_holder
from yuccagauge.settings.options import Endpoint
from yuccagauge.steadyloop import BackgroundTask
from yuccagauge.telemetry.journal import log_state_change

_MILLISECONDS_PER_SECOND = 1000

#: How long one poll waits at the holder for events.
POLL_WAIT = Millis(1000)

#: Time between two polls of a holder. Events come many a second under load,
#: and each answer costs a call; the next one brings them together.
POLL_PAUSE = Millis(150)

#: Time between two polls of a holder that does not answer.
RETRY_PAUSE = Millis(600)

#: Share of a holder's waiting polls that routers use; others may poll too.
USED_POLLS = 0.7


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """An engine or kept store to poll."""

    #: Its name in the cache map.
    name: str
    endpoint: Endpoint
    poll_limit: int
    is_store: bool = False


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

    @inlineCallbacks
    def _follow(self) -> Any:
        while not self._is_closed:
            try:
                found = yield self._feed.port.poll(
                    self._holder.endpoint,
                    self._since,
                    POLL_WAIT,
                )
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
            yield self._feed.pause(POLL_PAUSE)

    def _take(self, found: CacheEvents) -> None:
        cache = self._feed.selector.cache
        name = self._holder.name
        is_new = self._epoch is not None and found.epoch != self._epoch
        if is_new or found.has_gap:
            # What was dropped unheard must not be expected there.
            cache.forget(name)
        self._epoch = found.epoch
        self._since = found.next_number
        for event in found.events:
            change = cache.add if event.is_stored else cache.remove
            change(name, event.scope, event.part_id)
        self._note_live(is_live=True, reason='')

    def _note_live(self, *, is_live: bool, reason: str) -> None:
        if self._holder.is_store:
            stores = self._feed.selector.live_stores
            if is_live:
                stores.add(self._holder.endpoint)
            else:
                stores.discard(self._holder.endpoint)
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
    port
        Polls the holders.
    directory, selector
        Name the holders, and take what they hold.
    reactor
        Keeps time.
    name
        Name of this router.
    routers
        Returns the names of all routers that are alive.
    """

    def __init__(
        self,
        port: CachePort,
        directory: Directory,
        selector: Selector,
        reactor: Any,
        name: str,
        routers: Callable[[], Iterable[str]],
    ) -> None:
        """Poll nobody yet."""
        self.port = port
        self.selector = selector
        self._directory = directory
        self._reactor = reactor
        self._name = name
        self._routers = routers
        self._pollers: dict[Holder, _Poller] = {}

    def follow(self) -> None:
        """Poll the holders that the directory names now."""
        wanted = {holder for holder in self._holders() if self._is_ours(holder)}
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
        seconds = duration / _MILLISECONDS_PER_SECOND
        return deferLater(self._reactor, seconds)

    def _is_ours(self, holder: Holder) -> bool:
        """Return whether this router is one of those that poll a holder."""
        names = {self._name, *self._routers()}
        allowed = max(1, int(holder.poll_limit * USED_POLLS))
        if len(names) <= allowed:
            return True
        return self._name in rank(names, holder.name)[:allowed]

    def _holders(self) -> Iterable[Holder]:
        configuration = self._directory.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.kept_store is not None:
                endpoint = service.kept_store.endpoint
                yield Holder(
                    name=kept_holder(endpoint),
                    endpoint=endpoint,
                    poll_limit=service.poll_limit,
                    is_store=True,
                )
        for server in self._directory.servers.values():
            spec = configuration.services.get(server.service)
            if spec is not None and spec.is_model:
                yield Holder(
                    name=server.server_id,
                    endpoint=server.endpoint,
                    poll_limit=spec.poll_limit,
                )
