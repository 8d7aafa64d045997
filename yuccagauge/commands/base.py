"""The table of commands and the decorator that fills it."""

from collections.abc import Callable
from typing import TypeVar

FunctionT = TypeVar('FunctionT', bound=Callable[..., object])

#: Functions by the name that stands on the command line.
COMMANDS: dict[str, Callable[..., object]] = {}

#: Exit code after a mistake in arguments, settings or documents.
EXIT_MISTAKE = 2


def command(name: str) -> Callable[[FunctionT], FunctionT]:
    """Return a decorator that adds a function as a command."""

    def register(function: FunctionT) -> FunctionT:
        if name in COMMANDS:
            raise ValueError(f'command {name!r} is registered twice')
        COMMANDS[name] = function
        return function

    return register
