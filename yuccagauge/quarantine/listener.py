"""Interface to what needs the changes of a quarantine."""

from typing import Protocol


class CrashListener(Protocol):
    """Is notified of the crashes that a router notices or clears."""

    def crash_added(self, fingerprint: bytes, crash: str) -> None:
        """Note a crash that this router noticed."""

    def crashes_cleared(
        self, fingerprint: bytes, crashes: tuple[str, ...]
    ) -> None:
        """Note crashes that no longer count, here or at a peer."""
