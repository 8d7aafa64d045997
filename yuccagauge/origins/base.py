"""The origin of a stream, and the name under which routers keep it."""

from dataclasses import dataclass

import xxhash

from yuccagauge.clock import Millis

#: How long after the last event a caller may take a stream up. A stream that
#: is not known any more could have been begun by any version of this time.
ORIGIN_LIFETIME = Millis(120_000)

#: Starts the software version of a stream whose server is not listed yet. The
#: incarnation of the server follows.
UNLISTED = '?'

#: Size of a key, in bytes.
KEY_BYTES = 16


class OriginNotHeardError(Exception):
    """Nobody who was heard knows a stream, and others may know it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOrigin:
    """The service and its software version that began a stream."""

    service: str
    software_version: str

    @property
    def is_unlisted(self) -> bool:
        """Whether an incarnation stands for the software version."""
        return self.software_version.startswith(UNLISTED)


def origin_key(customer: str, request_id: str) -> bytes:
    """Return the key of a stream, by the request that brought its first event.

    Callers choose the ids of requests, so the key has the customer as well: a
    customer can neither ask for nor replace the origin of another one's stream.
    """
    text = f'{len(customer)}:{customer}/{request_id}'
    return xxhash.xxh3_128_digest(text.encode())
