"""A plain service: it executes any call and records each execution."""

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer
from twisted.web.http import Request

from yuccagauge.clock import Millis
from yuccagauge.settings.options import millis_option
from yuccagauge.standins.base import (
    STANDINS,
    cut_connection,
    json_answer,
    pause,
)
from yuccagauge.standins.faults import PlainFaults
from yuccagauge.standins.server import ServerStandin

_HOUR_MS = 3_600_000
#: An answer without a length is written in parts of this size.
_PART_BYTES = 20
_PART_PAUSE = Millis(50)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainSection:
    """``[plain]``: how the service works."""

    service_ms: Millis = millis_option(
        'Time from the execution of a call to its answer.',
        default=Millis(2),
        minimum=0,
        maximum=_HOUR_MS,
    )


@STANDINS.register
class PlainStandin(ServerStandin):
    """A plain service."""

    name = 'plain'
    aliases = ('service',)
    section_kind = PlainSection
    faults_kind = PlainFaults

    def add_routes(self) -> None:
        """Accept any path."""
        self._route('/', self._call, 'any', branch=True)

    @defer.inlineCallbacks
    def _call(self, request: Request) -> defer.Deferred[bytes]:
        if self._faults.not_run:
            self.record('refused', path=request.path.decode())
            return self._refuse_unexecuted(request)
        yield pause(self._faults.delay_ms)
        body = request.content.read()
        trigger = self._faults.crash_on.encode()
        entry = self._execute(request, body)
        if trigger and trigger in body:
            self.crash()
            yield defer.Deferred()
        yield pause(self._section.service_ms)
        if self._random.random() < self._faults.cut_before_answer:
            yield cut_connection(request)
        if self._random.random() < self._faults.unframed:
            yield self._answer_unframed(request, entry)
        return json_answer(request, entry, self._faults.status)

    @defer.inlineCallbacks
    def _answer_unframed(
        self, request: Request, entry: dict[str, Any]
    ) -> defer.Deferred[None]:
        """Write an answer that ends with its connection; never fire."""
        # The HTTP server would choose chunks.
        transport = request.channel.transport
        transport.write(
            f'HTTP/1.1 {self._faults.status} X\r\n'
            'Content-Type: application/json\r\n\r\n'.encode()
        )
        answer = json.dumps(entry).encode()
        for start in range(0, len(answer), _PART_BYTES):
            transport.write(answer[start : start + _PART_BYTES])
            yield pause(_PART_PAUSE)
        transport.loseConnection()
        yield defer.Deferred()

    def _execute(self, request: Request, body: bytes) -> dict[str, object]:
        return self.record(
            'executed',
            method=request.method.decode(),
            path=request.path.decode(),
            idempotency_key=request.getHeader('Idempotency-Key') or '',
            request_id=request.getHeader('Yuccagauge-Request-Id') or '',
            body_sha256=hashlib.sha256(body).hexdigest(),
            status=self._faults.status,
        )
