"""The mutants of the adoption rules, one for each guard."""

from yuccagauge.adoption.fold import ConfigState, read_record
from yuccagauge.clock import Millis
from yuccagauge.logstream.base import LogRecord
from yuccagauge.modelcheck.mutants import Mutant

_SPECIFICATION = 'yuccagauge.modelcheck.adoptionspec'
_FOLD = 'yuccagauge.adoption.fold'


def _skip_gap(state: ConfigState, first_offset: int) -> ConfigState:
    """Go on after trimmed records as if nothing had been in them."""
    while state.position < first_offset:
        record = LogRecord(offset=state.position, time=Millis(0), payload=b'')
        state = read_record(state, record)
    return state


#: One mutant for each guard.
ADOPTION_MUTANTS = (
    Mutant(
        name='a publication replaces any version',
        guard=f'{_FOLD}:replaces_in_force',
        replacement=lambda publication, base: True,
    ),
    Mutant(
        name='the digest is not compared',
        guard=f'{_FOLD}:has_digest',
        replacement=lambda sections, publication: True,
        bounds=1,
    ),
    Mutant(
        name='a checkpoint counts although records after it are missing',
        guard=f'{_FOLD}:is_covered',
        replacement=lambda state, snapshot: True,
        bounds=2,
    ),
    Mutant(
        name='an old offer moves a reader back',
        guard=f'{_FOLD}:is_ahead',
        replacement=lambda state, snapshot: True,
        bounds=3,
    ),
    Mutant(
        name='a lower version replaces a higher one',
        guard=f'{_FOLD}:is_higher',
        replacement=lambda state, snapshot: True,
        bounds=3,
    ),
    Mutant(
        name='trimmed records go unnoticed',
        guard=f'{_SPECIFICATION}:read_gap',
        replacement=_skip_gap,
        bounds=2,
    ),
)
