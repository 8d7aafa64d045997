"""Which router occupies how many slots of a brittle server, at its home."""

from yuccagauge.clock import Millis

#: Time after the home of a server has changed in which the new one lends no
#: slot, and learns which are occupied.
LEARNING_TIME = Millis(1000)

#: Time after which a router that has told nothing occupies no slot any more.
OCCUPIED_LIFETIME = Millis(2500)

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
        """Create a ledger in which no slot is occupied."""
        self._lends_from = lends_from
        #: Slots that each router occupies, and when it last told so.
        self._occupied: dict[str, tuple[int, Millis]] = {}

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
        self._occupied = {
            name: told
            for name, told in self._occupied.items()
            if now - told[1] < OCCUPIED_LIFETIME
        }
        self._occupied[router] = (occupied, now)
        if now < self._lends_from:
            return 0
        free = capacity - sum(count for count, _ in self._occupied.values())
        lent = max(0, min(wanted, free))
        self._occupied[router] = (occupied + lent, now)
        return lent
