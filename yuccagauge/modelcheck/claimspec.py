"""At-most-once execution: one key, callers that send again, two routers.

Records travel in a network that delays, loses and doubles them; a record
that was sent may land in the log at any later step. Routers crash and read
the log again from its oldest record, which trimming moves. The callers'
clocks, and so the key's time, may be ahead of the log's clock. Ledger and
rules are those of ``yuccagauge.claims.ledger``.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from yuccagauge.claims.base import SKEW, Claim, Outcome, Record, Release
from yuccagauge.claims.ledger import ClaimResult, Ledger, may_send
from yuccagauge.clock import Millis
from yuccagauge.modelcheck.base import SPECIFICATIONS
from yuccagauge.modelcheck.claimmutants import CLAIM_MUTANTS
from yuccagauge.modelcheck.values import Value, intern

_KEY = bytes(16)
_FINGERPRINT = b'f' * 16
_OK = 200

#: Phases of an attempt; between them ``claiming``, ``granted``, ``sent``.
_NEW = 'new'
_OVER = 'over'


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimBounds:
    """How far the exploration goes."""

    #: Calls with the same key, by callers that send again.
    attempts: int = 2
    routers: int = 2
    #: Times a claim or release may land.
    copies: int = 2
    #: Records of the log, with the one it starts with.
    log_records: int = 4
    crashes: int = 1
    trims: int = 2
    #: Steps of the log's clock, each of SKEW.
    times: int = 1
    #: Times of the key, in units of SKEW after the log's first record.
    key_times: tuple[int, ...] = (0, 1, 2)


class Router(NamedTuple):
    """One router's view of the stream."""

    ledger: Value[Ledger]
    position: int


class Entry(NamedTuple):
    """One record of the log."""

    #: In units of SKEW.
    time: int
    #: Kind and attempt, as in ``claim 0``; empty for an empty batch.
    message: str


class World(NamedTuple):
    """The whole state."""

    now: int
    key_time: int
    first: int
    #: The retained records.
    log: tuple[Entry, ...]
    #: Messages on their way, with the copies that may still land.
    network: frozenset[tuple[str, int]]
    routers: tuple[Router, ...]
    #: Phase of each attempt.
    attempts: tuple[str, ...]
    #: Router of each attempt.
    places: tuple[int, ...]
    runs: int
    crashes: int
    trims: int

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self.first + len(self.log)


def claim_number(attempt: int) -> int:
    """Return what makes the claim ids of two attempts different."""
    return attempt + 1


def may_release(phase: str) -> bool:
    """Return whether an attempt may give its claim back: never once sent."""
    return phase in {'claiming', 'granted'}


def may_write(ledger: Ledger, claim: Claim) -> bool:
    """Return whether a router may write a claim with this key time."""
    return not ledger.is_early(claim)


