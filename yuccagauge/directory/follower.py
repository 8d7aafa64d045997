"""Reads the keyed topics of the store continuously."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.position import UNKNOWN_ERA
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

#: How long a read waits for records during an outage of the store. A read that
#: is sent in an outage is never answered, so a long wait would delay the
#: detection of the end of the outage.
PROBE_WAIT = Millis(0)

#: Longest time since the last read of which the records are read again. The
#: store keeps records for some tens of seconds.
LONGEST_REPEATED_READ = Millis(5000)

#: Time between two attempts while reads fail.
RETRY_DELAY = Millis(250)

#: Fraction by which delays vary, so that routers do not call in step.
DELAY_JITTER = 0.5


class TopicFollower:
    """Keeps the directory up to date with one topic.

    Parameters
    ----------
    topic
        The topic to follow.
    store
        Answers the reads.
    directory
        Receives the records.
    reactor
        Schedules the reads.
    clock
        The source of time.
    random_fraction
        Returns a random number from 0 to 1, for the jitter of delays.
    """

    def __init__(
        self,
        topic: Topic,
        store: KeyedStore,
        directory: Directory,
        reactor: Any,
        clock: Clock,
        random_fraction: Callable[[], float],
    ) -> None:
        """Create the follower; it reads nothing before ``start``."""
        self._topic = topic
        self._store = store
        self._directory = directory
        self._reactor = reactor
        self._clock = clock
        self._random_fraction = random_fraction
        self._task = BackgroundTask(self._follow)
        self._is_reachable: bool | None = None
        self._is_closed = False
        self._confirmed_at = Millis(0)
        self._unchanged_until: Millis | None = None
        #: Offset behind the last record that this router read itself.
        self._read_up_to = 0
        #: Returns the time until this router has to read; 0 if it is due now.
        self.read_delay: Callable[[], Millis] = lambda: Millis(0)
        #: Returns how long a read waits at the store for records.
        self.read_wait: Callable[[], Millis] = lambda: READ_WAIT
        #: Returns whether to read also what peers have sent since the last
        #: read, because only records that are read here go to ``on_entry``.
        self.reads_again: Callable[[], bool] = bool
        #: Time between the answer to one read and the next read.
        self.read_interval = Millis(0)
        #: Called with the key of each record that was read and has a value,
        #: and with a time after which it was written. Not called for the
        #: records of a listing, which may be of any age.
        self.on_entry: Callable[[str, Millis], None] = lambda key, after: None

    @property
    def confirmed_at(self) -> Millis:
        """Time up to which this router has read all records.

        That is when the last read that the store has answered was sent, and
        later by the time for which the store waited if it had no record. An
        answer may be delayed in the network, or while this router is
        suspended, so the time of its arrival may be later than its data.
        """
        return self._confirmed_at

    @property
    def unchanged_until(self) -> Millis | None:
        """Time before which the store had no record that is not read yet.

        ``None`` before the first answer. The store answers a read without
        records only after the time for which it may wait.
        """
        return self._unchanged_until

    def start(self) -> None:
        """Start to read the topic."""
        self._task.start()

    def close(self) -> None:
        """Stop reading."""
        self._is_closed = True
        self._task.close()

    @inlineCallbacks
    def _follow(self) -> Any:
        needs_listing = True
        while not self._is_closed:
            try:
                if needs_listing:
                    yield self._read_listing()
                    needs_listing = False
                else:
                    yield self._wait_until_due()
                    yield self._read_records()
            except CancelledError:
                raise
            except Exception as error:
                needs_listing = needs_listing or self._handle_failed_read(error)
                yield self._delay(RETRY_DELAY)

    def _handle_failed_read(self, error: Exception) -> bool:
        """Log a failed read; return whether the next one must list all keys."""
        if isinstance(error, StoreUnavailableError):
            self._record_outage(str(error))
            return False
        if isinstance(error, StoreGapError):
            log_state_change('store_gap', topic=self._topic.name)
            return True
        # The follower has to continue after an unexpected error.
        log_state_change(
            'duty_failed',
            duty=f'follow_{self._topic.name.lower()}',
            kind=type(error).__name__,
            reason=str(error),
        )
        return True

    @inlineCallbacks
    def _read_listing(self) -> Any:
        sent_at = self._clock.now()
        page = yield self._store.list_newest(self._topic)
        now = self._clock.now()
        self._directory.begin_era(self._topic, page.era, now)
        self._check_era(page)
        self._record_answer(sent_at)
        self._read_up_to = page.next_offset
        self._directory.apply_listing(
            self._topic,
            page.records,
            page.next_offset,
            now,
            self._unchanged_until,
        )
        self._unchanged_until = sent_at

    @inlineCallbacks
    def _wait_until_due(self) -> Any:
        """Wait while the records from peers are recent enough."""
        while self._is_reachable:
            delay = self.read_delay()
            if not delay:
                return
            yield deferLater(self._reactor, in_seconds(delay))

    @inlineCallbacks
    def _read_records(self) -> Any:
        offset = self._next_read_offset()
        wait = PROBE_WAIT if self._is_reachable is False else self.read_wait()
        previous_read_at = self._confirmed_at
        sent_at = self._clock.now()
        page = yield self._store.read_from(self._topic, offset, wait)
        self._check_era(page)
        self._record_answer(sent_at)
        self._read_up_to = page.next_offset
        now = self._clock.now()
        self._directory.apply_records(
            self._topic,
            page.records,
            page.next_offset,
            now,
            self._unchanged_until,
        )
        if page.is_last:
            waited = Millis(0 if page.records else min(wait, now - sent_at))
            self._unchanged_until = Millis(sent_at + waited)
            self._confirmed_at = self._unchanged_until
        for record in page.records:
            if record.value is not None:
                self.on_entry(record.key, previous_read_at)
        if self.read_interval:
            yield self._delay(self.read_interval)

    def _check_era(self, page: StorePage) -> None:
        """Reject records whose offsets are of another era than the known ones.

        Raises
        ------
        StoreGapError
            If the store came back from a copy since the last listing.
        StoreUnavailableError
            If a peer already knows that it did.
        """
        known = self._directory.era(self._topic)
        if page.era > known:
            raise StoreGapError(f'era {page.era} after {known}')
        if UNKNOWN_ERA < page.era < known:
            raise StoreUnavailableError(f'era {page.era} before {known}')

    def _next_read_offset(self) -> int:
        """Return the offset from which to read.

        Load pattern: peers send a router what has changed, and so move its
        offset past the heartbeats of servers, most of which change nothing.
        """
        known_offset = self._directory.next_offset(self._topic)
        read_age = self._clock.now() - self._confirmed_at
        if self.reads_again() and read_age <= LONGEST_REPEATED_READ:
            return min(known_offset, self._read_up_to)
        return known_offset

    def _delay(self, duration: Millis) -> Deferred[None]:
        factor = 1 + DELAY_JITTER * (self._random_fraction() - 0.5)
        seconds = factor * in_seconds(duration)
        return deferLater(self._reactor, seconds)

    def _record_answer(self, sent_at: Millis) -> None:
        self._confirmed_at = sent_at
        self._directory.record_store_answer(self._clock.now())
        if not self._is_reachable:
            self._is_reachable = True
            log_state_change('store_reached', topic=self._topic.name)

    def _record_outage(self, reason: str) -> None:
        self._directory.record_store_outage()
        if self._is_reachable is not False:
            self._is_reachable = False
            log_state_change(
                'store_lost',
                topic=self._topic.name,
                reason=reason,
            )
