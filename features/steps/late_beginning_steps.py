"""Steps for streams that are rejected before another server begins them."""

from behave import given
from behave.runner import Context

from features.late_beginning_fleet import LateBeginningFleet

#: Time before the first stream, in seconds.
_WARM_UP_S = 6.0


@given(
    '{routers:d} routers before {engines:d} engines of two versions that'
    ' reject late, seed {seed:d}'
)
def start_fleet(
    context: Context, routers: int, engines: int, seed: int
) -> None:
    """Start a fleet and let it run."""
    context.fleet = LateBeginningFleet(routers, engines, seed)
    context.fleet.run(_WARM_UP_S)


@given('links between routers are cut one by one, and routers are killed')
def cut_links(context: Context) -> None:
    """Let peers miss messages about streams whose callers come back."""
    context.fleet.cut_links()
    context.fleet.kill_routers()