@SPECIFICATIONS.register
class ClaimSpecification:
    """Claim and re-send; see the module's text."""

    name = 'claims'
    aliases = ()
    properties = (
        'a call runs at most once',
        'a released claim id holds no key',
        'routers that read the same records never both grant a key',
    )
    #: Three callers and copies; a crash; trimming; trimming with copies;
    #: a key from a clock that is far ahead.
    bounds = (
        ClaimBounds(attempts=3, crashes=0, trims=0, times=0, key_times=(0,)),
        ClaimBounds(trims=1, copies=1, times=0, key_times=(1,)),
        ClaimBounds(crashes=0, copies=1, key_times=(0, 1)),
        ClaimBounds(crashes=0, trims=1, times=0, key_times=(1,)),
        ClaimBounds(crashes=0, copies=1, key_times=(2,)),
    )
    mutants = CLAIM_MUTANTS
    #: Bounds of the run in the features.
    short_bounds = (
        ClaimBounds(log_records=3, trims=0, copies=1, key_times=(1,)),
        ClaimBounds(crashes=0, copies=1, times=0, key_times=(1,)),
    )

    def __init__(self, bounds: ClaimBounds) -> None:
        """Explore within these bounds."""
        self._bounds = bounds

    def initial(self) -> Iterator[World]:
        """Return one world for each time of the key."""
        router = Router(intern(Ledger()), 0)
        for key_time in self._bounds.key_times:
            yield World(
                now=0,
                key_time=key_time,
                first=0,
                log=(Entry(0, ''),),
                network=frozenset(),
                routers=(router,) * self._bounds.routers,
                attempts=(_NEW,) * self._bounds.attempts,
                places=(0,) * self._bounds.attempts,
                runs=0,
                crashes=self._bounds.crashes,
                trims=self._bounds.trims,
            )

    def violation(self, world: World) -> str | None:
        """Check the three properties."""
        if world.runs > 1:
            return self.properties[0]
        for router in world.routers:
            if _holds_released(world, router):
                return self.properties[1]
        if self._disagree(world):
            return self.properties[2]
        return None

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Return all next worlds."""
        for attempt, phase in enumerate(world.attempts):
            yield from self._attempt_steps(world, attempt, phase)
        for number, router in enumerate(world.routers):
            if router.position < world.end:
                yield f'router {number} reads', _read(world, number)
            if world.crashes and router.position:
                yield f'router {number} crashes', _crash(world, number)
        yield from self._log_steps(world)

    def _attempt_steps(
        self,
        world: World,
        attempt: int,
        phase: str,
    ) -> Iterator[tuple[str, World]]:
        if phase == _NEW:
            yield from self._arrivals(world, attempt)
        if phase == 'granted':
            sent = _set_phase(world, attempt, 'sent')
            yield (
                f'attempt {attempt} is sent',
                sent._replace(runs=world.runs + 1),
            )
        if phase == 'sent':
            answered = _set_phase(world, attempt, _OVER)
            outcome = _post(answered, f'outcome {attempt}', 1)
            yield f'attempt {attempt} is answered', outcome
        if may_release(phase):
            given_up = _set_phase(world, attempt, _OVER)
            release = _post(given_up, f'release {attempt}', self._bounds.copies)
            yield f'attempt {attempt} is given up', release

    def _arrivals(
        self,
        world: World,
        attempt: int,
    ) -> Iterator[tuple[str, World]]:
        # Attempts start in order, and the first one at the first router;
        # other worlds differ from these only by names.
        if attempt and world.attempts[attempt - 1] == _NEW:
            return
        for place in range(len(world.routers) if attempt else 1):
            yield (
                f'attempt {attempt} arrives at router {place}',
                self._arrive(world, attempt, place),
            )

    def _arrive(self, world: World, attempt: int, place: int) -> World:
        places = list(world.places)
        places[attempt] = place
        world = world._replace(places=tuple(places))
        message = f'claim {attempt}'
        claim = _record(message, world.key_time)
        ledger = world.routers[place].ledger.wrapped
        result = ledger.look(claim)
        if may_send(result):
            return _set_phase(world, attempt, 'granted')
        if result is not ClaimResult.FREE or not may_write(ledger, claim):
            return _set_phase(world, attempt, _OVER)
        claiming = _set_phase(world, attempt, 'claiming')
        return _post(claiming, message, self._bounds.copies)

    def _log_steps(self, world: World) -> Iterator[tuple[str, World]]:
        if world.end < self._bounds.log_records:
            for message, copies in sorted(world.network):
                yield f'{message} lands', _land(world, message, copies)
            if not world.log or world.log[-1] != Entry(world.now, ''):
                yield 'an empty batch lands', _append(world, '')
        if world.now < self._bounds.times:
            yield 'time passes', world._replace(now=world.now + 1)
        if world.trims and world.log:
            yield (
                'the log is trimmed',
                world._replace(
                    first=world.first + 1,
                    log=world.log[1:],
                    trims=world.trims - 1,
                ),
            )

    def _disagree(self, world: World) -> bool:
        """Whether one reader would grant what another one holds."""
        if len({router.position for router in world.routers}) > 1:
            return False
        stranger = _record(f'claim {self._bounds.attempts}', world.key_time)
        results = {
            router.ledger.wrapped.look(stranger) for router in world.routers
        }
        held = {ClaimResult.HELD, ClaimResult.DONE}
        return ClaimResult.FREE in results and not results.isdisjoint(held)


def _holds_released(world: World, router: Router) -> bool:
    """Whether a reader holds a key for an id whose release it read."""
    read = world.log[: max(0, router.position - world.first)]
    for entry in read:
        kind, _, attempt = entry.message.partition(' ')
        if kind != 'release':
            continue
        claim = _record(f'claim {attempt}', world.key_time)
        if router.ledger.wrapped.look(claim) is ClaimResult.WON:
            return True
    return False


def _record(message: str, key_time: int) -> Record:
    """Return the record that a message stands for."""
    kind, _, attempt = message.partition(' ')
    fields = {
        'key': _KEY,
        'claim_id': claim_number(int(attempt)).to_bytes(16),
        'key_time': Millis(key_time * SKEW),
    }
    if kind == 'claim':
        return Claim(fingerprint=_FINGERPRINT, **fields)
    if kind == 'release':
        return Release(**fields)
    return Outcome(status=_OK, body=b'', **fields)


def _set_phase(world: World, attempt: int, phase: str) -> World:
    attempts = list(world.attempts)
    attempts[attempt] = phase
    places = list(world.places)
    if phase == _OVER:
        # Where it was makes no difference any more.
        places[attempt] = 0
    return world._replace(attempts=tuple(attempts), places=tuple(places))


def _post(world: World, message: str, copies: int) -> World:
    return world._replace(network=world.network | {(message, copies)})


def _append(world: World, message: str) -> World:
    return world._replace(log=(*world.log, Entry(world.now, message)))


def _land(world: World, message: str, copies: int) -> World:
    network = world.network - {(message, copies)}
    if copies > 1:
        network |= {(message, copies - 1)}
    return _append(world._replace(network=network), message)


def _read(world: World, number: int) -> World:
    """Let a router read up to the end of the log."""
    router = world.routers[number]
    position = router.position
    ledger = router.ledger
    if position < world.first:
        ledger, _ = ledger.after(Ledger.read_gap)
        position = world.first
    unread = world.log[position - world.first :]
    ledger, winners = ledger.after(
        _fold, world.key_time, position, unread, world.first
    )
    routers = list(world.routers)
    routers[number] = Router(ledger, world.end)
    attempts = tuple(
        # Whoever reads the winner tells the router that asked for it.
        'granted'
        if phase == 'claiming' and claim_number(attempt) in winners
        else phase
        for attempt, phase in enumerate(world.attempts)
    )
    return world._replace(routers=tuple(routers), attempts=attempts)


def _fold(
    ledger: Ledger,
    key_time: int,
    position: int,
    entries: tuple[Entry, ...],
    first: int,
) -> frozenset[int]:
    """Read entries; return the numbers of the claims that won."""
    winners: set[int] = set()
    for offset, entry in enumerate(entries, position):
        ledger.observe(offset, Millis(entry.time * SKEW))
        if not entry.message:
            continue
        record = _record(entry.message, key_time)
        result = ledger.apply(offset, record)
        if result is not None and may_send(result):
            winners.add(int.from_bytes(record.claim_id))
    ledger.trim(first)
    return frozenset(winners)


def _crash(world: World, number: int) -> World:
    """Forget all that a router knows; its calls stay where they are."""
    running = {'claiming', 'granted', 'sent'}
    for attempt, place in enumerate(world.places):
        if place == number and world.attempts[attempt] in running:
            world = _set_phase(world, attempt, _OVER)
    routers = list(world.routers)
    routers[number] = Router(intern(Ledger()), 0)
    return world._replace(
        routers=tuple(routers),
        crashes=world.crashes - 1,
    )
