"""Values of claims: requests, records and decisions."""

import hashlib
import uuid
from dataclasses import dataclass

import uuid6

from yuccagauge.clock import Millis
from yuccagauge.errors import YuccagaugeError

#: Length of key digests, claim ids and fingerprints.
DIGEST_BYTES = 16

#: Bound on the difference between callers' clocks and the log's clock.
SKEW = Millis(60_000)

#: Longest body that is kept for a replay.
MAXIMUM_BODY_BYTES = 4096

_KEY_VERSION = 7


class InvalidKeyError(YuccagaugeError):
    """An idempotency key that is no UUID of version 7."""


class ClaimRecordError(YuccagaugeError):
    """Bytes that are no record or message of this package."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """A call that wants to run at most once."""

    customer: str
    service: str
    #: The caller's idempotency key.
    key: str
    #: Digest of the request's content, any length.
    fingerprint: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """The record by which a request asks for the right to run."""

    key: bytes
    claim_id: bytes
    key_time: Millis
    fingerprint: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """The record by which a claim id is given up before the call was sent."""

    key: bytes
    claim_id: bytes
    key_time: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The record of a complete answer."""

    key: bytes
    claim_id: bytes
    key_time: Millis
    status: int
    #: ``None`` if the body was too long to keep.
    body: bytes | None


Record = Claim | Release | Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """The call may be sent, once, by whoever got this decision."""

    claim_id: bytes
    key: bytes
    key_time: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class Held:
    """Another claim holds the key; its call may have run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The call was answered before."""

    status: int
    #: ``None`` if the body was too long to keep.
    body: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Mismatch:
    """The key was used for another request; this one did not run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Expired:
    """The key is older than the log remembers; its call may have run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidKey:
    """The key has no usable time; nothing ran."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """The claim was not granted in time; nothing ran by it."""

    #: Whether the claim may be in the log, so that it has to be released.
    appended: bool = False


ClaimDecision = (
    Granted | Held | Replay | Mismatch | Expired | InvalidKey | Unavailable
)


def issue_key() -> str:
    """Return a new idempotency key with the present time."""
    return str(uuid6.uuid7())


def key_time(key: str) -> Millis:
    """Return the creation time of a key, in ms since the Unix epoch.

    Raises
    ------
    InvalidKeyError
        If the key is no UUID of version 7 in its usual form.
    """
    try:
        parsed = uuid6.UUID(key)
    except ValueError:
        raise InvalidKeyError('not a UUID') from None
    # The canonical form only: two spellings of a key are two digests.
    if str(parsed) != key:
        raise InvalidKeyError('not in lower case with hyphens')
    if parsed.version != _KEY_VERSION:
        raise InvalidKeyError(f'UUID of version {parsed.version}, not 7')
    return Millis(parsed.time)


def key_digest(request: ClaimRequest) -> bytes:
    """Return the digest that identifies the call in the log."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.customer, request.service, request.key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    return digest.digest()


def shard_of(key: bytes, shards: int) -> int:
    """Return the shard of a key digest."""
    return int.from_bytes(key[:8]) % shards


def shard_stream(shard: int) -> str:
    """Return the name of the stream of a shard."""
    return f'claims-{shard}'


def make_claim(request: ClaimRequest) -> Claim:
    """Return a claim for a request with a new id.

    Raises
    ------
    InvalidKeyError
        If the request's key has no time.
    """
    fingerprint = hashlib.blake2b(
        request.fingerprint,
        digest_size=DIGEST_BYTES,
    )
    return Claim(
        key=key_digest(request),
        claim_id=uuid.uuid4().bytes,
        key_time=key_time(request.key),
        fingerprint=fingerprint.digest(),
    )
