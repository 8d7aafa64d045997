"""Commands that measure the protocols between routers."""

from yuccagauge.commands.base import command


@command('measure-membership')
def measure_membership(
    sizes: str = '8,50,150,450',
    seed: int = 1,
) -> str:
    """Measure detection, false suspicions and traffic by a simulation."""
    from yuccagauge.membership.measure import measure_sizes, render

    numbers = sizes if isinstance(sizes, (tuple, list)) else (sizes,)
    if isinstance(sizes, str):
        numbers = tuple(int(size) for size in sizes.split(','))
    return render(measure_sizes(tuple(numbers), seed))


@command('measure-peering')
def measure_peering() -> str:
    """Measure the exchange between routers against a node's budget."""
    from yuccagauge.peering.measure import measure_peering as measure

    return measure()
