"""Interface to what needs the changes of a quarantine."""

from typing import Protocol

from yuccagauge.quarantine.evidence import PartCrash


class CrashListener(Protocol):
    """Is notified of the crashes that a router notices or clears."""

    def crash_added(self, fingerprint: bytes, crash: str) -> None:
        """Note a crash that this router noticed."""

    def crashes_cleared(
        self, fingerprint: bytes, crashes: tuple[str, ...]
    ) -> None:
        """Note crashes that no longer count, here or at a peer."""


class PartCrashListener(Protocol):
    """Is notified of the crashes of parts that a router notices or settles."""

    def part_crash_added(self, part_id: str, crash: PartCrash) -> None:
        """Note a crash that this router noticed."""

    def part_crashes_settled(
        self, part_id: str, crashes: tuple[PartCrash, ...]
    ) -> None:
        """Note crashes after which the part was answered."""
