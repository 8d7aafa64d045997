"""Publish a new version of a document and learn its outcome."""

import functools
import uuid
from collections.abc import Callable

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from yuccagauge.adoption.records import (
    Publication,
    config_stream,
    encode_record,
)
from yuccagauge.adoption.replay import (
    Accepted,
    ConfigState,
    Conflict,
    Invalid,
    Outcome,
    apply_record,
    evaluate,
    skip_trimmed_records,
)
from yuccagauge.clock import Millis
from yuccagauge.errors import UnavailableError, YuccagaugeError
from yuccagauge.logstream.backoff import Backoff
from yuccagauge.logstream.base import (
    AppendUnknownError,
    Log,
    LogError,
    LogUnavailableError,
)
from yuccagauge.settings.document import compare_sections, digest_sections
from yuccagauge.settings.reader import RawSections

__all__ = ('Accepted', 'Conflict', 'Invalid', 'PublicationResult', 'publish')

#: The outcome of a publication: accepted, lost or invalid.
PublicationResult = Outcome

_MILLISECONDS_PER_SECOND = 1000
_PAGE_LIMIT = 500
_PATIENCE = Millis(30_000)


class PublicationUnknownError(YuccagaugeError):
    """The publication may or may not take effect."""


class NotPublishedError(UnavailableError):
    """The publication was not appended, because the log is unavailable."""


@inlineCallbacks
def publish(
    log: Log,
    service: str,
    replaces: int,
    document_sections: RawSections,
    *,
    reactor: IReactorTime | None = None,
    timeout: Millis = _PATIENCE,
) -> Deferred[PublicationResult]:
    """Append a publication and read its outcome back.

    A lost answer to the append is met by reading: the same publication is
    appended again only if it is not in the log, and a second copy of it can
    never take effect.

    Parameters
    ----------
    log
        The log.
    service
        Name of the service.
    replaces
        The version that the document was made from; -1 for the first.
    document_sections
        All sections of the new document.
    reactor
        Schedules the attempts; the global one by default.
    timeout
        How long to try, in milliseconds.

    Raises
    ------
    NotPublishedError
        If nothing was appended.
    PublicationUnknownError
        If something may have been, but its outcome was not seen in time.
    """
    if reactor is None:
        from twisted.internet import reactor  # noqa: WPS433, PLC0415
    attempt = _Attempt(log, service, reactor, timeout)
    yield attempt.read_on(lambda state: state.current is not None)
    base = attempt.state.current
    publication = Publication(
        publication_id=uuid.uuid4().hex,
        replaces=replaces,
        change=compare_sections(base.sections, document_sections),
        digest=digest_sections(document_sections),
    )
    _, failure = evaluate(service, base, publication)
    if failure is not None:
        return failure
    outcome = yield attempt.append(publication)
    return outcome


class _Attempt:
    """One publication in progress."""

    def __init__(
        self,
        log: Log,
        service: str,
        reactor: IReactorTime,
        timeout: Millis,
    ) -> None:
        """Start with nothing read or appended."""
        self.state = ConfigState(service=service)
        self._log = log
        self._stream = config_stream(service)
        self._reactor = reactor
        self._end = reactor.seconds() + timeout / _MILLISECONDS_PER_SECOND
        self._backoff = Backoff(uuid.uuid4().hex)
        self._appended = False

    @inlineCallbacks
    def append(self, publication: Publication) -> Deferred[Outcome]:
        """Append until the outcome is in the log."""
        payload = encode_record(publication)
        decided = functools.partial(_is_decided, publication=publication)
        outcome: Outcome | None = None
        while outcome is None:
            done = yield self._append_once(payload)
            if done:
                yield self.read_on(decided)
            else:
                yield self._read_to_end()
            outcome = self.state.outcome(publication.publication_id)
        return outcome

    @inlineCallbacks
    def read_on(
        self,
        enough: Callable[[ConfigState], bool],
    ) -> Deferred[None]:
        """Read until a condition holds."""
        yield self._read_to_end()
        while not enough(self.state):
            yield self._pause('the state of the stream is not known')
            yield self._read_to_end()

    @inlineCallbacks
    def _append_once(self, payload: bytes) -> Deferred[bool]:
        try:
            yield self._log.append(self._stream, payload)
        except LogUnavailableError as error:
            yield self._pause(str(error))
            return False
        except AppendUnknownError as error:
            self._appended = True
            yield self._pause(str(error))
            return False
        self._appended = True
        return True

    @inlineCallbacks
    def _read_to_end(self) -> Deferred[None]:
        at_end = False
        while not at_end:
            try:
                page = yield self._log.read(
                    self._stream,
                    self.state.position - 1,
                    _PAGE_LIMIT,
                    Millis(0),
                )
            except LogError as error:
                yield self._pause(str(error))
                continue
            state = skip_trimmed_records(self.state, page.first_offset)
            for record in page.records:
                state = apply_record(state, record)
            self.state = state
            at_end = not page.records

    @inlineCallbacks
    def _pause(self, reason: str) -> Deferred[None]:
        if self._reactor.seconds() >= self._end:
            if self._appended:
                raise PublicationUnknownError(f'outcome unknown: {reason}')
            raise NotPublishedError(f'not published: {reason}')
        seconds = self._backoff.next_delay() / _MILLISECONDS_PER_SECOND
        yield deferLater(self._reactor, seconds)


def _is_decided(state: ConfigState, publication: Publication) -> bool:
    return state.outcome(publication.publication_id) is not None
