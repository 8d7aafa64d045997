"""The command line: a thin layer over ``yuccagauge.commands``."""

import sys

import fire

from yuccagauge.commands import load_commands
from yuccagauge.commands.base import EXIT_MISTAKE
from yuccagauge.errors import YuccagaugeError


def main() -> None:
    """Run one command; a user's mistake gives one line and exit code 2."""
    try:
        fire.Fire(load_commands(), name='yuccagauge')
    except YuccagaugeError as error:
        sys.stderr.write(f'yuccagauge: {error}\n')
        sys.exit(EXIT_MISTAKE)
