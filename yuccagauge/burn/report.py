"""The figures of the report, from the answers of the routers."""

import base64
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from yuccagauge.burn.base import Indicator, Series
from yuccagauge.burn.codec import (
    BurnFormatError,
    decode_buckets,
    encode_buckets,
)
from yuccagauge.burn.state import TIERS, BurnState
from yuccagauge.burn.store import BurnStore
from yuccagauge.burn.windows import REPORT_WINDOWS, BurnView
from yuccagauge.clock import Millis

#: Words for the indicators.
INDICATOR_NAMES = {
    Indicator.AVAILABILITY: 'complete answer',
    Indicator.FIRST_TOKEN: 'time to first token',
    Indicator.BETWEEN_TOKENS: 'time between tokens',
    Indicator.WASTE: 'recomputed tokens',
}

#: Customers in the report for each objective; those that burn most.
WORST_CUSTOMERS = 10

_ALL = 'all'
_TEN_MINUTES = 1
_DAYS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """One line of a table: a scope under one indicator."""

    service: str
    objective: str
    indicator: Indicator
    #: ``all``, ``priority 2`` or ``customer namport``.
    scope: str
    target: float
    #: Requests of the budget period.
    requests: int
    #: Burn rates by the label of the window.
    rates: Mapping[str, float]
    budget_left: float
    #: Names of the alerts that are raised.
    alerts: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Trend:
    """Points over time of one objective, oldest first."""

    service: str
    objective: str
    indicator: Indicator
    #: Burn rate of each 10 minutes of the last 6 h; ``None`` without
    #: requests.
    recent: tuple[float | None, ...]
    #: Share of the budget left at the end of each of the last 30 days.
    budget: tuple[float, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Everything that the page and the terminal show."""

    wall: Millis
    routers: tuple[str, ...]
    #: One line for each objective and indicator.
    summary: tuple[Line, ...]
    priorities: tuple[Line, ...]
    customers: tuple[Line, ...]
    trends: tuple[Trend, ...]


def burn_document(store: BurnStore, wall: Millis) -> dict[str, Any]:
    """Return what the admin interface answers at ``/burn``."""
    return {
        'wall': wall,
        'objectives': {
            service: {name: found.target for name, found in objectives.items()}
            for service, objectives in store.objectives.items()
        },
        'states': {
            origin: base64.b64encode(encode_buckets(state.buckets())).decode()
            for origin, state in store.states.items()
        },
    }


def build_report(documents: Iterable[Mapping[str, Any]]) -> Report:
    """Merge the answers of several routers into one report.

    Raises
    ------
    BurnFormatError
        If an answer is of another form.
    """
    states: dict[str, BurnState] = {}
    targets: dict[tuple[str, str], float] = {}
    wall = 0
    for document in documents:
        try:
            _merge(document, states, targets)
            wall = max(wall, int(document['wall']))
        except (KeyError, TypeError, ValueError) as error:
            raise BurnFormatError(f'an answer lacks {error}') from None
    view = BurnView(states.values())
    builder = _Builder(view, states, targets, Millis(wall))
    return Report(
        wall=Millis(wall),
        routers=tuple(sorted(states)),
        summary=builder.summary(),
        priorities=builder.priorities(),
        customers=builder.customers(),
        trends=builder.trends(),
    )


def _merge(
    document: Mapping[str, Any],
    states: dict[str, BurnState],
    targets: dict[tuple[str, str], float],
) -> None:
    for service, objectives in document['objectives'].items():
        for name, target in objectives.items():
            targets[service, name] = float(target)
    for origin, packed in document['states'].items():
        state = states.setdefault(origin, BurnState())
        state.merge(decode_buckets(base64.b64decode(packed)))


class _Builder:
    def __init__(
        self,
        view: BurnView,
        states: Mapping[str, BurnState],
        targets: Mapping[tuple[str, str], float],
        wall: Millis,
    ) -> None:
        self._view = view
        self._states = tuple(states.values())
        self._targets = targets
        self._wall = wall
        self._groups: dict[tuple[str, str], list[Series]] = {
            key: [] for key in sorted(targets)
        }
        for series in view.series:
            key = (series.service, series.objective)
            if key in self._groups:
                self._groups[key].append(series)

    def summary(self) -> tuple[Line, ...]:
        return tuple(
            self._line(key, indicator, _ALL, series)
            for key, series in self._groups.items()
            for indicator in Indicator
        )

    def priorities(self) -> tuple[Line, ...]:
        return self._scoped(lambda series: f'priority {series.priority}')

    def customers(self) -> tuple[Line, ...]:
        lines = self._scoped(lambda series: f'customer {series.customer}')
        spent = [line for line in lines if line.budget_left < 1]
        spent.sort(key=lambda line: line.budget_left)
        kept: list[Line] = []
        for key in self._groups:
            of_key = [
                line for line in spent if (line.service, line.objective) == key
            ]
            kept.extend(of_key[:WORST_CUSTOMERS])
        return tuple(kept)

    def trends(self) -> tuple[Trend, ...]:
        return tuple(
            Trend(
                service=key[0],
                objective=key[1],
                indicator=indicator,
                recent=self._recent(key, indicator, series),
                budget=self._budget(key, indicator, series),
            )
            for key, series in self._groups.items()
            for indicator in Indicator
        )

    def _scoped(self, scope_of: Any) -> tuple[Line, ...]:
        lines: list[Line] = []
        for key, group in self._groups.items():
            scopes: dict[str, list[Series]] = {}
            for series in group:
                scopes.setdefault(scope_of(series), []).append(series)
            lines.extend(
                self._line(key, indicator, scope, scopes[scope])
                for scope in sorted(scopes)
                for indicator in Indicator
            )
        return tuple(lines)

    def _line(
        self,
        key: tuple[str, str],
        indicator: Indicator,
        scope: str,
        series: list[Series],
    ) -> Line:
        target = self._targets[key]
        month = self._view.budget(series, indicator, target, self._wall)
        rates = {
            label: self._view.burn(
                series,
                indicator,
                target,
                window,
                self._wall,
            ).rate
            for label, window in REPORT_WINDOWS.items()
        }
        raised = self._view.alerts(series, indicator, target, self._wall)
        return Line(
            service=key[0],
            objective=key[1],
            indicator=indicator,
            scope=scope,
            target=target,
            requests=month.requests,
            rates=rates,
            budget_left=1 - month.rate,
            alerts=tuple(f'{rule.severity}: {rule.name}' for rule in raised),
        )

    def _recent(
        self,
        key: tuple[str, str],
        indicator: Indicator,
        series: list[Series],
    ) -> tuple[float | None, ...]:
        allowed = 1 - self._targets[key]
        points: list[float | None] = []
        for requests, misses in self._points(
            indicator,
            series,
            _TEN_MINUTES,
            36,
        ):
            points.append(misses / requests / allowed if requests else None)
        return tuple(points)

    def _budget(
        self,
        key: tuple[str, str],
        indicator: Indicator,
        series: list[Series],
    ) -> tuple[float, ...]:
        points = self._points(indicator, series, _DAYS, 30)
        granted = sum(requests for requests, _ in points)
        granted *= 1 - self._targets[key]
        left: list[float] = []
        spent = 0
        for _, misses in points:
            spent += misses
            left.append(1 - spent / granted if granted else 1)
        return tuple(left)

    def _points(
        self,
        indicator: Indicator,
        series: list[Series],
        tier: int,
        count: int,
    ) -> list[tuple[int, int]]:
        last = self._wall // TIERS[tier].length
        points: list[tuple[int, int]] = []
        for index in range(last - count + 1, last + 1):
            found = [
                state.counts(one, tier, index)
                for one in series
                for state in self._states
            ]
            requests = sum(counts[0] for counts in found)
            misses = sum(counts[indicator] for counts in found)
            points.append((requests, misses))
        return points
