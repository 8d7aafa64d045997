"""Follow the keyed topics of the store."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.readpolicy import READ_WAIT
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.directory.store import (
    KeyedStore,
    StoreGapError,
    StorePage,
    StoreUnavailableError,
)
from yuccagauge.tasks import BackgroundTask
from yuccagauge.telemetry.journal import log_state_change

#: How long a read waits while the store does not answer: one that began in
#: an outage is never answered, and must not hide the store's return.
PROBE_WAIT = Millis(0)

#: Time between two reads of the servers' entries, which every server writes
#: about once a second. Each read costs a call, and a leaving server has to
#: be known within two seconds.
SERVER_READ_PAUSE = Millis(400)

#: Time between two attempts while the store does not answer.
RETRY_PAUSE = Millis(250)

#: Share by which pauses vary, so that routers do not call together.
PAUSE_JITTER = 0.5


class TopicFollower:
    """Keeps the directory up to date with one topic.

    Parameters
    ----------
    topic
        The topic.
    store
        Reads it.
    directory
        Takes the records.
    reactor
        Keeps time.
    clock
        The source of time.
    draw
        Draws a number from 0 to 1.
    """

    def __init__(
        self,
        topic: Topic,
        store: KeyedStore,
        directory: Directory,
        reactor: Any,
        clock: Clock,
        draw: Callable[[], float],
    ) -> None:
        """Prepare without reading."""
        self._topic = topic
        self._store = store
        self._directory = directory
        self._reactor = reactor
        self._clock = clock
        self._draw = draw
        self._task = BackgroundTask(self._follow)
        self._is_reached: bool | None = None
        self._is_closed = False
        self._confirmed_at = Millis(0)
        #: For how long what peers tell is enough; 0 if it is not.
        self.read_delay: Callable[[], Millis] = lambda: Millis(0)
        #: How long a read waits for records.
        self.read_wait: Callable[[], Millis] = lambda: READ_WAIT
        #: Told about each entry that was written, by its key.
        self.on_entry: Callable[[str], None] = lambda key: None

    @property
    def confirmed_at(self) -> Millis:
        """When the last read was sent that the store has answered.

        An answer may have waited on the way, or in a router that was
        suspended, so its arrival says less.
        """
        return self._confirmed_at

    def start(self) -> None:
        """Begin to follow."""
        self._task.start()

    def close(self) -> None:
        """Stop following."""
        self._is_closed = True
        self._task.close()

    @inlineCallbacks
    def _follow(self) -> Any:
        needs_listing = True
        while not self._is_closed:
            try:
                if needs_listing:
                    yield self._list()
                    needs_listing = False
                else:
                    yield self._rest()
                    yield self._read()
            except CancelledError:
                raise
            except Exception as error:
                needs_listing = needs_listing or self._needs_listing(error)
                yield self._pause(RETRY_PAUSE)

    def _needs_listing(self, error: Exception) -> bool:
        """Note a failed read; return whether the next one is a listing."""
        if isinstance(error, StoreUnavailableError):
            self._note_unreachable(str(error))
            return False
        if isinstance(error, StoreGapError):
            log_state_change('store_gap', topic=self._topic.name)
            return True
        # One bad answer must not end the follower.
        log_state_change(
            'duty_failed',
            duty=f'follow_{self._topic.name.lower()}',
            kind=type(error).__name__,
            reason=str(error),
        )
        return True

    @inlineCallbacks
    def _list(self) -> Any:
        sent_at = self._clock.now()
        page = yield self._store.list_newest(self._topic)
        self._note_reached(sent_at)
        now = self._clock.now()
        self._directory.apply_listing(
            self._topic, page.records, page.next_offset, now
        )
        self._report(page)

    @inlineCallbacks
    def _rest(self) -> Any:
        """Wait while what peers tell is enough."""
        while self._is_reached:
            rest = self.read_delay()
            if not rest:
                return
            yield deferLater(self._reactor, in_seconds(rest))

    @inlineCallbacks
    def _read(self) -> Any:
        offset = self._directory.next_offset(self._topic)
        wait = PROBE_WAIT if self._is_reached is False else self.read_wait()
        sent_at = self._clock.now()
        page = yield self._store.read_from(self._topic, offset, wait)
        self._note_reached(sent_at)
        now = self._clock.now()
        self._directory.apply_records(
            self._topic, page.records, page.next_offset, now
        )
        self._report(page)
        if self._topic is Topic.SERVERS:
            yield self._pause(SERVER_READ_PAUSE)

    def _report(self, page: StorePage) -> None:
        for record in page.records:
            if record.value is not None:
                self.on_entry(record.key)

    def _pause(self, duration: Millis) -> Deferred[None]:
        factor = 1 + PAUSE_JITTER * (self._draw() - 0.5)
        seconds = factor * in_seconds(duration)
        return deferLater(self._reactor, seconds)

    def _note_reached(self, sent_at: Millis) -> None:
        self._confirmed_at = sent_at
        self._directory.note_answer(self._clock.now())
        if not self._is_reached:
            self._is_reached = True
            log_state_change('store_reached', topic=self._topic.name)

    def _note_unreachable(self, reason: str) -> None:
        self._directory.note_outage()
        if self._is_reached is not False:
            self._is_reached = False
            log_state_change(
                'store_lost',
                topic=self._topic.name,
                reason=reason,
            )
