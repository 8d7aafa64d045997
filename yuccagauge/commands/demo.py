"""The command that demonstrates the program."""

from yuccagauge.commands.base import command


@command('demo')
def demo() -> None:
    """Run stand-ins and three routers, send traffic, print figures."""
    from yuccagauge.demo.run import run

    run()
