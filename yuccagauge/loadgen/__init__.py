"""Seeded traffic like that of the users, with checks of each answer."""

import importlib
import pkgutil


def load_profiles() -> None:
    """Import all modules of the package, so that profiles register."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')
