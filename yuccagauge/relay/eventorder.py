"""The order of the events of one stream, over all of its responses."""

import re

from yuccagauge.dispatch.errors import ContinuationError
from yuccagauge.dispatch.sse import event_number

_NUMBER = re.compile('[0-9]{1,18}')


class EventOrder:
    """Checks that each event follows the last one that the caller has.

    Parameters
    ----------
    resumed_after
        The last event that the caller has from an earlier call; empty if it
        wants the whole stream.
    """

    def __init__(self, resumed_after: str = '') -> None:
        """Start with a caller that has no event of this call."""
        self._resumed_after = resumed_after
        self._last: int | None = None
        if _NUMBER.fullmatch(resumed_after):
            self._last = int(resumed_after)
        #: Whether the numbers so far have increased one by one.
        self._is_gapless = True
        self._is_new_response = True

    @property
    def is_numbered(self) -> bool:
        """Whether the caller can name an event to continue after."""
        return self._last is not None

    @property
    def last_event_id(self) -> str:
        """The last event that the caller has; empty if it has none."""
        if self._last is None:
            return self._resumed_after
        return str(self._last)

    def start_response(self) -> None:
        """Expect the next event from another response."""
        self._is_new_response = True

    def accept(self, event: bytes) -> None:
        """Take the next event; one without a number is in order.

        The numbers of a stream increase. If they have done so one by one, a
        response that continues the stream starts with the next number.

        Raises
        ------
        ContinuationError
            If the event comes again, or events before it are missing.
        """
        number = event_number(event)
        if number is None:
            return
        if self._last is not None:
            self._check(number, self._last)
        self._last = number
        self._is_new_response = False

    def _check(self, number: int, last: int) -> None:
        is_next = number == last + 1
        must_be_next = self._is_new_response and self._is_gapless
        if number <= last or (must_be_next and not is_next):
            raise ContinuationError(f'event {number} does not follow {last}')
        self._is_gapless = self._is_gapless and is_next
