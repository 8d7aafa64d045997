"""Whether a server outlived the beginning of its answer. No I/O."""

from yuccagauge.clock import Millis
from yuccagauge.quarantine.parts import SOUND_OUTPUT_TIME

#: Longest time from the last bytes of a process to the end of its connection,
#: as the router reads them: both come one after the other on the same link.
END_DELAY = Millis(20)


class AnswerBeginning:
    """Finds the proof that the server lived after it had begun an answer.

    Load pattern: an engine crashes as it begins an answer, while this router is
    paused, the link is cut or the caller takes nothing. What the engine wrote
    before its end is read long after the beginning. The end of the connection
    is right behind it, so that output counts only if no end follows.
    """

    def __init__(self) -> None:
        """Start before the first output."""
        self._began_at: Millis | None = None
        #: When the first output was read that came long after the beginning.
        self._late_at: Millis | None = None
        self._is_outlived = False
        self._is_paused = False

    @property
    def began_at(self) -> Millis | None:
        """When the first output was read; ``None`` before."""
        return self._began_at

    @property
    def is_outlived(self) -> bool:
        """Whether it is proven that the server outlived the beginning."""
        return self._is_outlived

    def pause(self) -> None:
        """Read nothing, so that an end would not be noticed."""
        self._is_paused = True
        self._late_at = None

    def resume(self) -> None:
        """Read again."""
        self._is_paused = False

    def record_output(self, now: Millis) -> None:
        """Record that output was read."""
        if self._began_at is None:
            self._began_at = now
        self._check_late(now)
        is_late = now - self._began_at >= SOUND_OUTPUT_TIME
        if is_late and self._late_at is None and not self._is_paused:
            self._late_at = now

    def record_end(self, now: Millis) -> None:
        """Record that the end was read; more than one call has no effect."""
        self._check_late(now)
        self._late_at = None

    def record_outlived(self) -> None:
        """Record that there is another proof."""
        self._is_outlived = True

    def _check_late(self, now: Millis) -> None:
        """Conclude from late output that no end has followed until now."""
        if self._late_at is not None and now - self._late_at >= END_DELAY:
            self._is_outlived = True
