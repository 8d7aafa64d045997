"""Faults that the soak test injects, and the plan of one run."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, ClassVar

from twisted.internet import defer

from yuccagauge.clock import Millis
from yuccagauge.demo.fleet import Fleet, FleetPlan
from yuccagauge.demo.ports import RouterPorts
from yuccagauge.errors import NotFoundError
from yuccagauge.loadgen.base import Profile
from yuccagauge.registry import Registry
from yuccagauge.settings.options import Endpoint
from yuccagauge.soak.relay import TcpRelay

#: The first fault, and the time without faults at the end.
_LEAD_MS = 2000
_TAIL_MS = 4000
_MEAN_GAP_MS = 700
_SHORTEST_MS = 300
_LONGEST_MS = 4000


class FaultNotFoundError(NotFoundError):
    """No fault has this name."""


class SoakFleet(Fleet):
    """A fleet in which each router reaches the platform through relays."""

    def __init__(
        self,
        directory: Path,
        profiles: tuple[Profile, ...],
        plan: FleetPlan,
    ) -> None:
        """Choose ports without starting anything."""
        super().__init__(directory, profiles, plan)
        self._relays: dict[str, list[TcpRelay]] = {}

    @property
    def relays(self) -> Mapping[str, Sequence[TcpRelay]]:
        """The links from the routers to the platform, by router."""
        return self._relays

    def platform_endpoint(self, kind: str, ports: RouterPorts) -> Endpoint:
        """Return a new relay of a router."""
        relay = TcpRelay(super().platform_endpoint(kind, ports))
        relay.start()
        self._relays.setdefault(ports.name, []).append(relay)
        return relay.endpoint

    @defer.inlineCallbacks
    def close(self) -> defer.Deferred[None]:
        """End all processes and relays."""
        yield super().close()
        for relays in self._relays.values():
            yield defer.gatherResults([relay.close() for relay in relays])


class Fault:
    """One kind of fault.

    Parameters
    ----------
    fleet
        What it is injected into.
    target
        The name of the process, or an empty text for the fleet.
    """

    name: ClassVar[str] = ''
    aliases: ClassVar[tuple[str, ...]] = ()
    #: How often it is chosen, relative to the other kinds.
    weight: ClassVar[int] = 1

    def __init__(self, fleet: SoakFleet, target: str) -> None:
        """Prepare without doing anything."""
        self._fleet = fleet
        self._target = target

    @classmethod
    def targets(cls, fleet: SoakFleet) -> tuple[str, ...]:
        """Return the names of all processes that it may hit."""
        raise NotImplementedError

    def begin(self) -> defer.Deferred[Any] | None:
        """Inject the fault."""
        raise NotImplementedError

    def end(self) -> defer.Deferred[Any] | None:
        """Take the fault back."""


#: All kinds of faults.
FAULTS: Registry[type[Fault]] = Registry('fault', FaultNotFoundError)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedFault:
    """One fault at its time."""

    at: Millis
    duration: Millis
    kind: str
    #: Chooses the target, from 0 to below 1.
    choice: float


def plan_faults(
    seed: int,
    duration: Millis,
    kinds: tuple[str, ...] = (),
) -> list[PlannedFault]:
    """Return the faults of a run in the order of their times.

    Parameters
    ----------
    seed
        Decides all faults.
    duration
        The length of the run.
    kinds
        The kinds to choose from; all if there are none.

    Raises
    ------
    FaultNotFoundError
        If there is no such kind.
    """
    random = Random(f'soak/{seed}')
    names = kinds or FAULTS.names
    weights = [FAULTS.get(name).weight for name in names]
    found: list[PlannedFault] = []
    at = float(_LEAD_MS)
    last = duration - _TAIL_MS
    while at < last:
        length = random.randint(_SHORTEST_MS, _LONGEST_MS)
        fault = PlannedFault(
            at=Millis(int(at)),
            duration=Millis(min(length, int(last - at) + _SHORTEST_MS)),
            kind=random.choices(names, weights)[0],
            choice=random.random(),
        )
        found.append(fault)
        at += random.expovariate(1 / _MEAN_GAP_MS)
    return found
