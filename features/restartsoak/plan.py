"""What one run does, decided by its seed: requests and disturbances."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from features.restartsoak.statements import Choice, choose

ENGINES = 4
SERVERS = 3
ROUTERS = 3
_CLIENTS = 32

#: How long a killed process is down.
_DOWN_SECONDS = (0, 0.1, 0.5, 1.2)
#: From the start of a process to its entry in the store.
_LONGEST_LAG_SECONDS = 0.8
_SHORTEST_PAUSE_SECONDS = 0.3
_LONGEST_PAUSE_SECONDS = 1.3
#: From the end of a disturbance until the same process may be hit again.
_RECOVERY_SECONDS = 0.8
_LEAD_SECONDS = 0.6
#: From one group of kills and pauses to the next.
_GAPS_SECONDS = ((0.15, 0.5), (0.8, 1.6), (0.8, 1.6))
#: How often routers are paused as servers are killed.
_PAUSED_SHARE = 0.8
_SOFTWARE_SHARE = 0.3
#: From one removal of an entry to the next, and until it is back.
_REMOVAL_GAP_SECONDS = (0.7, 2)
_REMOVED_SECONDS = (0.2, 2)

#: Routes with their share of the requests.
ROUTES = (('talk', 11), ('once', 3), ('read', 3), ('book', 3))
STREAMS = frozenset(('talk', 'once'))
_UNFRAMED_SHARE = 0.6
_LEAVING_SHARE = 0.15


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedRequest:
    """One request, and the answer that its server is to write."""

    label: str
    route: str
    pieces: int
    #: Whether the answer has neither a length nor chunks.
    is_unframed: bool
    #: Time from one piece to the next.
    gap: float
    #: Time from the end of the request before to this one.
    rest: float
    #: The client closes its first connection amid the answer after so many
    #: pieces, and takes the stream up at another router; 0 for never.
    leaves_after: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """SIGKILL of one server, and its next start under the same id."""

    at: float
    server: int
    down: float
    lag: float
    changes_software: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Pause:
    """SIGSTOP and SIGCONT of one router."""

    at: float
    router: int
    duration: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Removal:
    """A time without the entry of a server that lives."""

    at: float
    server: int
    duration: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """All that the seed decides."""

    id_step: int
    requests: tuple[tuple[PlannedRequest, ...], ...]
    kills: tuple[Kill, ...]
    pauses: tuple[Pause, ...]
    removals: tuple[Removal, ...]
    choice: Choice


class _Planner:
    """Draws the disturbances of one run."""

    def __init__(self, random: Random) -> None:
        """Start without disturbances."""
        self._random = random
        self._free_at: dict[tuple[str, int], float] = {}
        self.kills: list[Kill] = []
        self.pauses: list[Pause] = []

    def plan(self, seconds: float) -> None:
        """Draw all; some come in series and overlap."""
        at = _LEAD_SECONDS
        while at < seconds:
            self._plan_kills(at)
            if self._random.random() < _PAUSED_SHARE:
                self._plan_pauses(at)
            at += self._random.uniform(*self._random.choice(_GAPS_SECONDS))

    def _plan_kills(self, at: float) -> None:
        count = self._random.choice((1, 1, 2))
        for server in self._free('server', ENGINES + SERVERS, at, count):
            kill = Kill(
                at=at + self._random.uniform(0, 0.1),
                server=server,
                down=self._random.choice(_DOWN_SECONDS),
                lag=self._random.uniform(0, _LONGEST_LAG_SECONDS),
                changes_software=self._random.random() < _SOFTWARE_SHARE,
            )
            end = kill.at + kill.down + kill.lag + _RECOVERY_SECONDS
            self._free_at['server', server] = end
            self.kills.append(kill)

    def _plan_pauses(self, at: float) -> None:
        count = self._random.choice((1, 1, 2, 3))
        for router in self._free('router', ROUTERS, at, count):
            pause = Pause(
                at=at + self._random.uniform(-0.15, 0.1),
                router=router,
                duration=self._random.uniform(
                    _SHORTEST_PAUSE_SECONDS, _LONGEST_PAUSE_SECONDS
                ),
            )
            self._free_at['router', router] = pause.at + pause.duration + 0.2
            self.pauses.append(pause)

    def _free(self, kind: str, total: int, at: float, count: int) -> list[int]:
        free = [
            number
            for number in range(total)
            if self._free_at.get((kind, number), 0) <= at
        ]
        return self._random.sample(free, min(count, len(free)))


def plan_run(seed: int, seconds: float, choice: Choice | None = None) -> Plan:
    """Return what a run of this length does; the seed chooses if nobody does."""
    random = Random(f'restarts/{seed}')
    planner = _Planner(random)
    planner.plan(seconds)
    return Plan(
        id_step=random.choice((1, 3)),
        requests=tuple(
            _plan_client(random, client, seconds) for client in range(_CLIENTS)
        ),
        kills=tuple(planner.kills),
        pauses=tuple(planner.pauses),
        removals=tuple(_plan_removals(seed, seconds)),
        choice=choose(seed) if choice is None else choice,
    )


def _plan_removals(seed: int, seconds: float) -> Iterator[Removal]:
    random = Random(f'removals/{seed}')
    at = _LEAD_SECONDS
    while at < seconds:
        yield Removal(
            at=at,
            server=random.randrange(ENGINES + SERVERS),
            duration=random.uniform(*_REMOVED_SECONDS),
        )
        at += random.uniform(*_REMOVAL_GAP_SECONDS)


def _plan_client(
    random: Random, client: int, seconds: float
) -> tuple[PlannedRequest, ...]:
    found: list[PlannedRequest] = []
    names, weights = zip(*ROUTES, strict=True)
    length: float = 0
    while length < seconds:
        route = random.choices(names, weights)[0]
        leaves = route == 'talk' and random.random() < _LEAVING_SHARE
        request = PlannedRequest(
            label=f'{client}.{len(found)}',
            route=route,
            pieces=random.randint(12, 36),
            leaves_after=random.randint(1, 11) if leaves else 0,
            is_unframed=random.random() < _UNFRAMED_SHARE,
            gap=random.uniform(0.03, 0.07),
            rest=random.uniform(0, 0.2),
        )
        length += request.pieces * request.gap + request.rest
        found.append(request)
    return tuple(found)
