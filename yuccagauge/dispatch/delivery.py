"""What was passed on of a streamed answer, and from which attempt.

Only the current source may add to the answer. After a fault, a new source
either continues behind the last event passed on, or repeats the answer from
the start; repeated events are compared by digest and dropped.
"""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from automat import TypeMachineBuilder

from yuccagauge.dispatch.base import Header
from yuccagauge.dispatch.errors import (
    BackendProtocolError,
    ContinuationError,
    ReplayMismatchError,
)
from yuccagauge.dispatch.sse import (
    comparable,
    event_number,
    has_data,
    is_done,
)


class EventSource(Protocol):
    """An attempt that yields events of the answer."""

    @property
    def headers(self) -> tuple[Header, ...]:
        """Response headers to pass on."""


class AnswerOutput(Protocol):
    """Where the events go."""

    def open(self, headers: tuple[Header, ...]) -> None:
        """Begin the answer."""

    def events(self, events: Sequence[bytes]) -> None:
        """Take the next events, in order."""


class DeliveryInputs(Protocol):
    """What can happen to the answer."""

    def events(self, source: EventSource, events: list[bytes]) -> None:
        """Take events from any source; others than the current are dropped."""

    def interrupt(self) -> None:
        """Take it that the current source broke."""

    def resume(self, source: EventSource) -> None:
        """Continue from a source that starts behind the last event."""

    def replay(self, source: EventSource) -> None:
        """Continue from a source that starts at the first event."""

    def caught_up(self) -> None:
        """Every event passed on was repeated equally."""

    def end(self) -> None:
        """Take nothing more."""


@dataclass(slots=True, kw_only=True)
class _Core:
    output: AnswerOutput
    current: EventSource | None = None
    #: Events passed on; also the number of the next event.
    delivered: int = 0
    done: bool = False
    digest: 'hashlib._Hash' = field(default_factory=hashlib.blake2b)
    #: Whether the state is ``streaming``; changed by transitions alone.
    streaming: bool = False
    #: Whether events are still compared.
    replaying: bool = False
    replayed: int = 0
    #: Whether no number has shown yet that a resumed source goes on behind the
    #: last event.
    lacks_number: bool = False
    replay_digest: 'hashlib._Hash' = field(default_factory=hashlib.blake2b)


_builder = TypeMachineBuilder(DeliveryInputs, _Core)
_waiting = _builder.state('waiting')
_streaming = _builder.state('streaming')
_interrupted = _builder.state('interrupted')
_replaying = _builder.state('replaying')
_ended = _builder.state('ended')


@_waiting.upon(DeliveryInputs.events).to(_streaming)
def _adopt(
    inputs: DeliveryInputs,
    core: _Core,
    source: EventSource,
    events: list[bytes],
) -> None:
    core.current = source
    core.streaming = True
    core.output.open(source.headers)
    _pass_on(core, events)


@_streaming.upon(DeliveryInputs.events).loop()
def _continue(
    inputs: DeliveryInputs,
    core: _Core,
    source: EventSource,
    events: list[bytes],
) -> None:
    if source is core.current:
        _pass_on(core, events)


@_interrupted.upon(DeliveryInputs.resume).to(_streaming)
def _resume(
    inputs: DeliveryInputs,
    core: _Core,
    source: EventSource,
) -> None:
    core.current = source
    core.streaming = True
    core.lacks_number = True


@_interrupted.upon(DeliveryInputs.replay).to(_replaying)
def _replay(
    inputs: DeliveryInputs,
    core: _Core,
    source: EventSource,
) -> None:
    core.current = source
    core.replaying = True
    core.lacks_number = False
    core.replayed = 0
    core.replay_digest = hashlib.blake2b()


@_replaying.upon(DeliveryInputs.events).loop()
def _compare(
    inputs: DeliveryInputs,
    core: _Core,
    source: EventSource,
    events: list[bytes],
) -> None:
    if source is not core.current:
        return
    missing = core.delivered - core.replayed
    repeated = events[:missing]
    for event in repeated:
        _check_number(event, core.replayed)
        core.replayed += 1
        core.replay_digest.update(comparable(event))
    if core.replayed < core.delivered:
        return
    if core.replay_digest.digest() != core.digest.digest():
        raise ReplayMismatchError('the second run gave another answer')
    core.replaying = False
    core.streaming = True
    inputs.caught_up()
    _pass_on(core, events[missing:])


