"""Sum the demand of customers over all routers, in two levels.

Each router tells the routers of its data centre the demand of its largest
customers. One router of each data centre, its summariser, sends the sum to
the summarisers of the others and hands theirs on to its own data centre.
Smaller customers are left out; their limits are shared out evenly.
"""

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import numpy as np
import xxhash

from yuccagauge.clock import Millis
from yuccagauge.wire.messages import DemandShare

#: Scopes of a message.
OWN_SCOPE = 0
DATA_CENTRE_SCOPE = 1
OTHERS_SCOPE = 2

#: Customers in a message about one router.
OWN_CUSTOMERS = 16

#: Customers in a message about one data centre.
SUM_CUSTOMERS = 64

#: A message counts for this time, in milliseconds: three periods.
_LIFETIME = Millis(30_000)

_LAYOUT = np.dtype([('customer', '<u4'), ('rate', '<f2')])

# Rates below this say nothing about a limit, in requests/s.
_LOWEST_RATE = 0.01


@dataclass(frozen=True, slots=True, kw_only=True)
class _Heard:
    rates: Mapping[int, float]
    expires_at: Millis


class DemandExchange:
    """What this router knows about the demand of customers.

    Parameters
    ----------
    data_centre
        The own data centre.
    """

    def __init__(self, data_centre: str) -> None:
        """Start without demand."""
        self._data_centre = data_centre
        self._names: dict[int, str] = {}
        self._own: dict[int, float] = {}
        self._routers: dict[str, _Heard] = {}
        self._centres: dict[str, _Heard] = {}
        self._others: _Heard | None = None

    def set_customers(self, names: Iterable[str]) -> None:
        """Take the customers of the documents in force."""
        self._names = {hash_customer(name): name for name in names}

    def set_own(self, rates: Mapping[str, float]) -> None:
        """Take this router's demand, in requests/s by customer."""
        self._own = {hash_customer(name): rate for name, rate in rates.items()}

    def own_share(self) -> DemandShare:
        """Return what the routers of the data centre have to hear."""
        return self._message(OWN_SCOPE, self._own, OWN_CUSTOMERS)

    def centre_share(self, now: Millis) -> DemandShare:
        """Return the sum that a summariser sends to other data centres."""
        return self._message(
            DATA_CENTRE_SCOPE,
            self._centre_sum(now),
            SUM_CUSTOMERS,
        )

    def others_share(self, now: Millis) -> DemandShare:
        """Return the other data centres' sum for the own one."""
        total = _sum(self._centres.values(), now)
        return self._message(OTHERS_SCOPE, total, SUM_CUSTOMERS)

    def receive(self, message: DemandShare, sender: str, now: Millis) -> None:
        """Take a message; one of an unknown scope is ignored."""
        heard = _Heard(
            rates=_unpack(message.demand),
            expires_at=Millis(now + _LIFETIME),
        )
        if message.scope == DATA_CENTRE_SCOPE:
            if message.data_centre != self._data_centre:
                self._centres[message.data_centre] = heard
        elif message.data_centre != self._data_centre:
            return
        elif message.scope == OWN_SCOPE:
            self._routers[sender] = heard
        elif message.scope == OTHERS_SCOPE:
            self._others = heard

    def total(self, now: Millis) -> dict[str, float]:
        """Return the fleet's demand by customer, in requests/s."""
        total = Counter(self._centre_sum(now))
        if self._others is not None and self._others.expires_at > now:
            total.update(self._others.rates)
        else:
            total.update(_sum(self._centres.values(), now))
        self._expire(now)
        return {
            self._names[key]: rate
            for key, rate in total.items()
            if key in self._names
        }

    def _centre_sum(self, now: Millis) -> Mapping[int, float]:
        total = Counter(self._own)
        total.update(_sum(self._routers.values(), now))
        return total

    def _expire(self, now: Millis) -> None:
        for table in (self._routers, self._centres):
            for key, heard in tuple(table.items()):
                if heard.expires_at <= now:
                    table.pop(key)

    def _message(
        self,
        scope: int,
        rates: Mapping[int, float],
        count: int,
    ) -> DemandShare:
        largest = heapq.nlargest(
            count,
            (
                (rate, key)
                for key, rate in rates.items()
                if rate >= _LOWEST_RATE
            ),
        )
        rows = [(key, rate) for rate, key in largest]
        return DemandShare(
            scope=scope,
            data_centre=self._data_centre,
            demand=np.array(rows, dtype=_LAYOUT).tobytes(),
        )


def hash_customer(name: str) -> int:
    """Return the 32-bit hash that stands for a customer."""
    return xxhash.xxh32_intdigest(name.encode())


def _sum(heard: Iterable[_Heard], now: Millis) -> Mapping[int, float]:
    total: Counter[int] = Counter()
    for one in heard:
        if one.expires_at > now:
            total.update(one.rates)
    return total


def _unpack(packed: bytes) -> dict[int, float]:
    whole = len(packed) // _LAYOUT.itemsize * _LAYOUT.itemsize
    rows = np.frombuffer(packed[:whole], dtype=_LAYOUT).tolist()
    return {key: rate for key, rate in rows if 0 <= rate < float('inf')}
