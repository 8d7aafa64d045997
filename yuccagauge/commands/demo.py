"""The command that demonstrates the program."""

from yuccagauge.commands.base import command


@command('demo')
def demo(hold: int = 0) -> None:
    """Run stand-ins and three routers, send traffic, print figures.

    Parameters
    ----------
    hold
        Seconds for which the fleet goes on, for trying other commands.
    """
    from yuccagauge.demo.run import run

    run(hold)
