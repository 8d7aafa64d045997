"""A fault-injection test of routers and stand-ins as processes."""

import importlib
import pkgutil


def load_faults() -> None:
    """Import all modules of the package, so that faults register."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')
