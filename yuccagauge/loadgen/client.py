"""Send planned requests to routers, as callers behind a load balancer."""

import json
import time
from collections.abc import Sequence
from random import Random
from typing import Any

import treq
from twisted.internet import defer, error, reactor
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestTransmissionFailed,
    ResponseFailed,
)

from yuccagauge.clock import Clock, Millis
from yuccagauge.loadgen.base import credential
from yuccagauge.loadgen.events import EventParser
from yuccagauge.loadgen.outcomes import CallOutcome, ChatOutcome
from yuccagauge.loadgen.plans import CallPlan, ChatPlan
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import VERDICT_HEADER

_CONNECT_SECONDS = 2
_MILLISECONDS_PER_SECOND = 1000
_CONNECTION_FAILURES = (
    ResponseFailed,
    RequestTransmissionFailed,
    error.ConnectError,
    error.ConnectionClosed,
    error.TimeoutError,
    defer.TimeoutError,
)
_REQUEST_ID_HEADER = 'Yuccagauge-Request-Id'


class LoadClient:
    """Callers of a set of routers.

    Parameters
    ----------
    routers
        Where the routers listen; the list may be changed by its owner.
    clock
        The source of time.
    seed
        Decides which router gets a request.
    patience
        How long a caller waits for the end of its answer, in milliseconds.
    """

    def __init__(
        self,
        routers: Sequence[Endpoint],
        clock: Clock,
        seed: int,
        patience: Millis,
    ) -> None:
        """Prepare without connecting."""
        self._routers = routers
        self._clock = clock
        self._random = Random(f'client/{seed}')
        self._patience = patience / _MILLISECONDS_PER_SECOND
        # A kept connection to a router that was killed would look like a
        # request that broke.
        pool = HTTPConnectionPool(reactor, persistent=False)
        agent = Agent(reactor, connectTimeout=_CONNECT_SECONDS, pool=pool)
        self._http = treq.client.HTTPClient(agent)

    @defer.inlineCallbacks
    def chat(self, plan: ChatPlan) -> defer.Deferred[ChatOutcome]:
        """Stream one answer to its end."""
        outcome = ChatOutcome(plan=plan)
        work = self._chat(outcome)
        yield self._bounded(work, outcome)
        return outcome

    @defer.inlineCallbacks
    def call(
        self,
        plan: CallPlan,
        key: str,
    ) -> defer.Deferred[CallOutcome]:
        """Call a plain service once."""
        outcome = CallOutcome(plan=plan, key=key)
        work = self._call(outcome)
        yield self._bounded(work, outcome)
        return outcome

    @defer.inlineCallbacks
    def _chat(self, outcome: ChatOutcome) -> defer.Deferred[None]:
        sent = time.perf_counter()
        response = yield self._send(
            'POST',
            '/v1/chat/completions',
            outcome.plan.customer,
            json=outcome.plan.body,
        )
        _read_head(outcome, response)
        if outcome.status != 200:
            _read_refusal(outcome, (yield treq.content(response)))
            return
        yield _follow(outcome, response, sent)

    @defer.inlineCallbacks
    def _call(self, outcome: CallOutcome) -> defer.Deferred[None]:
        plan = outcome.plan
        response = yield self._send(
            'POST',
            f'/services/{plan.service}{plan.path}',
            plan.customer,
            data=plan.body,
            headers={
                'Idempotency-Key': outcome.key,
                'Content-Type': 'application/json',
            },
        )
        _read_head(outcome, response)
        body = yield treq.content(response)
        if outcome.status != 200:
            _read_refusal(outcome, body)
            return
        try:
            record = json.loads(body)
        except ValueError:
            outcome.is_cut = True
            return
        outcome.answered_key = record['idempotency_key'].strip('"')
        outcome.answered_body = record['body_sha256']

    @defer.inlineCallbacks
    def _send(
        self,
        method: str,
        path: str,
        customer: str,
        **options: Any,
    ) -> defer.Deferred[Any]:
        """Try the routers in a random order until one accepts."""
        headers = {
            'Authorization': f'Bearer {credential(customer)}',
            **options.pop('headers', {}),
        }
        order = self._random.sample(self._routers, len(self._routers))
        refused: Exception = error.ConnectError()
        for router in order:
            url = f'http://{router}{path}'
            try:
                response = yield self._http.request(
                    method,
                    url,
                    headers=headers,
                    **options,
                )
            except (error.ConnectError, error.TimeoutError) as failure:
                refused = failure
                continue
            return response
        raise refused

    @defer.inlineCallbacks
    def _bounded(
        self,
        work: defer.Deferred[None],
        outcome: ChatOutcome | CallOutcome,
    ) -> defer.Deferred[None]:
        work.addTimeout(self._patience, reactor)
        try:
            yield work
        except _CONNECTION_FAILURES as failure:
            outcome.failure = type(failure).__name__


def _read_head(outcome: ChatOutcome | CallOutcome, response: Any) -> None:
    outcome.status = response.code
    outcome.verdict = _header(response, VERDICT_HEADER)
    outcome.request_id = _header(response, _REQUEST_ID_HEADER)


def _read_refusal(outcome: ChatOutcome | CallOutcome, body: bytes) -> None:
    try:
        refusal = json.loads(body)['error']
    except (ValueError, KeyError, TypeError):
        outcome.code = 'unreadable refusal'
        return
    outcome.code = refusal.get('code', '')
    outcome.verdict = refusal.get('verdict', outcome.verdict)


@defer.inlineCallbacks
def _follow(
    outcome: ChatOutcome,
    response: Any,
    sent: float,
) -> defer.Deferred[None]:
    parser = EventParser(outcome.answer)
    previous = sent

    def received(part: bytes) -> None:
        nonlocal previous
        tokens = parser.feed(part)
        if not tokens:
            return
        now = time.perf_counter()
        elapsed = (now - previous) * _MILLISECONDS_PER_SECOND
        previous = now
        if outcome.first_token_ms is None:
            outcome.first_token_ms = elapsed
        else:
            outcome.between_ms.append(elapsed)

    yield treq.collect(response, received)
    if outcome.answer.error is not None:
        outcome.code = outcome.answer.error.get('code', '')
        outcome.verdict = outcome.answer.error.get('verdict', outcome.verdict)


def _header(response: Any, name: str) -> str:
    return (response.headers.getRawHeaders(name) or [''])[0]
