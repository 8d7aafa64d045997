"""The command that tests the program under injected faults."""

from yuccagauge.commands.base import command


@command('soak')
def soak(seconds: int = 120, seed: int = 1, faults: str = '') -> None:
    """Run under load and faults, all or those named, then audit."""
    from yuccagauge.soak.run import run

    names = faults.split(',') if isinstance(faults, str) else faults
    run(seconds, seed, tuple(name for name in names if name))
