"""What the servers of a run state of their process, decided by its seed."""

from dataclasses import dataclass
from random import Random

ENTRY = 'entry'
REPORT = 'report'
EPOCH = 'epoch'

#: The start in the entry and in the report; the epoch of the cache events.
STATEMENTS = (ENTRY, REPORT, EPOCH)
_STARTS = ((ENTRY, REPORT), (ENTRY,), (REPORT,), ())
_EPOCH_SHARE = 0.5

#: Which processes make the second choice: none, those of every second server,
#: or those of the second software version.
_SPREADS = ('none', 'none', 'servers', 'software')
_SECOND_SOFTWARE = 'v2'


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """What the servers of a run state, and whether entries are removed."""

    first: frozenset[str]
    second: frozenset[str]
    spread: str
    #: Whether entries of servers that live are removed and come again.
    removes_entries: bool

    def of(self, server: int, software: str) -> frozenset[str]:
        """Return the statements of a process."""
        is_second = {
            'none': False,
            'servers': server % 2 == 1,
            'software': software == _SECOND_SOFTWARE,
        }
        return self.second if is_second[self.spread] else self.first

    def describe(self) -> dict[str, str | bool]:
        """Return the choice as a run prints it."""
        found: dict[str, str | bool] = {
            'states': describe_statements(self.first),
            'removes entries': self.removes_entries,
        }
        if self.spread != 'none':
            second = describe_statements(self.second)
            found['states otherwise'] = f'{second}, by {self.spread}'
        return found


def describe_statements(statements: frozenset[str]) -> str:
    """Return statements as the option ``--states`` names them."""
    return ','.join(name for name in STATEMENTS if name in statements) or '-'


def parse_statements(text: str) -> frozenset[str]:
    """Return what the option ``--states`` names."""
    names = frozenset(text.split(',')) - {'-'}
    unknown = names - frozenset(STATEMENTS)
    if unknown:
        raise ValueError(f'no such statement: {", ".join(sorted(unknown))}')
    return names


def uniform_choice(names: frozenset[str], *, removes_entries: bool) -> Choice:
    """Return the choice that all processes state the same."""
    return Choice(
        first=names,
        second=names,
        spread='none',
        removes_entries=removes_entries,
    )


def choose(seed: int) -> Choice:
    """Return what a seed chooses."""
    # Independent of the plan, so that a seed keeps requests and kills.
    random = Random(f'statements/{seed}')
    return Choice(
        first=_draw(random),
        second=_draw(random),
        spread=random.choice(_SPREADS),
        removes_entries=random.choice((True, False)),
    )


def _draw(random: Random) -> frozenset[str]:
    names = frozenset(random.choice(_STARTS))
    return names | {EPOCH} if random.random() < _EPOCH_SHARE else names
