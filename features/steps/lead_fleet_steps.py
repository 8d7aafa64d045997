"""Steps for the leader of a fleet of whole routers, in virtual time."""

import dataclasses
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features import rollout_engines
from features.engine_fleet import EngineFleet
from yuccagauge.relay.adapter import PlatformAdapter

#: Longest time until a router takes the lease, and until a router that
#: starts is ready, in seconds.
_LEADER_S = 10
_READY_S = 5

_STEP_S = 0.01


class LeadFleet(EngineFleet):
    """Routers whose store takes the records of the leader lease."""

    def __init__(self, routers: int, servers: int) -> None:
        """Start without a record of the lease."""
        self.lease_store = rollout_engines.SimulatedStore()
        super().__init__(routers, servers)

    def more_settings(self) -> dict[str, dict[str, str]]:
        """Return the settings of engines that check fences."""
        return {'weights': {'engines_check_fences': 'yes'}}

    def run_until(self, condition: Any, limit_s: float) -> float:
        """Let time pass until the condition holds; return how much did."""
        start = self.network.reactor.seconds()
        while not condition():
            waited = self.network.reactor.seconds() - start
            assert waited <= limit_s, waited
            self.run(_STEP_S)
        return self.network.reactor.seconds() - start

    def _build_adapter(
        self, settings: Any, reactor: Any, pool: Any
    ) -> PlatformAdapter:
        adapter = super()._build_adapter(settings, reactor, pool)
        return dataclasses.replace(adapter, lease_store=self.lease_store)


@given('{count:d} routers of which one leads')
def start_fleet(context: Context, count: int) -> None:
    """Start the routers and wait for a leader."""
    context.fleet = LeadFleet(count, servers=2)
    context.fleet.run(_LEADER_S)
    context.former_leader = context.fleet.lease_store.holders[-1]


@when('all routers lose power for {seconds:g} s')
def lose_power(context: Context, seconds: float) -> None:
    """Kill all routers at once and start them later."""
    fleet = context.fleet
    for name in fleet.router_names:
        fleet.kill_router(name)
    fleet.run(seconds)
    for name in fleet.router_names:
        fleet.start_router(name)


@then(
    'the former leader writes a record within {seconds:g} s after it is ready'
)
def check_leads(context: Context, seconds: float) -> None:
    """Guard against waits for a lease that the dead process held."""
    fleet = context.fleet
    holders = fleet.lease_store.holders
    count = len(holders)
    router = fleet.router(context.former_leader)
    fleet.run_until(lambda: router.is_ready, _READY_S)
    waited = fleet.run_until(lambda: len(holders) > count, _LEADER_S)
    assert waited <= seconds, waited
    assert holders[-1] == context.former_leader, holders[-1]
