"""Steps for answers without a length of servers that state no start."""

from behave import given
from behave.runner import Context

from features.stating_ends_fleet import StatingEndsFleet

_SERVERS = 4

#: Time for the routers to learn of all servers, in seconds.
_WARM_UP_S = 6.0


@given(
    '{routers:d} routers before servers that state their start in "{places}",'
    ' with an epoch {epoch}, and whose answers have no length'
)
def start_fleet(
    context: Context, routers: int, places: str, epoch: str
) -> None:
    """Start a fleet and let it run."""
    context.fleet = StatingEndsFleet(
        routers, _SERVERS, places=places, has_cache_events=epoch == 'yes'
    )
    context.fleet.run(_WARM_UP_S)
