"""Evidence for and against a shared part of prompts."""

from collections.abc import Set
from dataclasses import dataclass, field

from yuccagauge.clock import Millis

#: Crashes that are stored for one part; the oldest is dropped first.
MAXIMUM_CRASHES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class PartCrash:
    """A crash of an engine under a run whose prompt has the part.

    The times are ages where routers exchange the crash, see ``PartEvidence``.
    """

    #: Id of the crash, the same for all runs that it broke.
    crash: str
    #: Short digest of the request.
    request: str
    sent_at: Millis
    noticed_at: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class PartEvidence:
    """The evidence on one part, as routers exchange it.

    Times are given as ages, because the clocks of routers differ.
    """

    part_id: str
    #: Crashes with the times as ages.
    crashes: tuple[PartCrash, ...]
    #: Time since a run began to be answered that the engine outlived; ``None``
    #: if there was none.
    sound_age: Millis | None


@dataclass(slots=True)
class PartRecord:
    """The evidence on one part, as one router knows it."""

    crashes: dict[str, PartCrash] = field(default_factory=dict)
    changed_at: Millis = Millis(0)
    #: When this router blamed the part, and last let a request with it through
    #: as a probe.
    blamed_at: Millis = Millis(0)
    probed_at: Millis = Millis(0)

    @property
    def crashed_at(self) -> Millis:
        """When the last crash was noticed."""
        return max(
            (crash.noticed_at for crash in self.crashes.values()),
            default=Millis(0),
        )

    def add(self, crash: PartCrash) -> bool:
        """Add a crash; return whether that changed the record.

        A crash that several routers report was noticed at the earliest of
        their times, since messages only add to an age.
        """
        known = self.crashes.get(crash.crash)
        if known is not None and known.noticed_at <= crash.noticed_at:
            return False
        self.crashes[crash.crash] = crash
        if len(self.crashes) > MAXIMUM_CRASHES:
            oldest = min(
                self.crashes.values(), key=lambda each: each.noticed_at
            )
            self.crashes.pop(oldest.crash)
        return known is None

    def drop_until(self, time: Millis) -> None:
        """Drop the crashes that were noticed up to a time."""
        self.crashes = {
            name: crash
            for name, crash in self.crashes.items()
            if crash.noticed_at > time
        }

    def open_crashes(self, sound_at: Millis | None) -> tuple[PartCrash, ...]:
        """Return the crashes after the last proof that the part is sound."""
        return tuple(
            sorted(
                (
                    crash
                    for crash in self.crashes.values()
                    if sound_at is None or crash.noticed_at > sound_at
                ),
                key=lambda crash: crash.noticed_at,
            )
        )


def is_valid_age(crash: PartCrash, maximum: Millis) -> bool:
    """Return whether the ages of a crash that a peer reports are plausible.

    A run lasts less than the time for which its crash is evidence.
    """
    return 0 <= crash.noticed_at < maximum and (
        crash.noticed_at <= crash.sent_at < crash.noticed_at + maximum
    )


def independent_crashes(
    crashes: tuple[PartCrash, ...], explained: Set[str] = frozenset()
) -> int:
    """Return how many crashes count as separate evidence against a part.

    A fault of the network breaks runs on several engines at once, so a run
    counts only if it was sent after the crash before it was noticed. A request
    that is sent again counts once, because it may crash engines by itself.

    Parameters
    ----------
    crashes
        The crashes in the order in which they were noticed.
    explained
        Ids of crashes that another part has caused.
    """
    requests: set[str] = set()
    noticed_at = Millis(0)
    for crash in crashes:
        is_repeated = crash.request in requests or crash.crash in explained
        if not is_repeated and crash.sent_at >= noticed_at:
            requests.add(crash.request)
            noticed_at = crash.noticed_at
    return len(requests)
