"""Entry point of a relay process."""

import signal
import sys
from typing import Any

from yuccagauge.clock import SystemClock
from yuccagauge.relay.adapter import AdapterFactory
from yuccagauge.relay.router import RelayRouter
from yuccagauge.settings.relay import load_relay_settings
from yuccagauge.telemetry.journal import (
    log_state_change,
    start_bounded_logging,
)
from yuccagauge.telemetry.lines import BoundedLineHandler


def run(settings_path: str, build_adapter: AdapterFactory) -> None:
    """Run a router until SIGTERM, then complete the accepted calls.

    On SIGHUP the router checks the settings file again and logs changes.

    Raises
    ------
    SettingsError
        If the settings file is invalid.
    """
    from twisted.internet import reactor

    settings = load_relay_settings(settings_path)
    clock = SystemClock()
    handler = BoundedLineHandler(sys.stdout.fileno(), clock)
    start_bounded_logging(handler)
    router = RelayRouter(settings, reactor, clock, build_adapter)

    def reload(*_: Any) -> None:
        reactor.callFromThread(router.reload, settings_path)

    reactor.callWhenRunning(router.start)
    reactor.addSystemEventTrigger('before', 'shutdown', router.stop_gracefully)
    signal.signal(signal.SIGHUP, reload)
    reactor.run()
    log_state_change('router_stopped', router=settings.relay.name)
