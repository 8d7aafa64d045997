"""Steps for engines that take no further poll for cache events."""

from behave import given
from behave.runner import Context
from twisted.internet.protocol import Protocol

from features.stating import PolledProtocol
from features.stating_ends_fleet import StatingEndsFleet, StatingServer

_WARM_UP_S = 6.0


class _FullProtocol(PolledProtocol):
    """Refuses the polls that do not wait."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer 429 to such a poll."""
        is_poll = data.startswith(b'GET /api/kv-events')
        if is_poll and b'wait-ms' not in data.lower():
            self.transport.write(b'HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n')
        else:
            super().dataReceived(data)


class _FullServer(StatingServer):
    """A server that takes the polls of the routers and no others."""

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        return _FullProtocol(self, super().build_protocol())


class _FullFleet(StatingEndsFleet):
    """Routers before such servers."""

    server_type = _FullServer


@given(
    '{routers:d} routers before servers that state their start in "{places}",'
    ' with an epoch, which take no poll but those that wait'
)
def start_full_fleet(context: Context, routers: int, places: str) -> None:
    """Start a fleet and let it run."""
    context.fleet = _FullFleet(routers, 4, places=places, has_cache_events=True)
    context.fleet.run(_WARM_UP_S)
