"""Stand-ins for the platform and the backend servers, for tests and demos.

Every module of this package that defines a kind is imported by
``load_kinds``, so that the kinds register themselves.
"""

import importlib
import pkgutil


def load_kinds() -> None:
    """Import all modules of the package."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f'{__name__}.{module.name}')
