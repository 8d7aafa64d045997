"""Errors of the traffic between routers."""

from yuccagauge.errors import UnavailableError, YuccagaugeError


class WireError(YuccagaugeError):
    """A message between routers that cannot be sent or read."""


class MalformedMessageError(WireError):
    """Bytes that are not a message of the schema."""


class UnknownKindError(WireError):
    """A message of a kind or version that this router does not know."""


class MessageTooLongError(WireError):
    """A message that exceeds one datagram or the longest frame."""


class PeerUnavailableError(UnavailableError):
    """A router that cannot be reached, or did not answer in time."""


class PeerFailedError(WireError):
    """A router that answered a question with a failure."""


class CertificateRefusedError(PeerUnavailableError):
    """A certificate that one of the two routers did not accept."""
