"""What routers of a data centre tell each other about their placements."""

from collections import deque
from dataclasses import dataclass

from yuccagauge.cacheview.view import KEY_BYTES
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.prefixes.base import PrefixLevel, RequestPrefix

#: Bytes of a notice on the wire: engine index, tokens and time.
NOTICE_BYTES = 8

#: Bytes of each level on the wire: truncated digest, and tokens in 2 bytes
#: as a multiple of 16.
LEVEL_BYTES = 8

#: Levels that a notice carries.
MAXIMUM_NOTICE_LEVELS = 16

#: Notices that wait for the driver; the oldest are dropped beyond this.
MAXIMUM_WAITING = 256

_MILLIS_PER_SECOND = 1000
_BURST_SECONDS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementNotice:
    """One placement, as the other routers need to know it."""

    engine: EngineKey
    incarnation: str
    #: Some levels of the prompt, shallowest first.
    levels: tuple[PrefixLevel, ...]
    #: Tokens that the engine is expected to compute.
    missing_tokens: int
    placed_at: Millis

    @property
    def size(self) -> int:
        """Bytes on the wire."""
        return NOTICE_BYTES + LEVEL_BYTES * len(self.levels)


class NoticeOutbox:
    """Notices that fit into a budget, until the driver takes them.

    Parameters
    ----------
    bytes_per_second
        Bytes that this router may send to each peer.
    """

    def __init__(self, bytes_per_second: float) -> None:
        """Start with a full budget."""
        self._rate = bytes_per_second
        self._budget = bytes_per_second * _BURST_SECONDS
        self._updated = Millis(0)
        self._waiting: deque[PlacementNotice] = deque(maxlen=MAXIMUM_WAITING)

    def set_rate(self, bytes_per_second: float) -> None:
        """Change the budget, when the number of peers has changed."""
        self._rate = bytes_per_second

    def offer(
        self,
        notice: PlacementNotice,
        importance: float,
        now: Millis,
    ) -> None:
        """Queue a notice if the budget has room for its importance.

        ``importance`` is the share of the prompt that the engine has to
        compute. As the budget empties, notices have to be more important.
        """
        full = self._rate * _BURST_SECONDS
        gained = self._rate * (now - self._updated) / _MILLIS_PER_SECOND
        self._budget = min(full, self._budget + gained)
        self._updated = now
        threshold = 1 - 4 * self._budget / full if full else 1
        if notice.size > self._budget or importance < threshold:
            return
        self._budget -= notice.size
        self._waiting.append(notice)

    def take(self) -> tuple[PlacementNotice, ...]:
        """Return the waiting notices and forget them."""
        taken = tuple(self._waiting)
        self._waiting.clear()
        return taken


def notice_levels(prefix: RequestPrefix) -> tuple[PrefixLevel, ...]:
    """Return the levels that a notice carries, evenly from those shared.

    Digests are cut to the bytes by which cache views know levels.
    """
    shared = prefix.levels[: prefix.stable_levels] or prefix.levels
    count = len(shared)
    if count > MAXIMUM_NOTICE_LEVELS:
        steps = MAXIMUM_NOTICE_LEVELS - 1
        shared = tuple(
            shared[(count - 1) * step // steps] for step in range(steps + 1)
        )
    return tuple(
        PrefixLevel(level.digest[:KEY_BYTES], level.tokens) for level in shared
    )
