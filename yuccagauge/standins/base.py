"""What all stand-ins share: an HTTP port, faults and records."""

import json
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, ClassVar

from klein import Klein
from twisted.internet import defer, reactor, task
from twisted.python.failure import Failure
from twisted.web.http import Request
from twisted.web.server import Site

from yuccagauge.clock import Clock, Millis, SystemClock
from yuccagauge.errors import NotFoundError, SettingsError, YuccagaugeError
from yuccagauge.registry import Registry
from yuccagauge.settings.options import (
    Endpoint,
    endpoint_option,
    integer_option,
    text_option,
)
from yuccagauge.settings.reader import (
    RawSections,
    build_section,
    check_sections,
)
from yuccagauge.standins.faults import FaultBoard, StoreFaults
from yuccagauge.standins.listener import Listener

#: Records beyond this number push out the oldest.
MAXIMUM_RECORDS = 200_000

_MILLISECONDS_PER_SECOND = 1000
_IDLE_CONNECTION_SECONDS = 300
#: Lets the answer to ``PUT /_faults`` leave before the port closes.
_INTERRUPT_DELAY_SECONDS = 0.02


class StandinNotFoundError(NotFoundError):
    """A kind of stand-in that does not exist."""


class BadRequestError(YuccagaugeError):
    """A request that the stand-in's interface does not allow."""


#: All kinds of stand-ins.
STANDINS: Registry[type['Standin']] = Registry(
    'stand-in',
    StandinNotFoundError,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class StandinSection:
    """``[standin]``: what all kinds have in common."""

    listen: Endpoint = endpoint_option(
        'Where to listen; port 0 lets the system choose.',
        default=Endpoint('127.0.0.1', 0),
    )
    name: str = text_option('Name in records.', default='standin')
    seed: int = integer_option(
        'Seed of the random stream for faults.',
        default=1,
        minimum=0,
        maximum=2**62,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class EmptySection:
    """The section of a kind that has no settings of its own."""


class Standin:
    """One stand-in on one HTTP port.

    Parameters
    ----------
    raw
        Sections ``[standin]``, ``[faults]`` and one named after the kind.
    source
        Where the sections come from, for messages.
    clock
        The source of time.

    Raises
    ------
    SettingsError
        If anything in the sections is wrong.
    """

    #: Name of the kind and of its settings section.
    name: ClassVar[str] = ''
    aliases: ClassVar[tuple[str, ...]] = ()
    #: Data class of the section named after the kind.
    section_kind: ClassVar[type] = EmptySection
    #: Data class of the knobs.
    faults_kind: ClassVar[type] = StoreFaults

    def __init__(
        self,
        raw: RawSections,
        source: str = 'settings',
        clock: Clock | None = None,
    ) -> None:
        """Read the settings without opening the port."""
        check_sections(
            raw,
            frozenset(('standin', 'faults', self.name)),
            frozenset(),
            source,
        )
        common = build_section(StandinSection, raw, 'standin', source)
        self._common: StandinSection = common
        self._section = build_section(self.section_kind, raw, self.name, source)
        self._clock = clock or SystemClock()
        self._random = Random(common.seed)
        self._board = FaultBoard(self.faults_kind)
        self._faults: Any = self._board.set_knobs(raw.get('faults', {}))
        self._records: deque[dict[str, Any]] = deque(maxlen=MAXIMUM_RECORDS)
        self._record_count = 0
        self._app = Klein()
        self._app.handle_errors(BadRequestError, SettingsError)(self._reject)
        self._route('/_faults', self._put_faults, 'PUT')
        self._route('/_records', self._get_records, 'GET')
        self.add_routes()
        site = Site(self._app.resource(), timeout=_IDLE_CONNECTION_SECONDS)
        site.noisy = False
        self._listener = Listener(common.listen, site)

    @property
    def endpoint(self) -> Endpoint:
        """Where it listens; the port is known after ``start``."""
        return self._listener.endpoint

    @property
    def records(self) -> tuple[dict[str, Any], ...]:
        """What happened, oldest first."""
        return tuple(self._records)

    def start(self) -> None:
        """Open the port."""
        self._listener.start()

    def close(self) -> defer.Deferred[None]:
        """Close the port and cut all connections."""
        return self._listener.close()

    def set_faults(self, **knobs: Any) -> None:
        """Change some knobs, as ``PUT /_faults`` does.

        Raises
        ------
        SettingsError
            If a knob is unknown or a value is wrong; nothing changes then.
        """
        self._faults = self._board.set_knobs(knobs)
        self.faults_changed()

    def add_routes(self) -> None:
        """Add the routes of the kind."""

    def faults_changed(self) -> None:
        """Apply knobs that act at once."""
        duration = self._faults.refuse_connections
        if duration:
            self._board.pop('refuse_connections')
            self._faults = self._board.build()
            reactor.callLater(
                _INTERRUPT_DELAY_SECONDS,
                self._refuse,
                duration,
            )

    def record(self, kind: str, **fields: Any) -> dict[str, Any]:
        """Add a record and return it."""
        entry = {
            'n': self._record_count,
            'time_ms': self._clock.wall_time(),
            'server': self._common.name,
            'kind': kind,
            **fields,
        }
        self._record_count += 1
        self._records.append(entry)
        return entry

    def _refuse(self, duration: Millis) -> None:
        self._listener.interrupt(duration)
        self._listener.cut()

    def _route(
        self,
        path: str,
        handler: Callable[..., Any],
        method: str,
        *,
        branch: bool = False,
    ) -> None:
        options = {} if branch else {'methods': [method]}
        endpoint = f'{method} {path}'
        add = self._app.route(path, branch=branch, endpoint=endpoint, **options)
        add(handler)

    def _reject(self, request: Request, failure: Failure) -> bytes:
        message = failure.getErrorMessage()
        return json_answer(request, {'error': message}, 400)

    def _put_faults(self, request: Request) -> bytes:
        self.set_faults(**read_json(request))
        return json_answer(request, dict(self._board))

    def _get_records(self, request: Request) -> bytes:
        after = integer_argument(request, 'after', -1)
        found = [entry for entry in self._records if entry['n'] > after]
        return json_answer(request, {'records': found})


def json_answer(
    request: Request,
    document: Mapping[str, Any],
    status: int = 200,
) -> bytes:
    """Set status and type of the response and return its body."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    return json.dumps(document).encode()


def read_json(request: Request) -> dict[str, Any]:
    """Return the JSON object in the body.

    Raises
    ------
    BadRequestError
        If the body is not a JSON object.
    """
    try:
        document = json.loads(request.content.read())
    except ValueError as error:
        raise BadRequestError(f'the body is not JSON: {error}') from None
    if not isinstance(document, dict):
        raise BadRequestError('the body is not a JSON object')
    return document


def integer_argument(request: Request, name: str, default: int) -> int:
    """Return a whole number from the query.

    Raises
    ------
    BadRequestError
        If the argument is not a whole number.
    """
    found = request.args.get(name.encode())
    if not found:
        return default
    try:
        return int(found[0])
    except ValueError:
        raise BadRequestError(f'{name} is not a whole number') from None


def cut_connection(request: Request) -> defer.Deferred[None]:
    """Break the connection of a request; the Deferred never fires."""
    request.transport.abortConnection()
    return defer.Deferred()


def pause(duration: Millis) -> defer.Deferred[None]:
    """Return a Deferred that fires after the duration."""
    seconds = duration / _MILLISECONDS_PER_SECOND
    return task.deferLater(reactor, seconds, lambda: None)
