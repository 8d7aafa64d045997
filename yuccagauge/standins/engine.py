"""A model engine: its HTTP interface and its clock."""

from typing import Any

from twisted.internet import defer, reactor, task
from twisted.web.http import Request

from yuccagauge.clock import Millis
from yuccagauge.standins.base import (
    STANDINS,
    integer_argument,
    json_answer,
    pause,
    read_json,
)
from yuccagauge.standins.batch import Batch, BatchRates, Emission, Sequence
from yuccagauge.standins.chat import ChatRequest, level_blocks, parse_chat
from yuccagauge.standins.engineorders import EngineOrders
from yuccagauge.standins.enginesettings import EngineSection
from yuccagauge.standins.engineshelf import EngineShelf
from yuccagauge.standins.enginestate import EngineState
from yuccagauge.standins.faults import EngineFaults
from yuccagauge.standins.loadreports import LoadReports
from yuccagauge.standins.server import ServerStandin
from yuccagauge.standins.streams import EventStream, StreamLimits

_MILLISECONDS_PER_SECOND = 1000
#: A pause of the process longer than this is not made up for.
_LONGEST_STEP_MS = 100
_MAXIMUM_WAIT_MS = 60_000


@STANDINS.register
class EngineStandin(ServerStandin):
    """A model engine."""

    name = 'engine'
    aliases = ('model-engine',)
    section_kind = EngineSection
    faults_kind = EngineFaults

    def add_routes(self) -> None:
        """Add the whole interface."""
        self._orders = EngineOrders(self._section)
        self._reset()
        self._stepping = task.LoopingCall(self._step)
        self._reports = LoadReports(self._clock, self._load)
        self._route('/v1/chat/completions', self._chat, 'POST')
        self._route('/v1/streams/<request_id>', self._resume, 'GET')
        self._route('/v1/streams/<request_id>', self._cancel, 'DELETE')
        self._route('/load', self._get_load, 'GET')
        self._route('/cache-events', self._get_events, 'GET')
        self._route('/orders', self._order, 'POST')
        self._route('/kv/<digest>', self._export, 'GET')
        self._route('/kv/<digest>', self._import, 'PUT')

    def start(self) -> None:
        """Open the port and start the load reports."""
        self._reports.start()
        super().start()

    def close(self) -> defer.Deferred[None]:
        """Close the port and stop all work."""
        self._reports.close()
        self.forget()
        return super().close()

    def forget(self) -> None:
        """Lose streams, queue and cache; become a new incarnation."""
        for stream in self._streams.values():
            stream.cut()
        self._reset()

    def _reset(self) -> None:
        section: EngineSection = self._section
        self._state = EngineState(section.total_blocks, self._random)
        self._shelf = EngineShelf(self._state.cache)
        self._streams: dict[str, EventStream] = {}
        self._sequences: dict[str, Sequence] = {}
        self._last_step = self._clock.now()
        self._batch = Batch(
            BatchRates(
                prefill_tokens_per_second=section.prefill_tokens_per_second,
                decode_tokens_per_second=section.decode_tokens_per_second,
                max_running=section.max_running,
            ),
            started=self._started,
            prefilled=self._prefilled,
        )

    @defer.inlineCallbacks
    def _chat(self, request: Request) -> defer.Deferred[bytes | None]:
        if self._faults.not_run:
            self.record('refused')
            return self._refuse_unexecuted(request)
        chat = parse_chat(read_json(request))
        yield pause(self._faults.delay_ms)
        if chat.model not in self._orders.models:
            return json_answer(request, {'error': 'model_not_found'}, 404)
        self._drop(chat.request_id)
        stream = self._submit(chat)
        if self._faults.crash_on and chat.contains(self._faults.crash_on):
            reactor.callLater(0, self.crash)
        yield stream.follow(request, -1, self._limits)

    def _resume(
        self,
        request: Request,
        request_id: str,
    ) -> bytes | defer.Deferred[None]:
        stream = self._streams.get(request_id)
        if stream is None:
            return json_answer(request, {'error': 'unknown stream'}, 404)
        after = integer_argument(request, 'after', -1)
        self.record('resumed', request_id=request_id, after=after)
        return stream.follow(request, after, self._limits)

    def _cancel(self, request: Request, request_id: str) -> bytes:
        is_known = self._drop(request_id)
        status = 200 if is_known else 404
        return json_answer(request, {'cancelled': is_known}, status)

    def _get_load(self, request: Request) -> bytes:
        report = self._reports.report(self._faults.load_lag_ms)
        return json_answer(request, report)

    @defer.inlineCallbacks
    def _get_events(self, request: Request) -> defer.Deferred[bytes]:
        after = integer_argument(request, 'after', -1)
        wait_ms = integer_argument(request, 'wait_ms', 0)
        end = self._clock.now() + min(wait_ms, _MAXIMUM_WAIT_MS)
        page = self._event_page(after)
        while not page['events']:
            remaining = end - self._clock.now()
            if remaining <= 0:
                break
            delay = self._faults.event_delay_ms or remaining
            timeout = Millis(min(remaining, delay))
            yield self._state.events.signal.wait(timeout)
            page = self._event_page(after)
        return json_answer(request, page)

    @defer.inlineCallbacks
    def _order(self, request: Request) -> defer.Deferred[bytes]:
        order = read_json(request)
        accepted = self._orders.accept(order, self._faults.check_fence)
        self.record('ordered', order=order, accepted=accepted)
        if not accepted:
            error = {'error': 'old fence', 'fence': self._orders.fence}
            return json_answer(request, error, 409)
        if order['kind'] != 'set-role':
            yield pause(self._section.load_ms)
        if self._orders.apply(order):
            self._state.cache = self._shelf.clear()
            self.record('loaded', version=self._orders.weights_version)
        return json_answer(request, self._orders.summary)

    def _export(self, request: Request, digest: str) -> bytes:
        exported = self._shelf.export(digest)
        if exported is None:
            return json_answer(request, {'error': 'not cached'}, 404)
        return json_answer(request, exported)

    @defer.inlineCallbacks
    def _import(
        self,
        request: Request,
        digest: str,
    ) -> defer.Deferred[bytes]:
        document = read_json(request)
        tokens, events = self._shelf.load(digest, document)
        self._publish(events)
        self.record(
            'imported',
            manifest=document['manifest'],
            weights_version=self._orders.weights_version,
        )
        rate = self._section.import_tokens_per_second
        yield pause(Millis(int(tokens / rate * _MILLISECONDS_PER_SECOND)))
        return json_answer(request, {'tokens': tokens})

    @property
    def _limits(self) -> StreamLimits:
        return StreamLimits(
            stall_after=self._faults.stall_after_events,
            cut_after=self._faults.cut_after_events,
        )

    def _submit(self, chat: ChatRequest) -> EventStream:
        version = self._orders.weights_version
        headers = {
            'X-Engine-Incarnation': self._state.incarnation,
            'X-Weights-Version': version,
        }
        stream = EventStream(chat.request_id, chat.model, headers)
        sequence = chat.sequence(version)
        self._shelf.note(chat, version)
        self._streams[chat.request_id] = stream
        self._sequences[chat.request_id] = sequence
        self._batch.submit(sequence)
        self._record_stream('started', sequence, prompt_sha256=chat.sha256)
        if not self._stepping.running:
            self._last_step = self._clock.now()
            interval = self._section.step_ms / _MILLISECONDS_PER_SECOND
            self._stepping.start(interval, now=False)
        return stream

    def _step(self) -> None:
        now = self._clock.now()
        elapsed = min(now - self._last_step, _LONGEST_STEP_MS)
        self._last_step = now
        for emission in self._batch.step(Millis(elapsed)):
            self._emit(emission)
        if self._batch.is_idle:
            self._stepping.stop()

    def _emit(self, emission: Emission) -> None:
        sequence = emission.sequence
        stream = self._streams.get(sequence.request_id)
        if stream is None:
            return
        for token in emission.tokens:
            stream.add_token(token)
        if sequence.is_finished:
            stream.finish('stop', _usage(sequence))
            self._record_stream('finished', sequence)
        if sequence.is_finished or not stream.is_followed:
            self._expire_later(sequence.request_id, stream)

    def _expire_later(self, request_id: str, stream: EventStream) -> None:
        if stream.is_expiring:
            return
        stream.is_expiring = True
        delay = self._section.resume_ms / _MILLISECONDS_PER_SECOND
        reactor.callLater(delay, self._expire, request_id, stream)

    def _expire(self, request_id: str, stream: EventStream) -> None:
        stream.is_expiring = False
        is_held = self._streams.get(request_id) is stream
        if is_held and not stream.is_followed:
            self._drop(request_id)

    def _drop(self, request_id: str) -> bool:
        stream = self._streams.pop(request_id, None)
        sequence = self._sequences.pop(request_id, None)
        if stream is None:
            return False
        if not stream.is_finished:
            sequence.cancelled = True
            stream.cut()
            self._record_stream('cancelled', sequence)
        return True

    def _started(self, sequence: Sequence) -> None:
        usable = sequence.chain[: level_blocks(sequence.prompt_tokens - 1)]
        cached = self._state.cache.match(usable)
        sequence.cached_tokens = self._shelf.tokens_of(cached)
        missing = sequence.prompt_tokens - sequence.cached_tokens
        sequence.missing_tokens = missing
        self._record_stream('prefill', sequence, levels=sequence.levels)

    def _prefilled(self, sequence: Sequence) -> None:
        events = self._state.cache.store(sequence.chain)
        for digest, tokens in sequence.levels:
            chain = sequence.chain[: level_blocks(tokens)]
            events += self._state.cache.name_level(digest, tokens, chain)
        self._publish(events)

    def _publish(self, events: list[Any]) -> None:
        now = self._clock.wall_time()
        loss = self._faults.event_loss
        for event in events:
            self._state.events.add(event, now, loss)
            self.record(event.kind, digest=event.digest, tokens=event.tokens)

    def _event_page(self, after: int) -> dict[str, Any]:
        shown_until = self._clock.wall_time() - self._faults.event_delay_ms
        page = self._state.events.page(after, Millis(shown_until))
        return {'incarnation': self._state.incarnation, **page}

    def _load(self) -> dict[str, Any]:
        return {
            'incarnation': self._state.incarnation,
            'weights_version': self._orders.weights_version,
            'role': self._orders.role,
            'running': self._batch.running,
            'queued': self._batch.queued,
            'queued_tokens': self._batch.queued_tokens,
            'used_blocks': self._state.cache.used_blocks,
            'total_blocks': self._state.cache.total_blocks,
            'measured_ms': self._clock.wall_time(),
        }

    def _record_stream(
        self,
        kind: str,
        sequence: Sequence,
        **fields: Any,
    ) -> None:
        self.record(
            kind,
            request_id=sequence.request_id,
            incarnation=self._state.incarnation,
            prompt_tokens=sequence.prompt_tokens,
            cached_tokens=sequence.cached_tokens,
            emitted=sequence.emitted,
            **fields,
        )


def _usage(sequence: Sequence) -> dict[str, Any]:
    details = {'cached_tokens': sequence.cached_tokens}
    return {
        'prompt_tokens': sequence.prompt_tokens,
        'completion_tokens': sequence.emitted,
        'total_tokens': sequence.prompt_tokens + sequence.emitted,
        'prompt_tokens_details': details,
    }
