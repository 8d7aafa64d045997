"""Publishes a new version of a document and reports its outcome."""

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
    apply_page,
    begin_era,
    evaluate_publication,
    skip_trimmed_records,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
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

#: The outcome of a publication: accepted, conflict or invalid.
PublicationResult = Outcome

_MILLISECONDS_PER_SECOND = 1000
_PAGE_LIMIT = 500
_DEFAULT_TIMEOUT = Millis(30_000)


class PublicationUnknownError(YuccagaugeError):
    """The outcome of a publication is unknown; it may still take effect."""


class NotPublishedError(UnavailableError):
    """The log is unavailable, and the publication was not appended."""


@inlineCallbacks
def publish(
    log: Log,
    service: str,
    replaces: int,
    document_sections: RawSections,
    *,
    reactor: IReactorTime | None = None,
    timeout: Millis = _DEFAULT_TIMEOUT,
) -> Deferred[PublicationResult]:
    """Append a publication to the log and read its outcome back.

    If the answer to the append is lost, the function reads the log, and
    appends the same publication again only if the log does not contain it. A
    second copy can never take effect.

    Parameters
    ----------
    log
        The log.
    service
        Name of the service.
    replaces
        The version that the document was made from; -1 if there is none.
    document_sections
        All sections of the new document.
    reactor
        Schedules the retries; the global one by default.
    timeout
        How long to try, in milliseconds.

    Raises
    ------
    NotPublishedError
        If nothing was appended before the timeout.
    PublicationUnknownError
        If the publication may have been appended, but its outcome was not
        read before the timeout.
    """
    if reactor is None:
        from twisted.internet import reactor  # noqa: WPS433, PLC0415
    attempt = _PublicationAttempt(log, service, reactor, timeout)
    yield attempt.read_until(lambda state: state.current is not None)
    base = attempt.state.current
    publication = Publication(
        publication_id=uuid.uuid4().hex,
        replaces=replaces,
        change=compare_sections(base.sections, document_sections),
        digest=digest_sections(document_sections),
    )
    _, rejection = evaluate_publication(service, base, publication)
    if rejection is not None:
        return rejection
    outcome = yield attempt.append(publication)
    return outcome


class _PublicationAttempt:
    """A publication in progress, with the state of its stream."""

    def __init__(
        self,
        log: Log,
        service: str,
        reactor: IReactorTime,
        timeout: Millis,
    ) -> None:
        """Create an attempt; it calls the log only when a method is called."""
        self.state = ConfigState(service=service)
        self._log = log
        self._stream = config_stream(service)
        self._reactor = reactor
        self._deadline = reactor.seconds() + timeout / _MILLISECONDS_PER_SECOND
        self._backoff = Backoff(uuid.uuid4().hex)
        self._may_be_appended = False

    @inlineCallbacks
    def append(self, publication: Publication) -> Deferred[Outcome]:
        """Append the publication, and retry until its outcome was read."""
        payload = encode_record(publication)
        has_outcome = functools.partial(_has_outcome, publication=publication)
        outcome: Outcome | None = None
        while outcome is None:
            is_appended = yield self._append_once(payload)
            if is_appended:
                yield self.read_until(has_outcome)
            else:
                yield self._read_to_end()
            outcome = self.state.find_outcome(publication.publication_id)
        return outcome

    @inlineCallbacks
    def read_until(
        self,
        condition: Callable[[ConfigState], bool],
    ) -> Deferred[None]:
        """Read the log until the state satisfies a condition."""
        yield self._read_to_end()
        while not condition(self.state):
            yield self._back_off('the current state of the stream is unknown')
            yield self._read_to_end()

    @inlineCallbacks
    def _append_once(self, payload: bytes) -> Deferred[bool]:
        """Append once; return whether the log has acknowledged it."""
        try:
            yield self._log.append(self._stream, payload)
        except LogUnavailableError as error:
            yield self._back_off(str(error))
            return False
        except AppendUnknownError as error:
            self._may_be_appended = True
            yield self._back_off(str(error))
            return False
        self._may_be_appended = True
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
                yield self._back_off(str(error))
                continue
            if UNKNOWN_ERA < self.state.era < page.era:
                # The log lost records, and what was read may be among them.
                self.state = begin_era(self.state, page.era)
                continue
            if UNKNOWN_ERA < page.era < self.state.era:
                yield self._back_off('the answer is of an older era')
                continue
            state = skip_trimmed_records(self.state, page.first_offset)
            self.state = apply_page(state, page)
            at_end = not page.records

    @inlineCallbacks
    def _back_off(self, reason: str) -> Deferred[None]:
        """Wait before the next call, or raise if the timeout is over."""
        if self._reactor.seconds() >= self._deadline:
            if self._may_be_appended:
                raise PublicationUnknownError(
                    f'publication outcome is unknown: {reason}'
                )
            raise NotPublishedError(f'document was not published: {reason}')
        seconds = self._backoff.next_delay() / _MILLISECONDS_PER_SECOND
        yield deferLater(self._reactor, seconds)


def _has_outcome(state: ConfigState, publication: Publication) -> bool:
    return state.find_outcome(publication.publication_id) is not None
