"""Processes of a small fleet, each ended by its own process id."""

import json
import os
import signal
import sys
from pathlib import Path

from twisted.internet import defer, reactor
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.interfaces import IProcessTransport
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

import yuccagauge
from yuccagauge.errors import YuccagaugeError
from yuccagauge.settings.options import Endpoint, parse_endpoint
from yuccagauge.settings.reader import RawSections, render

_PROJECT = Path(yuccagauge.__file__).parent.parent
_STDOUT = 1
_STDERR = 2
#: After this, a process that ignores SIGTERM is killed.
_TERMINATION_SECONDS = 8
_SHOWN_CHARACTERS = 400


class StartError(YuccagaugeError):
    """A process that ended, or was not ready in time."""


class ManagedProcess(ProcessProtocol):
    """One process of the program, with its output in files.

    Parameters
    ----------
    name
        Names the files of the process.
    directory
        Where settings and output are kept.
    arguments
        The command; ``--settings`` is added.
    settings
        The sections of the settings file.
    """

    def __init__(
        self,
        name: str,
        directory: Path,
        arguments: tuple[str, ...],
        settings: RawSections,
    ) -> None:
        """Write the settings without starting the process."""
        self._name = name
        self._path = directory / f'{name}.ini'
        self._path.write_text(render(settings), encoding='utf-8')
        self._arguments = arguments
        self._errors = directory / f'{name}.err'
        self._output = b''
        self._transport: IProcessTransport | None = None
        self.ready: defer.Deferred[str] = defer.Deferred()
        self.ended: defer.Deferred[None] = defer.Deferred()

    @property
    def name(self) -> str:
        """The name in messages."""
        return self._name

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._transport is not None and not self.ended.called

    @property
    def last_errors(self) -> str:
        """The end of what it wrote to its error output, on one line."""
        if not self._errors.exists():
            return 'no error output'
        text = self._errors.read_text(encoding='utf-8', errors='replace')
        return ' '.join(text.split())[-_SHOWN_CHARACTERS:]

    def start(self) -> None:
        """Start the process, for the first time or again."""
        self.ready = defer.Deferred()
        self.ended = defer.Deferred()
        self._output = b''
        command = (sys.executable, '-m', 'yuccagauge', *self._arguments)
        self._transport = reactor.spawnProcess(
            self,
            sys.executable,
            [*command, f'--settings={self._path}'],
            env={**os.environ, 'PYTHONPATH': str(_PROJECT)},
        )

    @defer.inlineCallbacks
    def close(self) -> defer.Deferred[None]:
        """End the process by SIGTERM, or SIGKILL if that does not do."""
        if not self.is_running:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        killing = reactor.callLater(
            _TERMINATION_SECONDS,
            self.send_signal,
            signal.SIGKILL,
        )
        yield self.ended
        if killing.active():
            killing.cancel()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        try:
            self._transport.signalProcess(number)
        except ProcessExitedAlready:
            return

    def childDataReceived(self, descriptor: int, received: bytes) -> None:
        """Take the first line of the output, and file the rest."""
        if descriptor == _STDOUT and not self.ready.called:
            self._output += received
            line, end, _ = self._output.partition(b'\n')
            if end:
                self.ready.callback(line.decode())
        if descriptor == _STDERR:
            with self._errors.open('ab') as errors:
                errors.write(received)

    def processEnded(self, reason: Failure) -> None:
        """Note the end."""
        if not self.ready.called:
            message = f'{self._name} ended before it was ready'
            self.ready.errback(StartError(f'{message}: {self.last_errors}'))
            self.ready.addErrback(lambda _: None)
        self.ended.callback(None)


class StandinProcess(ManagedProcess):
    """A stand-in."""

    def __init__(
        self,
        name: str,
        directory: Path,
        kind: str,
        sections: RawSections,
    ) -> None:
        """Write the settings without starting the process."""
        common = {'name': name, **sections.get('standin', {})}
        settings = {**sections, 'standin': common}
        super().__init__(name, directory, ('standin', kind), settings)
        self._endpoint: Endpoint | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Where it listens, once it is ready.

        Raises
        ------
        StartError
            If it is not ready.
        """
        if self._endpoint is None:
            raise StartError(f'{self.name} is not ready')
        return self._endpoint

    @defer.inlineCallbacks
    def when_ready(self) -> defer.Deferred[None]:
        """Wait for the line that names the port."""
        line = yield self.ready
        if line is None:
            raise StartError(f'{self.name} ended before it was ready')
        self._endpoint = parse_endpoint(json.loads(line)['address'])
