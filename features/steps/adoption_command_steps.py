"""Steps for the ``publish`` command."""

import subprocess
import sys
from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor as real_reactor

from features.loop import run_blocking, wait_for, wait_for_call
from features.steps.adoption_steps import SAMPLE, SERVICE, document
from yuccagauge.adoption.publish import publish
from yuccagauge.logstream.client import LogClient
from yuccagauge.standins import load_kinds
from yuccagauge.standins.base import STANDINS


@given('a log stand-in with matcher-llm at version 0')
def given_published(context: Context) -> None:
    load_kinds()
    standin = STANDINS.get('log')({})
    wait_for_call(standin.start)
    context.add_cleanup(wait_for_call, standin.close)
    client = LogClient(standin.endpoint, real_reactor)
    context.add_cleanup(wait_for_call, client.close)
    wait_for(publish(client, SERVICE, -1, document(1000)))
    context.config_endpoint = standin.endpoint


@when('the publish command replaces version {version} with "{document}"')
def when_command(context: Context, version: str, document: str) -> None:
    folder = Path(mkdtemp())
    text = SAMPLE.read_text(encoding='utf-8')
    priority = '77' if document == 'invalid' else '1'
    new = text.replace('priority = 2', f'priority = {priority}')
    (folder / 'new.ini').write_text(new, encoding='utf-8')
    (folder / 'router.ini').write_text(
        '[router]\nname = r\nregion = khomas\ndata_centre = khomas-a\n'
        'listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n'
        f'admin_listen = 127.0.0.1:0\nservices = {SERVICE}\n'
        f'[platform]\nlog = {context.config_endpoint}\n'
        'vm_list = 127.0.0.1:1\n',
        encoding='utf-8',
    )
    context.publish_run = run_blocking(
        lambda: subprocess.run(
            [
                sys.executable,
                '-m',
                'yuccagauge',
                'publish',
                f'--settings={folder / "router.ini"}',
                f'--document={folder / "new.ini"}',
                f'--replaces={version}',
            ],
            capture_output=True,
            text=True,
            check=False,
        ),
    )


@then('the publish command exits with {code:d} and prints "{words}"')
def then_command(context: Context, code: int, words: str) -> None:
    run = context.publish_run
    assert run.returncode == code, (run.returncode, run.stderr)
    assert words in run.stdout + run.stderr, run.stdout + run.stderr
