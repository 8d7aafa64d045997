"""The servers of a plain service: which one gets the next call. Pure state."""

from collections.abc import Mapping
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.settings.document import BackendSection
from yuccagauge.settings.options import Endpoint

#: A server that refused or broke a connection gets no calls for this long,
#: unless no other server is left.
SUSPENSION = Millis(1000)


@dataclass(slots=True)
class _ServerState:
    is_here: bool
    in_flight: int = 0
    chosen: int = 0
    leaving: bool = False
    suspended_until: Millis = Millis(0)
    has_framed: bool = False
    has_left_unframed: bool = False


class PlainServers:
    """Chooses the least busy server, in this data centre first.

    Parameters
    ----------
    data_centre
        The data centre of this router.
    """

    def __init__(self, data_centre: str) -> None:
        """Start without servers."""
        self._data_centre = data_centre
        self._servers: dict[Endpoint, _ServerState] = {}
        self._choices = 0

    def configure(self, backends: Mapping[Endpoint, BackendSection]) -> None:
        """Take the servers of the document in force."""
        for server in tuple(self._servers):
            if server not in backends:
                del self._servers[server]
        for server, section in backends.items():
            is_here = section.data_centre == self._data_centre
            known = self._servers.setdefault(server, _ServerState(is_here))
            known.is_here = is_here

    def set_leaving(self, server: Endpoint, leaving: bool) -> None:
        """Take a server out of use, or back into it."""
        if server in self._servers:
            self._servers[server].leaving = leaving

    def choose(
        self,
        exclude: frozenset[Endpoint],
        now: Millis,
    ) -> Endpoint | None:
        """Return the server for the next call; ``None`` if there is none."""
        usable = [
            (server, state)
            for server, state in self._servers.items()
            if not state.leaving and server not in exclude
        ]
        if not usable:
            return None
        server, state = min(usable, key=lambda pair: _rank(*pair, now))
        self._choices += 1
        state.chosen = self._choices
        return server

    def started(self, server: Endpoint) -> None:
        """Count a call in flight."""
        if server in self._servers:
            self._servers[server].in_flight += 1

    def ended(self, server: Endpoint) -> None:
        """Count the end of a call."""
        state = self._servers.get(server)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)

    def failed(self, server: Endpoint, now: Millis) -> None:
        """Suspend a server that refused or broke a connection."""
        if server in self._servers:
            until = Millis(now + SUSPENSION)
            self._servers[server].suspended_until = until

    def record_framing(self, server: Endpoint, *, is_framed: bool) -> None:
        """Record whether an answer of a server told where it ends."""
        state = self._servers.get(server)
        if state is not None:
            state.has_framed = state.has_framed or is_framed
            state.has_left_unframed = state.has_left_unframed or not is_framed

    def may_end_unframed(self, server: Endpoint) -> bool:
        """Return whether its connection may be all that ends an answer."""
        state = self._servers.get(server)
        if state is None:
            return True
        return state.has_left_unframed or not state.has_framed

    def explain(self, server: Endpoint, now: Millis) -> str:
        """Say in one sentence whether the server gets work, and why."""
        state = self._servers.get(server)
        if state is None:
            return 'unknown server'
        if state.leaving:
            return 'gets no work: it is leaving'
        if now < state.suspended_until:
            return 'gets no work: it refused or broke a connection just now'
        if not state.is_here:
            return 'gets work only while no server of this data centre can'
        return f'gets work: {state.in_flight} own calls in flight'


def _rank(
    server: Endpoint,
    state: _ServerState,
    now: Millis,
) -> tuple[bool, bool, int, int, Endpoint]:
    return (
        now < state.suspended_until,
        not state.is_here,
        state.in_flight,
        state.chosen,
        server,
    )
