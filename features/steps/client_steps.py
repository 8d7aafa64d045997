"""Steps with the published client against processes of the program."""

import hashlib
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import httpx2
import openai
from behave import given, then, when
from behave.runner import Context

from yuccagauge.demo.ports import choose_ports
from yuccagauge.settings.reader import RawSections, render
from yuccagauge.standins.answers import answer_tokens, parse_turns

_PROJECT = Path(__file__).parent.parent.parent
_READY_SECONDS = 30
_CREDENTIAL = 'a-credential'
_MODEL = 'matcher-70b'
_VERSION = 'w1'
_SERVICE = 'matcher-llm'
_MAXIMUM_TOKENS = 20


class Processes:
    """Processes of one scenario, ended in the reverse order."""

    def __init__(self, context: Context) -> None:
        """Make a directory for settings and errors."""
        held = tempfile.TemporaryDirectory(prefix='yuccagauge-client-')
        context.add_cleanup(held.cleanup)
        self._context = context
        self._directory = Path(held.name)

    def write(self, name: str, sections: RawSections) -> str:
        """Write an INI file and return its path."""
        path = self._directory / f'{name}.ini'
        path.write_text(render(sections), encoding='utf-8')
        return str(path)

    def start(self, *arguments: str) -> subprocess.Popen[str]:
        """Start a process that is ended with the scenario."""
        process = subprocess.Popen(
            (sys.executable, '-m', 'yuccagauge', *arguments),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env={**os.environ, 'PYTHONPATH': str(_PROJECT)},
        )
        self._context.add_cleanup(_end, process)
        return process

    def standin(self, name: str, kind: str, sections: RawSections) -> str:
        """Start a stand-in and return its address."""
        settings = self.write(name, sections)
        process = self.start('standin', kind, f'--settings={settings}')
        return json.loads(process.stdout.readline())['address']


def _end(process: subprocess.Popen[str]) -> None:
    process.terminate()
    process.wait()
    process.stdout.close()


def _document(engines: list[str]) -> RawSections:
    digest = hashlib.sha256(_CREDENTIAL.encode()).hexdigest()
    backends = {
        f'backend {engine}': {'data_centre': 'centre-a'} for engine in engines
    }
    return {
        'service': {'name': _SERVICE, 'kind': 'model', 'owner': 'tests'},
        f'model {_MODEL}': {'weights_version': _VERSION},
        'customer namport': {'credential_sha256': digest},
        **backends,
    }


@given('a router process for the published client with two engine processes')
def given_router(context: Context) -> None:
    """Start the stand-ins, publish the document, start the router."""
    processes = Processes(context)
    log = processes.standin('log', 'log', {})
    vm_list = processes.standin('vm-list', 'vm-list', {})
    section = {'models': _MODEL, 'weights_version': _VERSION}
    engines = [
        processes.standin(f'engine-{index}', 'engine', {'engine': section})
        for index in range(2)
    ]
    ports = choose_ports(1)[0]
    settings = processes.write(
        'router',
        {
            'router': {
                'name': 'router-0',
                'region': 'region-1',
                'data_centre': 'centre-a',
                'listen': str(ports.callers),
                'peer_listen': str(ports.peers),
                'admin_listen': str(ports.admin),
                'services': _SERVICE,
                'drain_grace_ms': '0',
            },
            'platform': {'log': log, 'vm_list': vm_list},
        },
    )
    document = processes.write('document', _document(engines))
    publishing = processes.start(
        'publish',
        f'--settings={settings}',
        f'--document={document}',
        '--replaces=-1',
    )
    assert publishing.wait(_READY_SECONDS) == 0
    processes.start('router', f'--settings={settings}')
    _wait_for_document(str(ports.admin))
    context.callers = ports.callers
    context.client_answers = []


def _wait_for_document(admin: str) -> None:
    end = time.monotonic() + _READY_SECONDS
    pause = threading.Event()
    while time.monotonic() < end:
        try:
            status = httpx2.get(f'http://{admin}/status').json()
        except httpx2.TransportError:
            status = {'documents': {}}
        if _SERVICE in status['documents']:
            return
        pause.wait(0.05)
    raise AssertionError('the router has no document in force')


def _client(context: Context, credential: str) -> openai.OpenAI:
    client = openai.OpenAI(
        api_key=credential,
        base_url=f'http://{context.callers}/v1',
        max_retries=0,
    )
    context.add_cleanup(client.close)
    return client


def _messages(number: int) -> list[dict[str, str]]:
    return [
        {'role': 'system', 'content': 'The treaty wording. ' * 400},
        {'role': 'user', 'content': f'Question {number}'},
    ]


@when(
    'the published client streams {count:d} answers with the same long prefix',
)
def when_streamed(context: Context, count: int) -> None:
    """Read the answers to their ends."""
    client = _client(context, _CREDENTIAL)
    for number in range(count):
        stream = client.chat.completions.create(
            model=_MODEL,
            messages=_messages(number),
            stream=True,
            stream_options={'include_usage': True},
            seed=number,
            max_tokens=_MAXIMUM_TOKENS,
        )
        context.client_answers.append(list(stream))


@then('each answer to the published client is whole and exact')
def then_exact(context: Context) -> None:
    """Compare with the deterministic function of the engine."""
    for number, chunks in enumerate(context.client_answers):
        expected = answer_tokens(
            parse_turns(_messages(number)),
            seed=number,
            model=_MODEL,
            weights_version=_VERSION,
            max_tokens=_MAXIMUM_TOKENS,
        )
        choices = [chunk.choices[0] for chunk in chunks if chunk.choices]
        found = [choice.delta.content or '' for choice in choices]
        assert ''.join(found) == ''.join(expected), found
        assert choices[-1].finish_reason == 'stop', choices[-1]


@then('the last answer to the published client reports cached tokens')
def then_cached(context: Context) -> None:
    """Read the usage of the last chunk."""
    usage = context.client_answers[-1][-1].usage
    assert usage.prompt_tokens_details.cached_tokens > 0, usage


@when('the published client calls with a wrong credential')
def when_wrong(context: Context) -> None:
    """Keep the error."""
    context.client_error = None
    try:
        _client(context, 'another').chat.completions.create(
            model=_MODEL,
            messages=_messages(0),
            stream=True,
        )
    except openai.APIStatusError as error:
        context.client_error = error


@then(
    'the published client raises an authentication error '
    'with verdict "{verdict}"',
)
def then_wrong(context: Context, verdict: str) -> None:
    """Check the type of the error and the verdict."""
    error: Any = context.client_error
    assert isinstance(error, openai.AuthenticationError), error
    assert error.body['verdict'] == verdict, error.body
