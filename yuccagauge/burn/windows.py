"""Burn rates over several windows, and the alerts that follow.

The pairs of windows and the factors are those of chapter 5 of the SRE
workbook: an alert is raised while the burn rate exceeds the factor over
the long window and over the short one. The short window ends the alert
soon after the cause has ended.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from yuccagauge.burn.base import NO_COUNTS, Indicator, Series, add_counts
from yuccagauge.burn.state import BurnState
from yuccagauge.clock import Millis

_MINUTE = 60_000
_HOUR = 60 * _MINUTE
_DAY = 24 * _HOUR

#: Period over which the error budget is granted, in milliseconds.
BUDGET_PERIOD = Millis(30 * _DAY)

#: Windows of the report, by label, in milliseconds.
REPORT_WINDOWS = {
    '5 min': Millis(5 * _MINUTE),
    '1 h': Millis(_HOUR),
    '6 h': Millis(6 * _HOUR),
    '3 d': Millis(3 * _DAY),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class AlertRule:
    """A pair of windows with a factor."""

    name: str
    #: ``page`` or ``ticket``.
    severity: str
    #: Windows in milliseconds.
    long: Millis
    short: Millis
    factor: float


#: 14.4 spends 2 % of the budget in 1 h, 6 spends 5 % in 6 h, and 1 spends
#: 10 % in 3 d.
ALERT_RULES = (
    AlertRule(
        name='fast',
        severity='page',
        long=Millis(_HOUR),
        short=Millis(5 * _MINUTE),
        factor=14.4,
    ),
    AlertRule(
        name='medium',
        severity='page',
        long=Millis(6 * _HOUR),
        short=Millis(30 * _MINUTE),
        factor=6,
    ),
    AlertRule(
        name='slow',
        severity='ticket',
        long=Millis(3 * _DAY),
        short=Millis(6 * _HOUR),
        factor=1,
    ),
)

#: A window with fewer requests raises no alert: one miss in ten requests
#: would otherwise page at any target.
MINIMUM_REQUESTS = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Burn:
    """Misses of one indicator over one window."""

    requests: int
    misses: int
    #: Share of misses divided by the share that the target allows.
    rate: float


class BurnView:
    """The counts of all routers together.

    Parameters
    ----------
    states
        The latest state of each router.
    """

    def __init__(self, states: Iterable[BurnState]) -> None:
        """Keep the states."""
        self._states = tuple(states)

    @property
    def series(self) -> tuple[Series, ...]:
        """All series, in order."""
        return tuple(
            sorted({found for state in self._states for found in state.series}),
        )

    def burn(
        self,
        series: Iterable[Series],
        indicator: Indicator,
        target: float,
        window: Millis,
        wall: Millis,
    ) -> Burn:
        """Return the burn of several series together."""
        total = NO_COUNTS
        for one in series:
            for state in self._states:
                total = add_counts(total, state.total(one, window, wall))
        requests, misses = total[0], total[indicator]
        share = misses / requests if requests else 0
        return Burn(
            requests=requests,
            misses=misses,
            rate=share / (1 - target),
        )

    def budget(
        self,
        series: Iterable[Series],
        indicator: Indicator,
        target: float,
        wall: Millis,
    ) -> Burn:
        """Return the burn over the budget period.

        A rate of 1 has spent the whole error budget.
        """
        return self.burn(series, indicator, target, BUDGET_PERIOD, wall)

    def alerts(
        self,
        series: Iterable[Series],
        indicator: Indicator,
        target: float,
        wall: Millis,
    ) -> tuple[AlertRule, ...]:
        """Return the rules whose alert is raised."""
        together = tuple(series)

        def is_over(rule: AlertRule, window: Millis) -> bool:
            burn = self.burn(together, indicator, target, window, wall)
            if burn.requests < MINIMUM_REQUESTS:
                return False
            return burn.rate > rule.factor

        return tuple(
            rule
            for rule in ALERT_RULES
            if is_over(rule, rule.long) and is_over(rule, rule.short)
        )
