"""The commands of the program, one module for each family.

Every module of this package is imported when the program starts, so that
its commands register themselves. A module imports plotting and other slow
libraries only inside its functions.
"""

import importlib
import pkgutil
from collections.abc import Callable

from yuccagauge.commands.base import COMMANDS


def load_commands() -> dict[str, Callable[..., object]]:
    """Import all command modules and return their functions by name."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')
    return dict(COMMANDS)
