"""Run a tool on the reactor, with an exit code that tells the truth."""

import sys
from collections.abc import Callable
from typing import Any

from twisted.internet import defer, task

_EXIT_INTERRUPTED = 1


def run_to_end(main: Callable[[], defer.Deferred[Any]]) -> None:
    """Run until the Deferred fires and leave the process.

    ``react`` leaves with 0 when a signal stops the reactor; a run that was
    interrupted has no result, so it must not look like a success.
    """
    ended: list[Any] = []

    def start(reactor: object) -> defer.Deferred[Any]:
        return main().addCallback(ended.append)

    try:
        task.react(start)
    except SystemExit as leaving:
        if not ended and not leaving.code:
            sys.stderr.write('yuccagauge: interrupted\n')
            sys.exit(_EXIT_INTERRUPTED)
        raise
