"""Steps for connections of callers while the router stops."""

import dataclasses

from behave import given, then, when
from behave.runner import Context
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransportWithDisconnection
from twisted.web.resource import Resource
from twisted.web.server import Request

from yuccagauge.gateway.channel import LimitedSite
from yuccagauge.settings.process import LimitsSection

_REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
_HALF = 12
_BODY = b'here'


class _Page(Resource):
    """Answers each request."""

    isLeaf = True

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return the body."""
        return _BODY


def _default_limits() -> LimitsSection:
    """Return the limits with the default of each key."""
    fields = dataclasses.fields(LimitsSection)
    return LimitsSection(**{each.name: each.default for each in fields})


@given('a connection of a caller on which {state}')
def connect(context: Context, state: str) -> None:
    """Open a connection, and send what has arrived before the stop."""
    site = LimitedSite(_Page(), _default_limits())
    channel = site.buildProtocol(IPv4Address('TCP', '127.0.0.1', 1))
    context.time = Clock()
    channel.callLater = context.time.callLater
    channel.setTimeout(None)
    transport = StringTransportWithDisconnection()
    transport.protocol = channel
    channel.makeConnection(transport)
    arrived = {
        'nothing has arrived': b'',
        'half a head has arrived': _REQUEST[:_HALF],
        'a request was answered': _REQUEST,
    }[state]
    if arrived:
        channel.dataReceived(arrived)
    context.rest = _REQUEST[len(arrived) % len(_REQUEST) :]
    transport.clear()
    context.site, context.channel, context.transport = site, channel, transport


@when('the router closes idle connections')
def close_idle(context: Context) -> None:
    """Let the site do what it does when the router accepts no more."""
    context.site.leave()
    context.site.close_idle()


@when('the rest of a request arrives {ms:d} ms later')
def send_rest(context: Context, ms: int) -> None:
    """Send the rest, if the connection is still open."""
    context.time.advance(ms / 1000)
    if context.transport.connected:
        context.channel.dataReceived(context.rest)


@then('the request during the stop is {outcome}')
def check_outcome(context: Context, outcome: str) -> None:
    """Guard against a request that meets a connection just closed."""
    is_answered = _BODY in context.transport.value()
    assert is_answered is (outcome == 'answered'), context.transport.value()
