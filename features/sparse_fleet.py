"""Many routers that each know little, before engines with small caches.

Virtual time. Each router selects with its own state. It hears of the calls of
three peers every half second, and of no cache events.
"""

import heapq
import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from features.directory_fixtures import backend_server, service_spec
from yuccagauge.clock import Millis
from yuccagauge.directory.base import NamedWeights
from yuccagauge.selection.base import FleetView, SelectionRequest
from yuccagauge.selection.load import PEER_LOAD_LIFETIME, PeerLoad
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint

_MODEL = 'm'
_PARTNERS = 3
_EXCHANGE_PERIOD = 500

#: Speed and cache of an engine, in ms and tokens.
_PREFILL_TOKENS_PER_MS = 90.0
_FIRST_TOKEN_MS = 83
_CACHED_SUBJECTS = 14

#: Tokens of the part that begins all prompts and of the subject, and the mean,
#: spread and maximum of those of the call.
_TEMPLATE_TOKENS = 2500
_SUBJECT_TOKENS = 3800
_OWN_TOKENS = 2900
_OWN_SPREAD = 1.0
_MAXIMUM_OWN_TOKENS = 39_600
_OBJECTIVE = 518


@dataclass(slots=True)
class SimulatedEngine:
    """An engine that prefills one prompt after the other."""

    free_at: float = 0
    #: Subjects in the cache; the latest is last.
    subjects: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def run(
        self, subject: int, own_tokens: int, now: float
    ) -> tuple[float, bool]:
        """Return when the first token is there, and whether it was cached."""
        is_cached = subject in self.subjects
        tokens = own_tokens + (0 if is_cached else _SUBJECT_TOKENS)
        self.subjects[subject] = None
        self.subjects.move_to_end(subject)
        if len(self.subjects) > _CACHED_SUBJECTS:
            self.subjects.popitem(last=False)
        begins_at = max(now, self.free_at)
        self.free_at = begins_at + tokens / _PREFILL_TOKENS_PER_MS
        return self.free_at + _FIRST_TOKEN_MS, is_cached


class SparseFleet:
    """Routers and engines, and the calls between them.

    Parameters
    ----------
    routers, engines
        Their numbers.
    subjects
        Number of subjects that prompts are about.
    hot_share
        Share of the prompts that are about the first of them.
    """

    def __init__(
        self, routers: int, engines: int, subjects: int, hot_share: float
    ) -> None:
        """Start a fleet without calls."""
        self._random = random.Random(5)
        self._subjects = subjects
        self._hot_share = hot_share
        self.engines = {f's{n}': SimulatedEngine() for n in range(engines)}
        servers = [
            backend_server(
                name,
                endpoint=Endpoint('127.0.0.1', number + 1),
                slots=16,
                weights={_MODEL: 1},
            )
            for number, name in enumerate(self.engines)
        ]
        view = FleetView(
            servers={server.server_id: server for server in servers},
            named_weights={_MODEL: NamedWeights(version=1)},
        )
        self._selectors = [
            Selector('a', Millis(15_000)) for _ in range(routers)
        ]
        for selector in self._selectors:
            selector.update_fleet_view(view)
        #: When each router last heard of the calls of a peer.
        self._heard: list[dict[int, float]] = [{} for _ in range(routers)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()
        #: First output of each call, in ms.
        self.first_outputs: list[float] = []
        #: Calls whose subject came before, and those that found it cached.
        self.repeated = 0
        self.cached = 0
        self._seen: set[int] = set()

    @property
    def late_share(self) -> float:
        """Share of the calls that began after their objective."""
        late = sum(first > _OBJECTIVE for first in self.first_outputs)
        return late / len(self.first_outputs)

    def run(self, calls_per_s: float, seconds: float) -> None:
        """Let calls come for some time, and all of them begin."""
        for router in range(len(self._selectors)):
            self._at(
                self._random.random() * _EXCHANGE_PERIOD,
                partial(self._exchange, router),
            )
        end = 1000 * seconds
        at = self._random.expovariate(calls_per_s / 1000)
        while at < end:
            self._at(at, self._call)
            at += self._random.expovariate(calls_per_s / 1000)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            if now > end:
                return
            action(now)

    def _at(self, time: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def _call(self, now: float) -> None:
        selector = self._random.choice(self._selectors)
        subject = self._random.randrange(self._subjects)
        if self._random.random() < self._hot_share:
            subject = 0
        call_id = f'c{len(self.first_outputs)}'
        own_tokens = self._own_tokens()
        request = _request(call_id, subject, own_tokens, now)
        decision = selector.choose(request, (), Millis(int(now)))
        if decision.placement is None:
            self.first_outputs.append(float('inf'))
            return
        selector.record_send(request, decision.placement, Millis(int(now)))
        server_id = decision.placement.server.server_id
        begins_at, is_cached = self.engines[server_id].run(
            subject, own_tokens, now
        )
        self.first_outputs.append(begins_at - now)
        self.repeated += subject in self._seen
        self._seen.add(subject)
        self.cached += is_cached

        def end(at: float) -> None:
            selector.load_of(server_id).own_calls.pop(call_id)

        self._at(begins_at, end)

    def _own_tokens(self) -> int:
        mean = math.log(_OWN_TOKENS) - _OWN_SPREAD**2 / 2
        tokens = self._random.lognormvariate(mean, _OWN_SPREAD)
        return int(min(tokens, _MAXIMUM_OWN_TOKENS))

    def _exchange(self, router: int, now: float) -> None:
        """Take the calls in flight of a few peers."""
        selector, heard = self._selectors[router], self._heard[router]
        for peer in self._random.sample(range(len(self._selectors)), _PARTNERS):
            if peer != router:
                heard[peer] = now
                self._merge_loads(selector, peer, now)
        recent = sum(now - at < PEER_LOAD_LIFETIME for at in heard.values())
        selector.peer_coverage.update(len(self._selectors) - 1, recent)
        self._at(now + _EXCHANGE_PERIOD, lambda at: self._exchange(router, at))

    def _merge_loads(self, selector: Selector, peer: int, now: float) -> None:
        for server_id in self.engines:
            own = self._selectors[peer].load_of(server_id).own_calls.values()
            load = selector.load_of(server_id)
            load.remove_peer_load(f'r{peer}')
            if own:
                load.update_peer_load(
                    f'r{peer}',
                    PeerLoad(
                        active_calls=len(own),
                        waiting_tokens=sum(c.prefill_tokens for c in own),
                        unmovable_calls=len(own),
                        received_at=Millis(int(now)),
                    ),
                )


def _request(
    call_id: str, subject: int, own_tokens: int, now: float
) -> SelectionRequest:
    parts = (
        ('template', _TEMPLATE_TOKENS),
        (f'subject{subject}', _SUBJECT_TOKENS),
        (call_id, own_tokens),
    )
    at = int(now)
    return SelectionRequest(
        call_id=call_id,
        service=service_spec(is_model=True, kv_tokens=114_000),
        received_at=Millis(at),
        objective_at=Millis(at + _OBJECTIVE),
        deadline=Millis(at + 5000),
        first_output_deadline=Millis(at + 5000),
        model=_MODEL,
        prompt_tokens=sum(tokens for _, tokens in parts),
        output_tokens=10,
        parts=parts,
    )
