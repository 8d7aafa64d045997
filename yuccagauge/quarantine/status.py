"""How a request may be run after its crashes."""

import enum

#: Crashes after which a request is a suspect, which shares no engine with other
#: suspects.
SUSPECT_CRASHES = 2

#: Crashes after which a request is refused.
REFUSED_CRASHES = 3


@enum.unique
class QuarantineStatus(enum.Enum):
    """How a request may be run."""

    CLEAR = 'clear'
    #: The request may run only where no other suspect runs.
    SUSPECT = 'suspect'
    REFUSED = 'refused'


def status_after(crashes: int) -> QuarantineStatus:
    """Return how a request may be run after a number of crashes."""
    if crashes < SUSPECT_CRASHES:
        return QuarantineStatus.CLEAR
    if crashes < REFUSED_CRASHES:
        return QuarantineStatus.SUSPECT
    return QuarantineStatus.REFUSED
