"""Run a router as a process of its own."""

import json
import sys

from twisted.internet import reactor

from yuccagauge.daemon.router import Router
from yuccagauge.settings.process import load_router_settings
from yuccagauge.telemetry.journal import start_logging


def run(settings: str) -> None:
    """Serve until SIGTERM, then finish what was accepted.

    The bound addresses are printed as one line of JSON.

    Raises
    ------
    SettingsError
        If anything in the settings file is wrong.
    """
    loaded = load_router_settings(settings)
    start_logging()
    router = Router(loaded, reactor)
    router.start()
    callers, admin = router.endpoints
    ready = {
        'router': loaded.router.name,
        'listen': str(callers),
        'admin_listen': str(admin),
    }
    sys.stdout.write(f'{json.dumps(ready)}\n')
    sys.stdout.flush()
    reactor.addSystemEventTrigger('before', 'shutdown', router.leave)
    reactor.run()
