"""Replace one rule of the code, to see that it is needed."""

import contextlib
import importlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from yuccagauge.modelcheck.values import clear_memory


@dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """The code without one guard."""

    #: What is missing, in a few words.
    name: str
    #: Module and dotted name of the guard, as in ``package.module:Class.f``.
    guard: str
    #: What stands in its place.
    replacement: Callable[..., Any]
    #: Which of the specification's bounds show the fault.
    bounds: int = 0


@contextlib.contextmanager
def applied(mutant: Mutant) -> Iterator[None]:
    """Run the code with the guard replaced."""
    module_name, _, path = mutant.guard.partition(':')
    owner: Any = importlib.import_module(module_name)
    *parents, name = path.split('.')
    for parent in parents:
        owner = getattr(owner, parent)
    original = getattr(owner, name)
    setattr(owner, name, mutant.replacement)
    clear_memory()
    try:
        yield
    finally:
        setattr(owner, name, original)
        clear_memory()
