"""Run workloads and collect the results."""

from collections.abc import Callable, Sequence

from yuccagauge.bench.simulation import Simulation
from yuccagauge.bench.targets import (
    BASELINES,
    MEASURED_POLICY,
    ORACLE,
    check_targets,
)
from yuccagauge.bench.trace import make_trace
from yuccagauge.bench.workload import Workload

#: Policies that a run compares unless told otherwise.
POLICIES = (MEASURED_POLICY, *BASELINES, ORACLE)


def run_workload(
    workload: Workload,
    seed: int,
    policies: Sequence[str] = POLICIES,
) -> dict[str, object]:
    """Run each policy on the same requests and return all figures."""
    trace = make_trace(workload, seed)
    figures = {
        policy: Simulation(workload, trace, policy, seed).run().figures()
        for policy in policies
    }
    targets = check_targets(workload, figures)
    return {
        'workload': workload.workload.name,
        'user': workload.workload.user,
        'first_measure': workload.workload.first_measure,
        'policies': figures,
        'targets': [target.as_json() for target in targets],
    }


def run_workloads(
    workloads: Sequence[Workload],
    seed: int,
    policies: Sequence[str],
    on_result: Callable[[dict[str, object]], None],
) -> dict[str, object]:
    """Run several workloads; ``on_result`` gets each as it is done."""
    found: list[dict[str, object]] = []
    for workload in workloads:
        found.append(run_workload(workload, seed, policies))
        on_result(found[-1])
    return {'seed': seed, 'workloads': found}
