"""The command that measures the figures of the capacity page."""

import sys

from yuccagauge.commands.base import command
from yuccagauge.commands.bench import measure_decisions
from yuccagauge.commands.fleet import measure_membership, measure_peering
from yuccagauge.commands.measure_claims import measure_claims


@command('slopes')
def slopes() -> None:
    """Measure decisions, membership, the exchange and claims in turn."""
    sys.stdout.write('decisions\n')
    measure_decisions()
    sys.stdout.write('\nmembership\n')
    sys.stdout.write(f'{measure_membership()}\n')
    sys.stdout.write('\nexchange between routers\n')
    sys.stdout.write(f'{measure_peering()}\n')
    sys.stdout.write('\nclaims\n')
    measure_claims()
