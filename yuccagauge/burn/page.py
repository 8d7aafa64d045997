"""Render the report as one HTML file, or for a terminal."""

import datetime
from pathlib import Path
from typing import Any

import jinja2
from rich.console import Console
from rich.table import Table

from yuccagauge.burn.plots import embed, plot_objectives
from yuccagauge.burn.report import INDICATOR_NAMES, Line, Report
from yuccagauge.burn.windows import REPORT_WINDOWS

_MILLISECONDS_PER_SECOND = 1000
_PER_CENT = 100
_TEMPLATE = 'page.html'


def render_page(report: Report) -> str:
    """Return the page; its pictures are inside of it."""
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(Path(__file__).parent),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    pictures = plot_objectives(report)
    return environment.get_template(_TEMPLATE).render(
        report=report,
        time=format_time(report),
        names=INDICATOR_NAMES,
        windows=tuple(REPORT_WINDOWS),
        raised=[line for line in report.summary if line.alerts],
        sections=[
            _section(report, key, picture) for key, picture in pictures.items()
        ],
    )


def print_report(report: Report, console: Console) -> None:
    """Write the summary as a table."""
    routers = ', '.join(report.routers)
    console.print(f'As of {format_time(report)} UTC, from {routers}')
    table = Table()
    for heading in ('service', 'objective', 'indicator'):
        table.add_column(heading)
    table.add_column('requests', justify='right')
    for label in REPORT_WINDOWS:
        table.add_column(f'burn {label}', justify='right')
    table.add_column('budget left', justify='right')
    table.add_column('alerts')
    for line in report.summary:
        table.add_row(*_cells(line), style='bold' if line.alerts else '')
    console.print(table)


def format_time(report: Report) -> str:
    """Return the time of the report, in UTC."""
    seconds = report.wall / _MILLISECONDS_PER_SECOND
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M')


def _cells(line: Line) -> list[str]:
    rates = [f'{line.rates[label]:.2f}' for label in REPORT_WINDOWS]
    return [
        line.service,
        line.objective,
        INDICATOR_NAMES[line.indicator],
        f'{line.requests:,}',
        *rates,
        f'{line.budget_left * _PER_CENT:.1f} %',
        ', '.join(line.alerts) or 'none',
    ]


def _section(
    report: Report,
    key: tuple[str, str],
    picture: bytes,
) -> dict[str, Any]:
    def of_key(lines: tuple[Line, ...]) -> list[Line]:
        return [line for line in lines if (line.service, line.objective) == key]

    summary = of_key(report.summary)
    return {
        'service': key[0],
        'objective': key[1],
        'target': summary[0].target,
        'picture': embed(picture),
        'summary': summary,
        'priorities': of_key(report.priorities),
        'customers': of_key(report.customers),
    }
