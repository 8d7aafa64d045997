"""The mutants of the claim rules, one for each guard."""

from yuccagauge.claims.ledger import ClaimResult
from yuccagauge.modelcheck.mutants import Mutant

_SPECIFICATION = 'yuccagauge.modelcheck.claimspec'
_LEDGER = 'yuccagauge.claims.ledger'

#: One mutant for each guard.
CLAIM_MUTANTS = (
    Mutant(
        name='any claim takes the key',
        guard=f'{_LEDGER}:is_free',
        replacement=lambda entry: True,
    ),
    Mutant(
        name='a call is sent before its claim is read back',
        guard=f'{_SPECIFICATION}:may_send',
        replacement=lambda result: (
            result in {ClaimResult.WON, ClaimResult.FREE}
        ),
    ),
    Mutant(
        name='anyone releases the key',
        guard=f'{_LEDGER}:is_owner',
        replacement=lambda entry, claim_id: True,
    ),
    Mutant(
        name='released ids are forgotten',
        guard=f'{_LEDGER}:was_released',
        replacement=lambda claim_id, released: False,
    ),
    Mutant(
        name='old keys do not expire',
        guard=f'{_LEDGER}:is_expired',
        replacement=lambda key_time, floor: False,
        bounds=2,
    ),
    Mutant(
        name='keys of the future are claimed',
        guard=f'{_LEDGER}:is_early',
        replacement=lambda key_time, log_time: False,
        bounds=4,
    ),
    Mutant(
        name='a claim is written before its key time is near',
        guard=f'{_SPECIFICATION}:may_write',
        replacement=lambda ledger, claim: True,
        bounds=4,
    ),
    Mutant(
        name='trimmed records go unnoticed',
        guard=f'{_LEDGER}:Ledger.read_gap',
        replacement=lambda ledger: None,
        bounds=2,
    ),
    Mutant(
        name='a re-sent request uses the same claim id',
        guard=f'{_SPECIFICATION}:claim_number',
        replacement=lambda attempt: 1,
    ),
    Mutant(
        name='a claim is released after the call was sent',
        guard=f'{_SPECIFICATION}:may_release',
        replacement=lambda phase: phase in {'claiming', 'granted', 'sent'},
    ),
)
