"""Steps for calls that wait at engines, with a stand-in for the attempt."""

from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from twisted.internet.task import Clock as TaskClock

from features.directory_fixtures import backend_server
from features.selection_fixture import MODEL, named_weights
from yuccagauge.clock import Millis
from yuccagauge.dispatch.timers import Timers
from yuccagauge.relay.beginning import BeginningMonitor
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.load import ServerLoad
from yuccagauge.selection.weightsages import WeightsAges

_LIMIT = Millis(12_000)

#: When the call is sent.
_SENT_AT = Millis(100_000)

_STEP_S = 0.01


class _Attempt:
    """An attempt on the first weights."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.placement = SimpleNamespace(weights_version=1)
        self.has_begun = False
        self.has_ended = False

    @property
    def time_to_begin(self) -> Millis | None:
        """Time for which the call may still wait."""
        now = Millis(_SENT_AT + round(self._context.reactor.seconds() * 1000))
        return self._context.ages.time_to_begin(MODEL, 1, now)


def _name(context: Context, named: dict[int, Millis]) -> None:
    server = backend_server('s0', weights={MODEL: 1})
    context.ages.update_fleet_view(
        FleetView(
            servers={'s0': server},
            named_weights={MODEL: named_weights(named)},
        )
    )


@given('weights that are not superseded')
def start(context: Context) -> None:
    """Send a call on the newest weights."""
    context.reactor = TaskClock()
    context.ages = WeightsAges(_LIMIT, lambda server_id: ServerLoad())
    context.named_at = None
    context.left = []
    context.kept = None
    owner = SimpleNamespace(withdraw=lambda _: context.left.append('engine'))
    takeover = SimpleNamespace(
        keeps=lambda attempt: attempt is context.kept,
        withdraw=lambda _: context.left.append('silent engine'),
    )
    context.attempt = _Attempt(context)
    context.monitor = BeginningMonitor(
        owner, takeover, Timers(context.reactor.callLater)
    )
    _name(context, {1: Millis(0)})


@given('weights that are superseded {ms:d} ms after a call was sent')
def start_superseded(context: Context, ms: int) -> None:
    """Send a call before or after newer weights are named."""
    start(context)
    named = {1: Millis(0), 2: Millis(_SENT_AT + ms)}
    context.reactor.callLater(max(0, ms) / 1000, _name, context, named)
    context.reactor.advance(0)


@when('{ms:d} ms have passed since the send, and the call {state}')
def pass_time(context: Context, ms: int, state: str) -> None:
    """Pass time."""
    attempt = context.attempt
    context.kept = attempt if state.endswith('is kept') else None
    context.monitor.watch(attempt)
    while context.reactor.seconds() * 1000 < ms:
        now_ms = round(context.reactor.seconds() * 1000)
        attempt.has_ended = state == 'has ended'
        attempt.has_begun = state == 'has begun' or (
            state == 'begins after 2550 ms' and now_ms >= 2550
        )
        context.reactor.advance(_STEP_S)


@then('the call is still there')
def check_stays(context: Context) -> None:
    """Check that the call has not left."""
    assert not context.left, context.left


@then('the call has left the {place}')
def check_left(context: Context, place: str) -> None:
    """Check that the call has left once."""
    assert context.left == [place], context.left
