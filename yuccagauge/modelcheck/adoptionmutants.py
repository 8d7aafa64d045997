"""The mutants of the adoption rules, one for each guard."""

from yuccagauge.adoption.replay import ConfigState, apply_record
from yuccagauge.clock import Millis
from yuccagauge.logstream.base import LogRecord
from yuccagauge.modelcheck.mutants import Mutant

_SPECIFICATION = 'yuccagauge.modelcheck.adoptionspec'
_REPLAY = 'yuccagauge.adoption.replay'


def _skip_gap(state: ConfigState, first_offset: int) -> ConfigState:
    """Go on after trimmed records as if nothing had been in them."""
    while state.position < first_offset:
        record = LogRecord(offset=state.position, time=Millis(0), payload=b'')
        state = apply_record(state, record)
    return state


#: One mutant for each guard.
ADOPTION_MUTANTS = (
    Mutant(
        name='a publication replaces any version',
        guard=f'{_REPLAY}:replaces_in_force',
        replacement=lambda publication, base: True,
    ),
    Mutant(
        name='the digest is not compared',
        guard=f'{_REPLAY}:matches_digest',
        replacement=lambda sections, publication: True,
        bounds=1,
    ),
    Mutant(
        name='a checkpoint counts although records after it are missing',
        guard=f'{_REPLAY}:has_records_since',
        replacement=lambda state, snapshot: True,
        bounds=2,
    ),
    Mutant(
        name='an old offer moves a reader back',
        guard=f'{_REPLAY}:is_ahead',
        replacement=lambda state, snapshot: True,
        bounds=3,
    ),
    Mutant(
        name='a lower version replaces a higher one',
        guard=f'{_REPLAY}:is_higher',
        replacement=lambda state, snapshot: True,
        bounds=3,
    ),
    Mutant(
        name='trimmed records go unnoticed',
        guard=f'{_SPECIFICATION}:skip_trimmed_records',
        replacement=_skip_gap,
        bounds=2,
    ),
)
