"""The command that sends traffic to routers."""

from yuccagauge.commands.base import command


@command('load')
def load(
    routers: str,
    profile: str,
    requests: int = 500,
    seconds: int = 20,
    seed: int = 1,
) -> None:
    """Send a user's traffic to routers, given as ADDRESS:PORT,..."""
    from yuccagauge.loadgen.command import run

    addresses = (routers,) if isinstance(routers, str) else tuple(routers)
    run(addresses, profile, requests, seconds, seed)
