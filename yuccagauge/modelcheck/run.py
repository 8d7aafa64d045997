"""Check all specifications and all mutants, and report line by line."""

import dataclasses
import importlib
import pkgutil
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from yuccagauge import modelcheck
from yuccagauge.modelcheck.base import SPECIFICATIONS
from yuccagauge.modelcheck.explorer import Exploration, explore
from yuccagauge.modelcheck.mutants import applied
from yuccagauge.modelcheck.values import clear_memory

#: Largest number of states of one exploration.
_MAXIMUM_STATES = 3_000_000

Write = Callable[[str], object]


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """What a run over all specifications found."""

    violations: int
    mutants: int
    caught: int

    @property
    def is_good(self) -> bool:
        """Whether every property holds and every mutant is caught."""
        return not self.violations and self.caught == self.mutants


def check_all(write: Write, *, short: bool = False) -> Summary:
    """Explore every specification and every mutant.

    Parameters
    ----------
    write
        Takes the report, one line at a time.
    short
        Explore the small bounds only, without mutants.
    """
    for module in pkgutil.iter_modules(modelcheck.__path__):
        importlib.import_module(f'{modelcheck.__name__}.{module.name}')
    violations = mutants = caught = 0
    for name in SPECIFICATIONS.names:
        kind = SPECIFICATIONS.get(name)
        for bounds in kind.short_bounds if short else kind.bounds:
            found = _check(kind, bounds, write)
            violations += found.violated is not None or not found.is_complete
        for mutant in () if short else kind.mutants:
            mutants += 1
            caught += _check_mutant(kind, mutant, write)
    if not short:
        write(f'mutants caught: {caught} of {mutants}')
    return Summary(violations=violations, mutants=mutants, caught=caught)


def _check(kind: Any, bounds: Any, write: Write) -> Exploration:
    clear_memory()
    started = time.monotonic()
    found = explore(kind(bounds), maximum_states=_MAXIMUM_STATES)
    seconds = time.monotonic() - started
    write(f'{kind.name}: {_describe(bounds)}')
    completeness = 'all states' if found.is_complete else 'incomplete'
    write(
        f'  {found.states} states, depth {found.depth}, {completeness}, '
        f'{seconds:.1f} s',
    )
    if found.violated is None:
        for title in kind.properties:
            write(f'  holds: {title}')
    else:
        _write_violation(found, write)
    return found


def _check_mutant(kind: Any, mutant: Any, write: Write) -> bool:
    bounds = kind.bounds[mutant.bounds]
    with applied(mutant):
        found = explore(kind(bounds), maximum_states=_MAXIMUM_STATES)
    if found.violated is None:
        write(f'{kind.name}: mutant NOT caught: {mutant.name}')
        return False
    write(
        f'{kind.name}: mutant caught: {mutant.name} '
        f'(violates "{found.violated}" after {len(found.trace)} steps, '
        f'{found.states} states)',
    )
    return True


def _write_violation(found: Exploration, write: Write) -> None:
    write(f'  VIOLATED: {found.violated}, after')
    for number, action in enumerate(found.trace, 1):
        write(f'    {number}. {action}')


def _describe(bounds: Any) -> str:
    return ', '.join(
        f'{field.name}={getattr(bounds, field.name)}'
        for field in dataclasses.fields(bounds)
    )
