"""The commands that measure a router's own cost."""

from yuccagauge.commands.base import command


@command('measure-overhead')
def measure_overhead(
    seconds: float = 10,
    rate: float = 84,
    tokens: int = 208,
    prompt_tokens: int = 4000,
) -> str:
    """Compare calls through a router with calls to engines."""
    from yuccagauge.overhead.load import LoadShape
    from yuccagauge.overhead.measure import measure

    shape = LoadShape(
        rate=rate,
        tokens=tokens,
        prompt_tokens=prompt_tokens,
        seconds=seconds,
        # Streams of 208 tokens take 3.1 s; then their number is steady.
        warm_up=4,
    )
    return measure(shape).as_text()


@command('overhead-engine')
def overhead_engine() -> None:
    """Run the paced engine that measure-overhead loads."""
    from yuccagauge.overhead.engine import run_engine

    run_engine()
