"""The crashes of requests and of prompt parts, as one archive keeps them."""

from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.quarantine.base import CrashSuspicion, Quarantine
from yuccagauge.quarantine.evidence import PartCrash, PartEvidence
from yuccagauge.quarantine.listener import CrashListener
from yuccagauge.quarantine.parts import PartQuarantine

#: Tells the key of a part from the fingerprint of a request.
_PART_PREFIX = b'part:'

#: Between the id of a crash and the digest of the request in the store.
_SEPARATOR = '.'


class CrashLedger:
    """Stores the crashes of requests and of parts under different keys.

    Parameters
    ----------
    quarantine, part_quarantine
        Have the crashes of this router.
    """

    def __init__(
        self, quarantine: Quarantine, part_quarantine: PartQuarantine
    ) -> None:
        """Listen to both."""
        self._quarantine = quarantine
        self._part_quarantine = part_quarantine
        self.listeners: list[CrashListener] = []
        quarantine.listeners.append(self)
        part_quarantine.listeners.append(self)

    def must_be_stored(self, key: bytes, now: Millis) -> bool:
        """Return whether routers that start need the crashes of a key."""
        if key.startswith(_PART_PREFIX):
            return _part_id(key) in self._part_quarantine.blamed
        return self._quarantine.must_be_stored(key, now)

    def merge_suspicions(
        self, suspicions: Iterable[CrashSuspicion], now: Millis
    ) -> None:
        """Add the crashes that the store has."""
        of_requests: list[CrashSuspicion] = []
        of_parts: list[PartEvidence] = []
        for suspicion in suspicions:
            if suspicion.fingerprint.startswith(_PART_PREFIX):
                of_parts.append(_part_evidence(suspicion))
            else:
                of_requests.append(suspicion)
        self._quarantine.merge_suspicions(of_requests, now)
        self._part_quarantine.merge(of_parts, now)

    def crash_added(self, fingerprint: bytes, crash: str) -> None:
        """Forward a crash of a request."""
        for listener in self.listeners:
            listener.crash_added(fingerprint, crash)

    def crashes_cleared(
        self, fingerprint: bytes, crashes: tuple[str, ...]
    ) -> None:
        """Forward crashes of a request that no longer count."""
        for listener in self.listeners:
            listener.crashes_cleared(fingerprint, crashes)

    def part_crash_added(self, part_id: str, crash: PartCrash) -> None:
        """Forward a crash of a part."""
        self.crash_added(_key(part_id), _stored_name(crash))

    def part_crashes_settled(
        self, part_id: str, crashes: tuple[PartCrash, ...]
    ) -> None:
        """Forward crashes of a part that no longer count."""
        self.crashes_cleared(_key(part_id), tuple(map(_stored_name, crashes)))


def _key(part_id: str) -> bytes:
    return _PART_PREFIX + part_id.encode('utf-8', 'surrogateescape')


def _part_id(key: bytes) -> str:
    return key.removeprefix(_PART_PREFIX).decode('utf-8', 'surrogateescape')


def _stored_name(crash: PartCrash) -> str:
    return f'{crash.crash}{_SEPARATOR}{crash.request}'


def _part_evidence(suspicion: CrashSuspicion) -> PartEvidence:
    """Return crashes of the store as evidence.

    The store has no time of the send. The crashes were independent for the
    router that stored them.
    """
    crashes: list[PartCrash] = []
    for name in suspicion.crashes:
        crash, _, request = name.partition(_SEPARATOR)
        crashes.append(
            PartCrash(
                crash=crash,
                request=request,
                sent_at=suspicion.age,
                noticed_at=suspicion.age,
            )
        )
    return PartEvidence(
        part_id=_part_id(suspicion.fingerprint),
        crashes=tuple(crashes),
        sound_age=None,
    )
