"""Placement policies."""

from yuccagauge.placement.base import (
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)
from yuccagauge.placement.cost import CostPolicy
from yuccagauge.placement.leastloaded import LeastLoadedPolicy
from yuccagauge.placement.prefixtree import PrefixTreePolicy
from yuccagauge.placement.rendezvous import RendezvousPolicy
from yuccagauge.placement.roundrobin import RoundRobinPolicy
from yuccagauge.placement.uniform import RandomPolicy

__all__ = (
    'Candidate',
    'CostPolicy',
    'Decision',
    'LeastLoadedPolicy',
    'PlacementPolicy',
    'PlacementRequest',
    'PrefixTreePolicy',
    'RandomPolicy',
    'RendezvousPolicy',
    'RoundRobinPolicy',
    'placement_policies',
)
