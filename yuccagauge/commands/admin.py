"""Commands that read the admin interfaces of running routers.

Exit codes: 0 if all routers answered and agree, 1 if one did not answer or
the versions in force differ, 2 after a mistake in the arguments.
"""

import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote

from yuccagauge.commands.base import command
from yuccagauge.errors import SettingsError
from yuccagauge.explain.text import render_backends, render_request

#: Exit code when routers are missing or disagree.
EXIT_INCOMPLETE = 1


@command('status')
def status(admin: str, json: bool = False) -> None:
    """Show which version is in force where, and what is leaving."""
    from yuccagauge.peering import admin as view

    answers = view.ask_all(view.parse_addresses(admin), '/status')
    text = view.as_json(answers) if json else view.render_status(answers)
    is_complete = not view.find_disagreements(answers)
    _finish(text, answers, is_complete=is_complete)


@command('members')
def members(admin: str, json: bool = False) -> None:
    """Show the members of the fleet as the routers see them."""
    from yuccagauge.peering import admin as view

    answers = view.ask_all(view.parse_addresses(admin), '/members')
    text = view.as_json(answers) if json else view.render_members(answers)
    _finish(text, answers, is_complete=True)


@command('report')
def report(admin: str, output: str = '') -> None:
    """Show burn rates and error budgets, or write them as an HTML page."""
    from rich.console import Console

    from yuccagauge.burn.page import print_report, render_page
    from yuccagauge.burn.report import build_report
    from yuccagauge.peering import admin as view

    answers = view.ask_all(view.parse_addresses(admin), '/burn')
    found = build_report(
        answer.document for answer in answers if not answer.failure
    )
    if output:
        _write(output, render_page(found))
        text = f'{output}: written'
    else:
        print_report(found, Console())
        text = ''
    failures = [
        f'{answer.address}: {answer.failure}'
        for answer in answers
        if answer.failure
    ]
    lines = filter(None, (text, *failures))
    _finish('\n'.join(lines), answers, is_complete=True)


def _explain_by_log(request_id: str, path: str) -> str:
    from yuccagauge.explain.logfile import (
        follow_request,
        read_lines,
        render_lines,
    )

    try:
        text = Path(path).read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        reason = f'{error.strerror}'
        raise SettingsError(
            path, '', '--log', reason, 'a readable file'
        ) from None
    found = follow_request(read_lines(text.splitlines()), request_id)
    return render_lines(found, request_id)


@command('explain')
def explain(
    request_id: str,
    admin: str = '',
    json: bool = False,
    log: str = '',
) -> None:
    """Explain a request, by running routers or by the log of relays.

    Parameters
    ----------
    request_id
        The request.
    admin
        Admin addresses of running routers.
    json
        Print the records as JSON; not for logs.
    log
        A file with the log lines of one or more relays.
    """
    if log:
        sys.stdout.write(f'{_explain_by_log(str(request_id), log)}\n')
        return
    from yuccagauge.peering import admin as view

    addresses = view.parse_addresses(admin)
    answers = view.ask_all(addresses, f'/explain/{quote(request_id, safe="")}')
    found = tuple(answer for answer in answers if not answer.failure)
    if json:
        text = view.as_json(found or answers)
    elif found:
        text = render_request(found[0].document)
    else:
        text = f'{request_id}: none of the routers that answered has a record'
    _finish(text, found or answers, is_complete=True)


@command('backends')
def backends(admin: str, json: bool = False) -> None:
    """Say of each backend server whether it gets work, and why not."""
    from yuccagauge.peering import admin as view

    answers = view.ask_all(view.parse_addresses(admin), '/backends')
    text = view.as_json(answers) if json else render_backends(answers)
    _finish(text, answers, is_complete=True)


def _write(path: str, text: str) -> None:
    try:
        Path(path).write_text(text, encoding='utf-8')
    except OSError as error:
        raise SettingsError(
            'arguments',
            '',
            'output',
            path,
            f'a file that can be written ({error.strerror})',
        ) from None


def _finish(text: str, answers: Any, *, is_complete: bool) -> None:
    if text:
        sys.stdout.write(f'{text}\n')
    if not is_complete or any(answer.failure for answer in answers):
        sys.exit(EXIT_INCOMPLETE)
