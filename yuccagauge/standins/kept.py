"""The store for KV cache that is kept outside the engines."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer
from twisted.web.http import Request

from yuccagauge.settings.options import integer_option
from yuccagauge.standins.base import (
    STANDINS,
    BadRequestError,
    Standin,
    json_answer,
    pause,
    read_json,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptKvSection:
    """``[kept-kv]``: the size of the store."""

    entries: int = integer_option(
        'Most exports that are held; the least recently used go first.',
        default=10_000,
        minimum=1,
        maximum=10_000_000,
    )


@STANDINS.register
class KeptKvStandin(Standin):
    """The kept-KV store."""

    name = 'kept-kv'
    aliases = ('kept',)
    section_kind = KeptKvSection

    def add_routes(self) -> None:
        """Add reading and writing."""
        self._held: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self._route('/kept/<digest>', self._get, 'GET')
        self._route('/kept/<digest>', self._put, 'PUT')

    @defer.inlineCallbacks
    def _get(self, request: Request, digest: str) -> defer.Deferred[bytes]:
        yield pause(self._faults.delay_ms)
        if self._faults.outage:
            return json_answer(request, {'error': 'outage'}, 503)
        found = self._held.get(digest)
        if found is None:
            return json_answer(request, {'error': 'not kept'}, 404)
        self._held.move_to_end(digest)
        return json_answer(request, found)

    @defer.inlineCallbacks
    def _put(self, request: Request, digest: str) -> defer.Deferred[bytes]:
        yield pause(self._faults.delay_ms)
        if self._faults.outage:
            return json_answer(request, {'error': 'outage'}, 503)
        document = read_json(request)
        if not isinstance(document.get('manifest'), dict):
            raise BadRequestError('the export has no manifest')
        self._held[digest] = document
        self._held.move_to_end(digest)
        while len(self._held) > self._section.entries:
            self._held.popitem(last=False)
        self.record('kept', manifest=document['manifest'])
        return json_answer(request, {'kept': True})
