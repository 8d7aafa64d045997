"""The rate limit of one backend server, merged from answers and peers."""

from dataclasses import dataclass

from yuccagauge.clock import Millis


@dataclass(slots=True)
class RateLimit:
    """The latest that is known of the limit that one server names.

    A server names its limit in each answer, for as long as it needs one.
    Answers overtake each other, and peers report late. An answer is made at an
    unknown time between the send of its call and its arrival, so a limit
    counts as named at its arrival, and as absent at the send.
    """

    #: Calls a second that the server takes from all routers together; ``None``
    #: if it names no limit.
    per_second: float | None = None
    #: When an answer that names the limit last arrived, at any router.
    named_at: Millis = Millis(0)
    #: When the limit or its absence last changed here.
    changed_at: Millis = Millis(0)
    #: Latest time at which the server certainly named no limit.
    absent_at: Millis = Millis(-1)

    def record_named(
        self, per_second: float, named_at: Millis, now: Millis
    ) -> bool:
        """Record a limit; return whether this changes what is known."""
        if named_at <= max(self.absent_at, self.named_at):
            return False
        self.named_at = named_at
        return self._change(per_second, now)

    def record_absent(self, absent_at: Millis, now: Millis) -> bool:
        """Record that the server named none; return whether it had one."""
        self.absent_at = max(self.absent_at, absent_at)
        if self.absent_at <= self.named_at:
            return False
        return self._change(None, now)

    def _change(self, per_second: float | None, now: Millis) -> bool:
        if per_second == self.per_second:
            return False
        self.per_second = per_second
        self.changed_at = now
        return True
