"""The command that publishes a service document."""

import sys

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import react

from yuccagauge.adoption.publish import (
    Accepted,
    Invalid,
    NotPublishedError,
    PublicationResult,
    PublicationUnknownError,
    publish,
)
from yuccagauge.commands.base import EXIT_MISTAKE, command
from yuccagauge.errors import SettingsError
from yuccagauge.logstream.client import LogClient
from yuccagauge.settings.document import build_document
from yuccagauge.settings.process import load_router_settings
from yuccagauge.settings.reader import RawSections, read_file

#: Exit code when another version was in force.
EXIT_LOST = 3

#: Exit code when the log gave no outcome.
EXIT_UNKNOWN = 4


@command('publish')
def publish_document(settings: str, document: str, replaces: int) -> None:
    """Publish a document in place of the version it was made from.

    Exit codes: 0 accepted, 2 invalid, 3 lost to another version, 4 no
    outcome. The first publication of a service replaces version -1.
    """
    if not isinstance(replaces, int):
        raise SettingsError(
            'command line',
            '',
            '--replaces',
            str(replaces),
            'a version number, or -1 for the first publication',
        )
    log = load_router_settings(settings).platform.log
    sections = read_file(document)
    service = build_document(sections, document).service.name

    @inlineCallbacks
    def run(reactor: object) -> Deferred[None]:
        client = LogClient(log, reactor)
        yield _publish(client, service, replaces, sections)

    react(run)


@inlineCallbacks
def _publish(
    client: LogClient,
    service: str,
    replaces: int,
    sections: RawSections,
) -> Deferred[None]:
    try:
        result = yield publish(client, service, replaces, sections)
    except (NotPublishedError, PublicationUnknownError) as error:
        sys.stderr.write(f'yuccagauge: {error}\n')
        sys.exit(EXIT_UNKNOWN)
    finally:
        yield client.close()
    _report(service, result)


def _report(service: str, result: PublicationResult) -> None:
    if isinstance(result, Accepted):
        sys.stdout.write(f'{service}: accepted as version {result.version}\n')
        return
    if isinstance(result, Invalid):
        sys.stderr.write(f'{service}: invalid: {result.reason}\n')
        sys.exit(EXIT_MISTAKE)
    sys.stderr.write(f'{service}: lost to version {result.version}\n')
    sys.exit(EXIT_LOST)
