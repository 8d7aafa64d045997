"""Run one stand-in as a process of its own."""

import json
import sys

from twisted.internet import reactor

from yuccagauge.settings.reader import read_file
from yuccagauge.standins import load_kinds
from yuccagauge.standins.base import STANDINS


def run(kind: str, settings: str) -> None:
    """Serve until SIGTERM or SIGINT.

    The kind and the bound address are printed as one line of JSON.

    Raises
    ------
    StandinNotFoundError
        If there is no such kind.
    SettingsError
        If anything in the settings file is wrong.
    """
    load_kinds()
    standin = STANDINS.get(kind)(read_file(settings), settings)
    standin.start()
    ready = {'kind': standin.name, 'address': str(standin.endpoint)}
    sys.stdout.write(f'{json.dumps(ready)}\n')
    sys.stdout.flush()
    reactor.addSystemEventTrigger('before', 'shutdown', standin.close)
    reactor.run()