@_streaming.upon(DeliveryInputs.interrupt).to(_interrupted)
@_replaying.upon(DeliveryInputs.interrupt).to(_interrupted)
def _interrupt(inputs: DeliveryInputs, core: _Core) -> None:
    core.current = None
    core.replaying = False
    core.streaming = False


_replaying.upon(DeliveryInputs.caught_up).to(_streaming).returns(None)
_waiting.upon(DeliveryInputs.interrupt).loop().returns(None)
_interrupted.upon(DeliveryInputs.interrupt).loop().returns(None)
_interrupted.upon(DeliveryInputs.events).loop().returns(None)


@_waiting.upon(DeliveryInputs.end).to(_ended)
@_streaming.upon(DeliveryInputs.end).to(_ended)
@_interrupted.upon(DeliveryInputs.end).to(_ended)
@_replaying.upon(DeliveryInputs.end).to(_ended)
def _stop(inputs: DeliveryInputs, core: _Core) -> None:
    core.streaming = False


_ended.upon(DeliveryInputs.events).loop().returns(None)
_ended.upon(DeliveryInputs.interrupt).loop().returns(None)
_ended.upon(DeliveryInputs.end).loop().returns(None)

_DeliveryMachine = _builder.build()


def _pass_on(core: _Core, events: list[bytes]) -> None:
    fresh: list[bytes] = []
    for event in events:
        # Almost every event has the expected number in its first line.
        if not event.startswith(b'id: %d\n' % core.delivered):
            if _is_repeated(core, event):
                continue
            _check_number(event, core.delivered)
        core.lacks_number = False
        core.delivered += 1
        core.digest.update(comparable(event))
        core.done = core.done or is_done(event)
        fresh.append(event)
    if fresh:
        core.output.events(fresh)


def _is_repeated(core: _Core, event: bytes) -> bool:
    """Return whether an event adds nothing to what was passed on.

    Raises
    ------
    ContinuationError
        If a source that was asked for the rest does not show that this is it.
    """
    number = event_number(event)
    if number is not None:
        return number < core.delivered
    if core.lacks_number and has_data(event):
        raise ContinuationError('no number shows the rest of the stream')
    return core.lacks_number


def _check_number(event: bytes, expected: int) -> None:
    number = event_number(event)
    if number is not None and number != expected:
        raise BackendProtocolError(f'event {number} instead of {expected}')


class Delivery:
    """Passes the events of one answer on, complete and in order.

    Parameters
    ----------
    output
        Takes the events.
    """

    def __init__(self, output: AnswerOutput) -> None:
        """Start before the first event."""
        self._core = _Core(output=output)
        self._machine = _DeliveryMachine(self._core)

    @property
    def delivered(self) -> int:
        """Events passed on so far."""
        return self._core.delivered

    @property
    def done(self) -> bool:
        """Whether the event that ends the answer was passed on."""
        return self._core.done

    @property
    def current(self) -> EventSource | None:
        """The source whose events are passed on."""
        return self._core.current

    @property
    def replaying(self) -> bool:
        """Whether a second run has still to repeat what was passed on."""
        return self._core.replaying

    def events(self, source: EventSource, events: list[bytes]) -> None:
        """Take events from a source.

        Raises
        ------
        BackendProtocolError
            If an event is missing.
        ReplayMismatchError
            If a replayed answer differs from what was passed on.
        """
        if not self._core.delivered:
            # Checked before the machine adopts the source, so that a bad
            # beginning leaves the answer unopened.
            _check_number(events[0], 0)
        elif self._core.streaming and source is self._core.current:
            # The usual case changes no state and skips the machine.
            _pass_on(self._core, events)
            return
        self._machine.events(source, events)

    def interrupt(self) -> None:
        """Take nothing more from the current source."""
        self._machine.interrupt()

    def resume(self, source: EventSource) -> None:
        """Continue from a source that starts behind the last event."""
        self._machine.resume(source)

    def replay(self, source: EventSource) -> None:
        """Continue from a source that starts at the first event."""
        self._machine.replay(source)

    def end(self) -> None:
        """Drop all later events."""
        self._machine.end()
