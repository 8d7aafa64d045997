"""Notices that the store came back from a copy.

What a router keeps in the store may then be lost, and has to be written again.
"""

from collections.abc import Callable

from yuccagauge.directory.position import UNKNOWN_ERA


class EraWatch:
    """Tells each rise of the store's era once.

    Parameters
    ----------
    era
        Returns the newest era that is known.
    """

    def __init__(self, era: Callable[[], int]) -> None:
        """Know no era."""
        self._era = era
        self._seen = UNKNOWN_ERA

    def take_rise(self) -> bool:
        """Return whether the era has risen since the last call."""
        seen, self._seen = self._seen, max(self._seen, self._era())
        return UNKNOWN_ERA < seen < self._seen
