"""The command that checks the protocols exhaustively."""

import sys

from yuccagauge.commands.base import command

_EXIT_VIOLATED = 1


@command('model')
def model(short: bool = False) -> None:
    """Explore all specifications and their mutants to the stated bounds.

    The exit code is 1 if a property is violated, an exploration is not
    complete, or a mutant is not caught.
    """
    from yuccagauge.modelcheck.run import check_all  # noqa: PLC0415

    summary = check_all(_write, short=short)
    if not summary.is_good:
        sys.exit(_EXIT_VIOLATED)


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
