"""Positions in a store that may come back from a copy of the past."""

from dataclasses import dataclass

#: The era before any answer of the store that names one.
UNKNOWN_ERA = -1


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """An offset of a topic, in the era in which the store gave it out.

    When the store comes back from a copy, it gives offsets out again, and the
    era rises. Positions of a later era therefore follow all earlier ones.
    """

    era: int
    offset: int
