"""The command that runs a router."""

from yuccagauge.commands.base import command


@command('router')
def router(settings: str) -> None:
    """Run a router until SIGTERM, then finish its requests."""
    from yuccagauge.daemon.process import run

    run(settings)
