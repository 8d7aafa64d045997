"""The command that measures the search for guilty prompt parts."""

import statistics
import sys

from yuccagauge.commands.base import command


@command('measure-parts')
def measure_parts(seeds: int = 20) -> None:
    """Print crashes, late sends and refused sound requests by workload."""
    from yuccagauge.clock import Millis  # noqa: PLC0415
    from yuccagauge.quarantine.measure import (  # noqa: PLC0415
        PartSimulation,
        PartWorkload,
    )

    workloads = {
        'share 0.05': PartWorkload(),
        'share 0.01': PartWorkload(guilty_share=0.01),
        'share 0.20': PartWorkload(guilty_share=0.2),
        'two parts, 0.05': PartWorkload(guilty_parts=2),
        'other crash each 2 s': PartWorkload(other_crash_period=Millis(2000)),
        'no guilty part, crash each 2 s': PartWorkload(
            guilty_share=0, other_crash_period=Millis(2000)
        ),
        'no guilty part, crash each 1 s': PartWorkload(
            guilty_share=0, other_crash_period=Millis(1000)
        ),
        'three routers': PartWorkload(routers=3),
        'hundred routers': PartWorkload(routers=100),
    }
    write = sys.stdout.write
    write('crashes mean  most  late sends most  sound refused  workload\n')
    for name, workload in workloads.items():
        outcomes = [
            PartSimulation(workload, seed).run() for seed in range(seeds)
        ]
        crashes = [each.crashes for each in outcomes]
        refused = sum(each.refused for each in outcomes)
        sound = sum(each.sound for each in outcomes)
        write(
            f'{statistics.mean(crashes):12.1f} {max(crashes):5} '
            f'{max(each.late_sends for each in outcomes):16} '
            f'{refused / sound:13.4f}  {name}\n'
        )
