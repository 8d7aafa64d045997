"""The command that tests the program under injected faults."""

from yuccagauge.commands.base import command


@command('soak')
def soak(seconds: int = 120, seed: int = 1) -> None:
    """Run routers and stand-ins under load and faults, then audit."""
    from yuccagauge.soak.run import run

    run(seconds, seed)
