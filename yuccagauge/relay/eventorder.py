"""The order of the events of one stream, over all of its responses."""

from yuccagauge.dispatch.errors import ContinuationError
from yuccagauge.dispatch.sse import (
    event_id,
    event_number,
    has_data,
    id_number,
    is_done,
)

#: Bytes of events that are held until a later one shows where they belong.
_MAXIMUM_HELD_BYTES = 65_536


class EventOrder:
    """Checks that each event follows the last one that the caller has.

    The ids of a stream increase, by one or with gaps. If they have increased
    by one so far, a response that continues the stream starts with the next
    number. If it is not known whether they have gaps, an event behind a gap
    is held until the next one shows it.

    Parameters
    ----------
    resumed_after
        The last event that the caller has from an earlier call; empty if it
        wants the whole stream.
    """

    def __init__(self, resumed_after: str = '') -> None:
        """Start with a caller that has no event of this call."""
        self._last_id = resumed_after
        self._last = id_number(resumed_after.encode())
        #: Whether the latest event of the caller has the id.
        self._is_last_named = True
        #: Whether all numbers so far have increased by one; ``None`` if the
        #: caller has not two of them.
        self._is_gapless: bool | None = None
        self._is_new_response = True
        self._held: tuple[bytes, ...] = ()
        #: The number behind a gap that is held.
        self._held_number: int | None = None

    @property
    def is_numbered(self) -> bool:
        """Whether the caller can name the event to continue after."""
        return self._last is not None and self._is_last_named

    @property
    def last_event_id(self) -> str:
        """The last event that the caller has; empty if it has none."""
        return self._last_id

    @property
    def lacks_number(self) -> bool:
        """Whether no number shows that the events that are held are next.

        The mark of the end needs none.
        """
        return any(
            event_number(event) is None and not is_done(event)
            for event in self._held
        )

    def start_response(self) -> None:
        """Expect the next event from another response."""
        self._is_new_response = True
        self._held = ()
        self._held_number = None

    def accept(self, event: bytes) -> tuple[bytes, ...]:
        """Take an event; return the events that are next, in order.

        Raises
        ------
        ContinuationError
            If the event comes again, or events before it are missing.
        """
        text = event_id(event)
        number = None if text is None else id_number(text)
        if number is None:
            return self._accept_unnumbered(event)
        if self._last is not None:
            if self._is_behind_unknown_gap(number):
                self._held_number = number
                return self._hold(event)
            self._check(number, self._last)
        self._last = number
        self._last_id = text.decode()
        self._is_last_named = True
        self._is_new_response = False
        return (*self.release(), event)

    def release(self) -> tuple[bytes, ...]:
        """Return the events that were held, as nothing follows them."""
        held, self._held = self._held, ()
        self._held_number = None
        return held

    def _accept_unnumbered(self, event: bytes) -> tuple[bytes, ...]:
        if not has_data(event):
            # A comment belongs anywhere.
            return (event,)
        if self._is_new_response and self._last is not None:
            return self._hold(event)
        self._is_last_named = False
        return (event,)

    def _hold(self, event: bytes) -> tuple[bytes, ...]:
        self._held = (*self._held, event)
        if sum(map(len, self._held)) > _MAXIMUM_HELD_BYTES:
            raise ContinuationError('no number shows which events these are')
        return ()

    def _is_behind_unknown_gap(self, number: int) -> bool:
        return (
            self._is_new_response
            and self._is_gapless is None
            and self._held_number is None
            and number > self._last + 1
        )

    def _check(self, number: int, last: int) -> None:
        is_next = number == last + 1
        must_be_next = self._is_new_response and self._is_gapless
        if number <= last or (must_be_next and not is_next):
            raise ContinuationError(f'event {number} does not follow {last}')
        if self._held_number is not None:
            self._check_held(number, self._held_number)
        self._is_gapless = is_next and self._is_gapless is not False

    def _check_held(self, number: int, held: int) -> None:
        """Check whether the numbers of a stream have gaps, as they began."""
        if number <= held + 1:
            raise ContinuationError(
                f'event {number} comes after {held}, which follows no event'
            )
