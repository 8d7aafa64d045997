"""Errors of the path to a backend server."""

from yuccagauge.errors import YuccagaugeError


class DispatchError(YuccagaugeError):
    """Anything that goes wrong between the router and a backend server."""


class BackendProtocolError(DispatchError):
    """A backend server that breaks HTTP or the event stream format."""


class BackendConnectionError(DispatchError):
    """A connection that could not be opened or broke."""


class ReplayMismatchError(DispatchError):
    """A second run of a request that differs from what was passed on."""


class ContinuationError(BackendProtocolError):
    """An answer does not continue the stream that its caller has in part."""
