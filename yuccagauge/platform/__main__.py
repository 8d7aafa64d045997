"""Run a relay on the platform until SIGTERM."""

import os
import sys

from twisted.internet import epollreactor

#: Environment variable that holds the path of the settings file.
_SETTINGS_VARIABLE = 'YUCCAGAUGE_BOOT'


def main() -> None:
    """Run one relay; exit with a one-line message on invalid settings."""
    epollreactor.install()
    from yuccagauge.errors import SettingsError
    from yuccagauge.platform.adapter import build_adapter
    from yuccagauge.relay.process import run

    try:
        run(os.environ[_SETTINGS_VARIABLE], build_adapter)
    except SettingsError as error:
        sys.exit(f'yuccagauge: {error}')


if __name__ == '__main__':
    main()
