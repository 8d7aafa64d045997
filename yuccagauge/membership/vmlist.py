"""Follow the platform's VM list, which lags and may be down."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import treq
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from yuccagauge.documents import parse_document
from yuccagauge.errors import UnavailableError
from yuccagauge.settings.options import Endpoint, parse_endpoint
from yuccagauge.telemetry.guard import guarded
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter
from yuccagauge.wire.http import NumericHttpClient

#: Time between two readings, in seconds.
PERIOD_SECONDS = 2

#: How long one reading may take, in seconds.
_TIMEOUT_SECONDS = 5

#: Name of the service whose VMs run routers; their address is the one
#: where other routers connect.
ROUTER_SERVICE = 'yuccagauge'

_OK = 200

_READINGS = counter(
    'yuccagauge.vm_list.readings',
    'Readings of the VM list by outcome.',
    '{reading}',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One line of the VM list."""

    address: Endpoint
    data_centre: str
    service: str
    is_leaving: bool


#: Called with each new list.
VmListener = Callable[[tuple[Vm, ...]], None]


class VmListFollower:
    """Read the list periodically; a failed reading keeps the last one.

    Parameters
    ----------
    address
        Where the list is served.
    reactor
        The loop.
    """

    def __init__(self, address: Endpoint, reactor: Any) -> None:
        """Prepare without reading."""
        self._url = f'http://{address}/vms'
        self._vms: tuple[Vm, ...] = ()
        self._is_reachable = True
        self._listeners: list[VmListener] = []
        self._http = NumericHttpClient(reactor)
        self._reading: Deferred[Any] | None = None
        self._loop = LoopingCall(self._read)
        self._loop.clock = reactor

    @property
    def vms(self) -> tuple[Vm, ...]:
        """The last list that was read."""
        return self._vms

    @property
    def router_seeds(self) -> tuple[Endpoint, ...]:
        """Addresses of the routers that are not leaving."""
        return tuple(
            vm.address
            for vm in self._vms
            if vm.service == ROUTER_SERVICE and not vm.is_leaving
        )

    def leaving(self, service: str) -> frozenset[Endpoint]:
        """Return the backend servers of a service that are leaving."""
        return frozenset(
            vm.address
            for vm in self._vms
            if vm.service == service and vm.is_leaving
        )

    def add_listener(self, listener: VmListener) -> None:
        """Call a function with each list that differs from the last."""
        self._listeners.append(guarded(listener, 'vm_listener'))

    def start(self) -> None:
        """Begin to read."""
        self._loop.start(PERIOD_SECONDS)

    def close(self) -> Deferred[Any]:
        """Stop and close the connection."""
        if self._loop.running:
            self._loop.stop()
        if self._reading is not None:
            self._reading.cancel()
        return self._http.close()

    def _read(self) -> None:
        if self._reading is not None:
            return
        reading = self._http.get(self._url, _TIMEOUT_SECONDS)
        self._reading = reading
        reading.addCallback(_content)
        reading.addCallback(parse)
        reading.addCallbacks(self._take, self._failed)

    def _take(self, vms: tuple[Vm, ...]) -> None:
        self._reading = None
        _READINGS.add(1, {'outcome': 'read'})
        self._set_reachable(True)
        if vms != self._vms:
            self._vms = vms
            for listener in self._listeners:
                listener(vms)

    def _failed(self, failure: Failure) -> None:
        self._reading = None
        _READINGS.add(1, {'outcome': failure.type.__name__})
        self._set_reachable(False)

    def _set_reachable(self, is_reachable: bool) -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            log_state_change('vm_list_reachable', reachable=is_reachable)


def _content(response: Any) -> Deferred[bytes]:
    if response.code != _OK:
        raise UnavailableError(f'the VM list answered {response.code}')
    return treq.content(response)


def parse(body: bytes) -> tuple[Vm, ...]:
    # A list with a line that cannot be read is not used in part, so that a
    # fault of the platform does not look like VMs that are gone.
    try:
        return tuple(
            Vm(
                address=parse_endpoint(line['address']),
                data_centre=line['data_centre'],
                service=line['service'],
                is_leaving=line['state'] == 'leaving',
            )
            for line in parse_document(body)['vms']
        )
    except (ValueError, KeyError, TypeError) as error:
        raise UnavailableError(f'the VM list cannot be read: {error}') from None
