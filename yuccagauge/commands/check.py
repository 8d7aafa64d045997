"""Commands that check files without running anything."""

import yuccagauge
from yuccagauge.commands.base import command
from yuccagauge.settings.document import build_document
from yuccagauge.settings.process import load_router_settings
from yuccagauge.settings.reader import read_file
from yuccagauge.settings.reference import render_reference
from yuccagauge.settings.relay import load_relay_settings


@command('version')
def version() -> str:
    """Print the version."""
    return yuccagauge.__version__


@command('check-settings')
def check_settings(path: str) -> str:
    """Check a router's settings file."""
    load_router_settings(path)
    return f'{path}: ok'


@command('check-relay-settings')
def check_relay_settings(path: str) -> str:
    """Check a relay's settings file."""
    load_relay_settings(path)
    return f'{path}: ok'


@command('check-document')
def check_document(path: str) -> str:
    """Check a service document."""
    document = build_document(read_file(path), path)
    return f'{path}: ok, digest {document.digest}'


@command('configuration')
def configuration() -> str:
    """Print the reference page of all settings."""
    return render_reference().rstrip()
