"""Which router occupies how many slots of a brittle server, at its home."""

from collections.abc import Container

from yuccagauge.clock import Millis

#: Time after the home of a server has changed in which the new one lends no
#: slot, and learns which are occupied.
LEARNING_TIME = Millis(1000)

#: Time without a word of a router after which its slots count as free.
HOLDER_LIFETIME = Millis(2500)

#: Wait of a router to which no slot can be lent.
FULL_WAIT = Millis(15)


class SlotLedger:
    """Lends the slots of one server to routers.

    Parameters
    ----------
    lends_from
        When it is known which slots other routers occupy.
    """

    def __init__(self, lends_from: Millis) -> None:
        """Create without holders."""
        self._lends_from = lends_from
        #: Slots that each router occupies, and when it last said so.
        self._holders: dict[str, tuple[int, Millis]] = {}

    def lend(
        self,
        router: str,
        occupied: int,
        wanted: int,
        capacity: int,
        now: Millis,
    ) -> int:
        """Return how many slots a router gets besides those it occupies.

        Parameters
        ----------
        capacity
            Slots that all routers together may occupy.
        """
        self._holders = {
            name: held
            for name, held in self._holders.items()
            if now - held[1] < HOLDER_LIFETIME
        }
        self._holders[router] = (occupied, now)
        if now < self._lends_from:
            return 0
        free = capacity - sum(held for held, _ in self._holders.values())
        count = max(0, min(wanted, free))
        self._holders[router] = (occupied + count, now)
        return count

    def keep(self, routers: Container[str]) -> None:
        """Forget routers that are not listed."""
        self._holders = {
            name: held
            for name, held in self._holders.items()
            if name in routers
        }
