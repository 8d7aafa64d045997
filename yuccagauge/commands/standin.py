"""The command that runs one stand-in."""

from yuccagauge.commands.base import command


@command('standin')
def standin(kind: str, settings: str) -> None:
    """Run a stand-in of one kind until it is told to end by SIGTERM."""
    from yuccagauge.standins.process import run

    run(kind, settings)
