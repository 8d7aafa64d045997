"""The platform's list of live and leaving VMs."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer
from twisted.web.http import Request

from yuccagauge.clock import Millis
from yuccagauge.standins.base import (
    STANDINS,
    BadRequestError,
    Standin,
    json_answer,
    pause,
    read_json,
)
from yuccagauge.standins.faults import VmListFaults

_RETAINED_LISTS = 10_000
_STATES = frozenset(('live', 'leaving'))
_FIELDS = frozenset(('address', 'data_centre', 'service', 'state'))


@dataclass(frozen=True, slots=True, kw_only=True)
class SetList:
    """A list and the monotonic time at which it was set."""

    time: Millis
    vms: tuple[dict[str, str], ...]


@STANDINS.register
class VmListStandin(Standin):
    """The VM list."""

    name = 'vm-list'
    aliases = ('vms',)
    faults_kind = VmListFaults

    def add_routes(self) -> None:
        """Add reading and setting the list."""
        empty = SetList(time=Millis(0), vms=())
        self._lists: deque[SetList] = deque([empty], maxlen=_RETAINED_LISTS)
        self._route('/vms', self._get, 'GET')
        self._route('/vms', self._put, 'PUT')

    @defer.inlineCallbacks
    def _get(self, request: Request) -> defer.Deferred[bytes]:
        yield pause(self._faults.delay_ms)
        if self._faults.outage:
            return json_answer(request, {'error': 'outage'}, 503)
        newest = self._clock.now() - self._faults.lag_ms
        shown = self._lists[0]
        for candidate in self._lists:
            if candidate.time <= newest:
                shown = candidate
        return json_answer(request, {'vms': shown.vms})

    def _put(self, request: Request) -> bytes:
        vms = read_json(request).get('vms')
        if not isinstance(vms, list):
            raise BadRequestError('vms is not a list')
        for vm in vms:
            _check(vm)
        now = self._clock.now()
        self._lists.append(SetList(time=now, vms=tuple(vms)))
        self.record('set', count=len(vms))
        return json_answer(request, {'count': len(vms)})


def _check(vm: Any) -> None:
    if not isinstance(vm, dict) or set(vm) != _FIELDS:
        fields = ', '.join(sorted(_FIELDS))
        raise BadRequestError(f'a VM has exactly {fields}')
    if vm['state'] not in _STATES:
        raise BadRequestError('state is neither live nor leaving')
