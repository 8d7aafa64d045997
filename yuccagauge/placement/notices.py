"""Notices by which the routers of a data centre share their placements."""

from collections import deque
from dataclasses import dataclass

from yuccagauge.cacheview.view import KEY_BYTES
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.prefixes.base import PrefixLevel, RequestPrefix

#: Bytes of a notice on the wire without its levels: engine index, tokens and
#: time.
NOTICE_HEADER_BYTES = 8

#: Bytes of each level on the wire: truncated digest, and tokens in 2 bytes
#: as a multiple of 16.
NOTICE_LEVEL_BYTES = 8

#: Maximum levels in a notice.
MAXIMUM_NOTICE_LEVELS = 16

#: Maximum notices in the outbox; beyond this the oldest are dropped.
MAXIMUM_QUEUED_NOTICES = 256

_MILLIS_PER_SECOND = 1000
_BURST_SECONDS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementNotice:
    """A placement decision, as it is sent to the other routers."""

    engine: EngineKey
    incarnation: str
    #: Selected levels of the prompt, shallowest first.
    levels: tuple[PrefixLevel, ...]
    #: Prompt tokens that the engine is expected to compute.
    missing_tokens: int
    placed_at: Millis

    @property
    def wire_bytes(self) -> int:
        """Size of the notice on the wire, in bytes."""
        return NOTICE_HEADER_BYTES + NOTICE_LEVEL_BYTES * len(self.levels)


class NoticeOutbox:
    """Queue of notices for peers, limited by a token bucket of bytes.

    Parameters
    ----------
    bytes_per_second
        Bytes that this router may send to each peer.
    """

    def __init__(self, bytes_per_second: float) -> None:
        """Create an empty queue with a full bucket."""
        self._rate = bytes_per_second
        self._available_bytes = bytes_per_second * _BURST_SECONDS
        self._refilled_at = Millis(0)
        self._queue: deque[PlacementNotice] = deque(
            maxlen=MAXIMUM_QUEUED_NOTICES
        )

    def set_rate(self, bytes_per_second: float) -> None:
        """Change the byte rate, such as after a change of the peer count."""
        self._rate = bytes_per_second

    def offer_notice(
        self,
        notice: PlacementNotice,
        importance: float,
        now: Millis,
    ) -> None:
        """Queue a notice, or drop it if the remaining budget is too small.

        ``importance`` is the share of the prompt that the engine has to
        compute. With less than a quarter of the budget left, the required
        importance rises as the rest shrinks.
        """
        capacity = self._rate * _BURST_SECONDS
        gained = self._rate * (now - self._refilled_at) / _MILLIS_PER_SECOND
        self._available_bytes = min(capacity, self._available_bytes + gained)
        self._refilled_at = now
        threshold = 1 - 4 * self._available_bytes / capacity if capacity else 1
        if notice.wire_bytes > self._available_bytes or importance < threshold:
            return
        self._available_bytes -= notice.wire_bytes
        self._queue.append(notice)

    def take_notices(self) -> tuple[PlacementNotice, ...]:
        """Return the queued notices and clear the queue."""
        taken = tuple(self._queue)
        self._queue.clear()
        return taken


def notice_levels(prefix: RequestPrefix) -> tuple[PrefixLevel, ...]:
    """Return the levels to put into the notice of a prompt.

    These are evenly spaced stable levels, which other prompts are likely to
    share, or all levels if the prompt has no stable ones. Digests are
    truncated to the length that cache views use as keys.
    """
    levels = prefix.levels[: prefix.stable_levels] or prefix.levels
    count = len(levels)
    if count > MAXIMUM_NOTICE_LEVELS:
        steps = MAXIMUM_NOTICE_LEVELS - 1
        levels = tuple(
            levels[(count - 1) * step // steps] for step in range(steps + 1)
        )
    return tuple(
        PrefixLevel(level.digest[:KEY_BYTES], level.tokens) for level in levels
    )
