"""Plots of the report, as PNG pictures for a page or a file."""

import base64
import io
from collections.abc import Iterable, Mapping

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import FixedLocator

from yuccagauge.burn.base import Indicator
from yuccagauge.burn.report import INDICATOR_NAMES, Report, Trend
from yuccagauge.burn.windows import ALERT_RULES

_DOTS_PER_INCH = 110
_SIZE = (9.5, 3.4)
_PER_CENT = 100
_MINUTES = 10
_RATE_TICKS = (0, 1, 10, 100, 1000)
_MINUTES_PER_HOUR = 60

# Colours that stay apart for readers with a colour vision deficiency
# (Okabe and Ito), with a line style each for print.
_STYLES: Mapping[Indicator, Mapping[str, str]] = {
    Indicator.AVAILABILITY: {'color': '#0072b2', 'linestyle': '-'},
    Indicator.FIRST_TOKEN: {'color': '#d55e00', 'linestyle': '--'},
    Indicator.BETWEEN_TOKENS: {'color': '#009e73', 'linestyle': '-.'},
    Indicator.WASTE: {'color': '#cc79a7', 'linestyle': ':'},
}


def plot_objectives(report: Report) -> dict[tuple[str, str], bytes]:
    """Return one picture for each service and objective."""
    mpl.use('Agg')
    groups: dict[tuple[str, str], list[Trend]] = {}
    for trend in report.trends:
        key = (trend.service, trend.objective)
        groups.setdefault(key, []).append(trend)
    return {key: _plot(trends) for key, trends in groups.items()}


def embed(picture: bytes) -> str:
    """Return a data URL, so that the page is one file."""
    return 'data:image/png;base64,' + base64.b64encode(picture).decode()


def _plot(trends: Iterable[Trend]) -> bytes:
    figure = Figure(figsize=_SIZE, layout='constrained')
    recent, budget = figure.subplots(1, 2)
    for trend in trends:
        _draw(recent, budget, trend)
    _finish_recent(recent)
    _finish_budget(budget)
    handles, labels = recent.get_legend_handles_labels()
    figure.legend(
        handles,
        labels,
        loc='outside lower center',
        ncols=len(labels),
        frameon=False,
        fontsize=8,
    )
    buffer = io.BytesIO()
    figure.savefig(buffer, format='png', dpi=_DOTS_PER_INCH)
    return buffer.getvalue()


def _draw(recent: Axes, budget: Axes, trend: Trend) -> None:
    name = INDICATOR_NAMES[trend.indicator]
    style = _STYLES[trend.indicator]
    count = len(trend.recent)
    hours = [
        (index + 1 - count) * _MINUTES / _MINUTES_PER_HOUR
        for index in range(count)
    ]
    rates = [float('nan') if rate is None else rate for rate in trend.recent]
    recent.plot(hours, rates, label=name, linewidth=1.6, **style)
    days = [index + 1 - len(trend.budget) for index in range(len(trend.budget))]
    left = [share * _PER_CENT for share in trend.budget]
    budget.plot(days, left, linewidth=1.6, **style)


def _finish_recent(axes: Axes) -> None:
    axes.set_title('Burn rate of each 10 minutes', fontsize=10)
    axes.set_xlabel('hours (0 is now)', fontsize=9)
    axes.set_ylabel('burn rate (1 spends the budget in 30 d)', fontsize=8)
    # Linear near 0 and logarithmic above, because rates go from 0 to 1,000.
    axes.set_yscale('symlog', linthresh=1)
    axes.set_ylim(bottom=0)
    _low, high = axes.get_ylim()
    axes.set_ylim(0, max(high, 30))
    axes.yaxis.set_major_locator(FixedLocator(_RATE_TICKS))
    axes.yaxis.set_major_formatter('{x:g}')
    for rule in ALERT_RULES:
        axes.axhline(rule.factor, color='#888888', linewidth=0.7)
        axes.annotate(
            f'{rule.name} {rule.factor:g}',
            (0.01, rule.factor),
            xycoords=('axes fraction', 'data'),
            fontsize=7,
            color='#555555',
            verticalalignment='bottom',
        )
    _finish(axes)


def _finish_budget(axes: Axes) -> None:
    axes.set_title('Error budget left, over 30 days', fontsize=10)
    axes.set_xlabel('days (0 is today)', fontsize=9)
    axes.set_ylabel('% of the budget', fontsize=8)
    low, _high = axes.get_ylim()
    axes.set_ylim(min(low, 0), 105)
    axes.axhline(0, color='#888888', linewidth=0.7)
    _finish(axes)


def _finish(axes: Axes) -> None:
    axes.tick_params(labelsize=8)
    axes.grid(color='#e6e6e6', linewidth=0.6)
    axes.set_axisbelow(True)
    axes.spines[['top', 'right']].set_visible(False)
