"""Format of the records of the leader lease.

A record has the holder, a line feed, and the eras of ``LeaseEras`` with a comma
between. Older builds write no eras.
"""

from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.rollout.base import LeaseEras

#: Follows the name of the holder. A record without a value would remove the
#: key, so a record without a holder has it as well.
_HOLDER_TERMINATOR = '\n'
_SEPARATOR = ','


def encode(holder: str, eras: LeaseEras) -> str:
    """Return the value of a record."""
    value = f'{holder}{_HOLDER_TERMINATOR}'
    if eras.written == UNKNOWN_ERA:
        return value
    return f'{value}{eras.written}{_SEPARATOR}{eras.first}'


def decode(value: bytes) -> tuple[str, LeaseEras]:
    """Return the holder and the eras, which are unknown if they are unread."""
    holder, _, found = value.decode('utf-8', 'replace').partition(
        _HOLDER_TERMINATOR
    )
    written, _, first = found.partition(_SEPARATOR)
    try:
        return holder, LeaseEras(written=int(written), first=int(first))
    except ValueError:
        return holder, LeaseEras()
