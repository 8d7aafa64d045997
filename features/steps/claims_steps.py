"""Steps for claims: routers on a simulated log with faults."""

import contextlib
import dataclasses
import itertools
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from features.memory_log import MemoryLog
from features.simulation import key_at, new_reactor, pass_time, settle
from yuccagauge.claims.base import Claim, ClaimRecordError
from yuccagauge.claims.client import (
    ClaimClient,
    ClaimOptions,
    ClaimRequest,
    ForwardError,
    Granted,
)
from yuccagauge.claims.codec import (
    decode_batch,
    decode_forwarded,
    encode_batch,
)
from yuccagauge.clock import Millis

_TIMEOUT = Millis(2000)
_SHARDS = 2


class Peers:
    """The transport between the routers of a scenario."""

    def __init__(self, own: str, routers: dict[str, ClaimClient]) -> None:
        self._own = own
        self._clients = routers
        self.behaviour = 'works'

    @property
    def routers(self) -> tuple[str, ...]:
        return tuple(name for name in self._clients if name != self._own)

    def forward(self, router: str, payload: bytes, timeout: Millis) -> Deferred:
        if self.behaviour == 'is refused':
            return fail(ForwardError('refused'))
        answer = self._clients[router].answer_forwarded(payload)
        if self.behaviour == 'loses answers':
            answer.addCallback(lambda _: fail(ForwardError('lost')))
        return answer


class Fleet:
    """Routers with one simulated log."""

    def __init__(self, names: list[str]) -> None:
        self.reactor: Clock = new_reactor()
        self.log = MemoryLog(self.reactor)
        self.clients: dict[str, ClaimClient] = {}
        self.peers = {name: Peers(name, self.clients) for name in names}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        client = ClaimClient(
            self.log,
            name,
            self.reactor,
            forwarder=self.peers[name],
            options=ClaimOptions(shards=_SHARDS),
        )
        self.clients[name] = client
        client.start()

    def claim(self, name: str, key: str, content: bytes = b'') -> Deferred:
        request = ClaimRequest(
            customer='namport',
            service='roster-api',
            key=key,
            fingerprint=content,
        )
        return self.clients[name].claim(request, _TIMEOUT)

    def trim_all(self) -> None:
        for stream, records in self.log.streams.items():
            self.log.trim(stream, max(0, len(records) - 1))

    def records(self) -> list[Any]:
        entries = itertools.chain(*self.log.streams.values())
        batches = (decode_batch(entry.payload) for entry in entries)
        return list(itertools.chain.from_iterable(batches))


def _key(context: Context, number: int) -> str:
    keys = context.claim_keys
    if number not in keys:
        keys[number] = key_at(context.fleet.reactor.seconds(), number)
    return keys[number]


def _decide(context: Context, name: str, key: str, content: bytes) -> None:
    fleet = context.fleet
    context.decision = settle(fleet.reactor, fleet.claim(name, key, content))
    if isinstance(context.decision, Granted):
        context.granted = (name, context.decision)


@given('claim routers "{names}" on a simulated log')
def given_routers(context: Context, names: str) -> None:
    context.fleet = Fleet(names.split(', '))
    context.claim_keys = {}
    pass_time(context.fleet.reactor, 1)


@given('the claim log has the fault "{fault}"')
def given_fault(context: Context, fault: str) -> None:
    knob, _, number = fault.partition('=')
    setattr(context.fleet.log, knob, int(number))


@given('claim forwarding "{behaviour}"')
def given_forwarding(context: Context, behaviour: str) -> None:
    for peer in context.fleet.peers.values():
        peer.behaviour = behaviour


@when('claim router "{name}" claims key {number:d}')
def when_claims(context: Context, name: str, number: int) -> None:
    _decide(context, name, _key(context, number), b'')


@when('claim router "{name}" claims key {number:d} for another request')
def when_claims_other(context: Context, name: str, number: int) -> None:
    _decide(context, name, _key(context, number), b'other')


@when('claim router "{name}" claims the raw key "{key}"')
def when_claims_raw(context: Context, name: str, key: str) -> None:
    _decide(context, name, key, b'')


@when('claim router "{name}" claims {count:d} new keys')
def when_claims_many(context: Context, name: str, count: int) -> None:
    fleet = context.fleet
    before = fleet.log.appends
    now = fleet.reactor.seconds()
    calls = [fleet.claim(name, key_at(now, 100 + n)) for n in range(count)]
    context.decisions = [settle(fleet.reactor, call) for call in calls]
    context.claim_appends = fleet.log.appends - before


@when(
    'claim routers "{names}" claim key {number:d} '
    'and an append of the loser is delayed',
)
def when_races(context: Context, names: str, number: int) -> None:
    """Let the second router lose, with one copy read and one on its way."""
    fleet = context.fleet
    winner, loser = names.split(', ')
    won = fleet.claim(winner, _key(context, number))
    pass_time(fleet.reactor, 0.01)
    lost = fleet.claim(loser, _key(context, number))
    # The winner's batch is appended after its window of 20 ms.
    pass_time(fleet.reactor, 0.01)
    fleet.log.delay_appends = 1
    context.granted = (winner, settle(fleet.reactor, won))
    context.decision = settle(fleet.reactor, lost)
    assert type(context.decision).__name__ == 'Held', context.decision
    assert fleet.log.delayed


@when('claim router "{name}" restarts')
def when_restarts(context: Context, name: str) -> None:
    context.fleet.clients[name].close()
    context.fleet.start(name)


@when('the granted call is answered with {size:d} bytes')
def when_answered(context: Context, size: int) -> None:
    name, granted = context.granted
    client = context.fleet.clients[name]
    done = client.complete(granted, 200, b'x' * size)
    settle(context.fleet.reactor, done)
    pass_time(context.fleet.reactor, 1)


