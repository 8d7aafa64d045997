"""Steps for the commands that read running routers."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from klein import Klein
from twisted.internet import reactor
from twisted.web.server import Site

from features.loop import wait_for_call, wait_until
from yuccagauge.burn.report import burn_document
from yuccagauge.burn.store import BurnStore
from yuccagauge.clock import ManualClock, Millis

_SERVICE = 'matcher-llm'


def _documents(name: str, version: int, state: str) -> dict[str, Any]:
    member = {
        'name': 'three',
        'peer': '10.0.0.3:7100',
        'data_centre': 'khomas-a',
        'region': 'khomas',
        'incarnation': 1,
        'state': state,
    }
    store = BurnStore(name, ManualClock(Millis(0)))
    return {
        '/status': {
            'router': name,
            'data_centre': 'khomas-a',
            'region': 'khomas',
            'leaving': False,
            'running': 4,
            'documents': {_SERVICE: {'version': version, 'digest': 'ab' * 16}},
            'drains': {_SERVICE: ['10.0.0.2:9102']},
        },
        '/members': {'router': name, 'members': [member]},
        '/burn': burn_document(store, Millis(0)),
    }


def _serve(context: Context, documents: dict[str, Any]) -> str:
    app = Klein()

    def answer(request: Any, path: str) -> bytes:
        return json.dumps(documents[f'/{path}']).encode()

    app.route('/<path>')(answer)
    port = reactor.listenTCP(0, Site(app.resource()), interface='127.0.0.1')
    context.add_cleanup(wait_for_call, port.stopListening)
    return f'127.0.0.1:{port.getHost().port}'


@given('two admin routers at versions {first:d} and {second:d}')
def given_routers(context: Context, first: int, second: int) -> None:
    """Serve the documents of two routers."""
    addresses = (
        _serve(context, _documents('one', first, 'alive')),
        _serve(context, _documents('two', second, 'suspect')),
    )
    context.both = ','.join(addresses)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = Path(folder.name) / 'report.html'


@when('the admin command "{words}" is run on {target}')
def when_run(context: Context, words: str, target: str) -> None:
    """Run the program as an operator does."""
    closed = reactor.listenTCP(0, Site(None), interface='127.0.0.1')
    port = closed.getHost().port
    wait_for_call(closed.stopListening)
    targets = {
        'both': context.both,
        'both, closed': f'{context.both},127.0.0.1:{port}',
    }
    arguments = words.replace('FILE', str(context.file)).split()
    # The reactor has no handler for the end of processes, so that the
    # output goes to files and the end is polled.
    with tempfile.TemporaryFile() as output, tempfile.TemporaryFile() as errors:
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'yuccagauge',
                *arguments,
                f'--admin={targets.get(target, target)}',
            ],
            env={**os.environ, 'PYTHONPATH': os.getcwd()},
            stdout=output,
            stderr=errors,
        )
        wait_until(lambda: process.poll() is not None)
        context.code = process.returncode
        output.seek(0)
        errors.seek(0)
        context.output = output.read()
        context.errors = errors.read()


@then('the admin command ends with code {code:d} and says "{words}"')
def then_says(context: Context, code: int, words: str) -> None:
    """Check the code, and the words wherever they stand."""
    text = (context.output + context.errors).decode()
    assert context.code == code, text
    assert words in text, text
    assert 'Traceback' not in text, text


@then('the admin command prints JSON with version {version:d} for both routers')
def then_json(context: Context, version: int) -> None:
    """The keys are the addresses that were given."""
    found = json.loads(context.output)
    assert sorted(found) == sorted(context.both.split(','))
    for document in found.values():
        assert document['documents'][_SERVICE]['version'] == version


@then('the admin report file is an HTML page')
def then_file(context: Context) -> None:
    """The page says that there is no objective."""
    page = context.file.read_text()
    assert page.startswith('<!doctype html>')
    assert 'No document in force has an objective.' in page