@when('the granted call is released')
def when_released(context: Context) -> None:
    name, granted = context.granted
    settle(context.fleet.reactor, context.fleet.clients[name].release(granted))
    pass_time(context.fleet.reactor, 1)


@when('{seconds:d} s pass at the claim routers')
def when_time_passes(context: Context, seconds: int) -> None:
    pass_time(context.fleet.reactor, seconds)


@when('the claim streams are trimmed to their last record')
def when_trimmed(context: Context) -> None:
    context.fleet.trim_all()


@when('the delayed claim appends take effect')
def when_delayed(context: Context) -> None:
    context.fleet.log.deliver_delayed()


@then('the claim decision is "{name}"')
def then_decision(context: Context, name: str) -> None:
    assert type(context.decision).__name__ == name, context.decision


@then('all claim decisions are "{name}"')
def then_decisions(context: Context, name: str) -> None:
    assert {type(d).__name__ for d in context.decisions} == {name}


@then('the claim replay has {size:d} bytes')
def then_replay(context: Context, size: int) -> None:
    assert context.decision.body == b'x' * size


@then('the claim replay has no body')
def then_no_body(context: Context) -> None:
    assert context.decision.body is None


@then('the claim was never appended')
def then_not_appended(context: Context) -> None:
    assert not context.decision.appended
    assert not context.fleet.records()


@then('claim router "{name}" remembers {count:d} keys')
def then_remembers(context: Context, name: str, count: int) -> None:
    shards = context.fleet.clients[name]._shards.values()
    assert sum(len(shard.ledger) for shard in shards) == count


@then('at most {count:d} claim appends were made')
def then_appends(context: Context, count: int) -> None:
    assert context.claim_appends <= count, context.claim_appends


@then('each claimed key has one winner')
def then_one_winner(context: Context) -> None:
    ids: dict[bytes, set[bytes]] = {}
    for record in context.fleet.records():
        if isinstance(record, Claim):
            ids.setdefault(record.key, set()).add(record.claim_id)
    assert len(ids) == len(context.decisions)
    assert all(len(claim_ids) == 1 for claim_ids in ids.values())


class ClaimMachine(RuleBasedStateMachine):
    """Callers send again while log and routers fail."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(['a', 'b'])
        self.keys = [
            key_at(self.fleet.reactor.seconds() + 40 * number, number)
            for number in range(3)
        ]
        self.runs = [0 for _ in self.keys]

    @rule(
        name=st.sampled_from('ab'),
        number=st.integers(0, 2),
        sends=st.booleans(),
        answers=st.booleans(),
    )
    def claim(self, name: str, number: int, sends: bool, answers: bool) -> None:
        client = self.fleet.clients[name]

        def decided(decision: object) -> None:
            if not isinstance(decision, Granted):
                return
            if sends:
                self.runs[number] += 1
            if not sends:
                client.release(decision)
            elif answers:
                client.complete(decision, 200, b'')

        call = self.fleet.claim(name, self.keys[number])
        call.addCallback(decided)

    @rule(seconds=st.sampled_from([0.05, 0.5, 5, 65]))
    def wait(self, seconds: float) -> None:
        pass_time(self.fleet.reactor, seconds)

    @rule(name=st.sampled_from('ab'))
    def restart(self, name: str) -> None:
        self.fleet.clients[name].close()
        self.fleet.start(name)

    @rule(
        knob=st.sampled_from(['outage', 'lose_answers', 'delay_appends']),
        number=st.integers(0, 2),
    )
    def fault(self, knob: str, number: int) -> None:
        setattr(self.fleet.log, knob, number)

    @rule(behaviour=st.sampled_from(['works', 'is refused', 'loses answers']))
    def forwarding(self, behaviour: str) -> None:
        for peer in self.fleet.peers.values():
            peer.behaviour = behaviour

    @rule(
        seed=st.integers(0, 1000),
    )
    def deliver(self, seed: int) -> None:
        """Let delayed appends take effect, and an old one once more."""
        self.fleet.log.deliver_delayed()
        for stream, records in self.fleet.log.streams.items():
            if records:
                payload = records[seed % len(records)].payload
                self.fleet.log.put(stream, payload)

    @rule(keep=st.integers(0, 3))
    def trim(self, keep: int) -> None:
        for stream, records in self.fleet.log.streams.items():
            first = self.fleet.log.first.get(stream, 0)
            self.fleet.log.trim(stream, max(first, len(records) - keep))

    @invariant()
    def at_most_once(self) -> None:
        assert max(self.runs) <= 1, self.runs


@then('no interleaving of claim faults runs a call twice')
def then_machine(context: Context) -> None:
    run_state_machine_as_test(
        ClaimMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=40,
            stateful_step_count=20,
        ),
    )


@then('arbitrary bytes never break the claim codec')
def then_codec(context: Context) -> None:
    claim = Claim(
        key=bytes(16),
        claim_id=b'i' * 16,
        key_time=Millis(5),
        fingerprint=b'f' * 16,
    )
    whole = encode_batch((claim, dataclasses.replace(claim, key=b'k' * 16)))

    @settings(derandomize=True, database=None, deadline=None)
    @for_all(st.binary(max_size=200), st.integers(0, len(whole)))
    def check(noise: bytes, cut: int) -> None:
        for payload in (noise, whole[:cut], whole[:cut] + noise):
            for decode in (decode_batch, decode_forwarded):
                with contextlib.suppress(ClaimRecordError):
                    decode(payload)

    check()
    assert decode_batch(whole)[0] == claim
