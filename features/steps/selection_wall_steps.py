"""Steps for customers whose isolation changes."""

from itertools import compress

from behave import given, then, when
from behave.runner import Context

from features.wall_fleet import KEYS, Read, WallFleet

_ENGINES = 3

#: Time before the first prompt, and from a configuration to the next prompt: the
#: time in which it has to be in force and one more second.
_WARM_UP_S = 6.0
_APPLY_S = 3.0

#: Time from a configuration to the end of the prompts that run. Silent engines
#: are left after a longer one.
_RESET_S = 0.6

#: Prompts of each customer on each subject, and the time between two of them.
_PROMPTS = 6
_INTERVAL_S = 0.05

_TEMPLATE = 'template'
_COMMON = 'subject'

#: Prompts that come at once, so that all engines get some.
_CROWD = 60

#: The customer whose isolation changes.
_CHANGING = 'anna'


def _send_prompts(fleet: WallFleet, customers: list[str]) -> None:
    """Send prompts on a subject of all, and on one of each customer."""
    for _ in range(_PROMPTS):
        for customer in customers:
            fleet.send_prompt(customer, _TEMPLATE, _COMMON)
            fleet.send_prompt(customer, _TEMPLATE, f'subject-{customer}')
            fleet.run(_INTERVAL_S)
    fleet.run(_INTERVAL_S)


def _restart_routers(fleet: WallFleet) -> None:
    for name in fleet.router_names:
        fleet.kill_router(name)
        fleet.start_router(name)


@given('{routers:d} routers before engines that keep what they have read')
def start_fleet(context: Context, routers: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = WallFleet(routers, _ENGINES)
    context.fleet.run(_WARM_UP_S)
    #: The reads of each configuration, with its isolated customers.
    context.phases = []


@when('prompts come while a customer is {states}, and the routers {routers}')
def change_isolation(context: Context, states: str, routers: str) -> None:
    """Send prompts in each of the states, one after the other."""
    fleet = context.fleet
    for state in states.split(', '):
        isolated = {
            **dict.fromkeys(KEYS, False),
            _CHANGING: state == 'isolated',
        }
        if state == 'gone':
            isolated.pop(_CHANGING)
        fleet.configure(isolated)
        if routers == 'restart':
            _restart_routers(fleet)
        fleet.run(_APPLY_S)
        begin = len(fleet.reads)
        _send_prompts(fleet, list(isolated))
        walled = set(compress(isolated, isolated.values()))
        context.phases.append((fleet.reads[begin:], walled))


@when('a customer becomes isolated while prompts run, and they run again')
def change_amid_prompts(context: Context) -> None:
    """Let engines reset the prompts once the change is in force."""
    fleet = context.fleet
    for _ in range(_CROWD):
        fleet.send_prompt(_CHANGING, _TEMPLATE, _COMMON)
    fleet.run(_APPLY_S)
    makers = [read for read in fleet.reads if read.made_by is None]
    assert len(makers) == 2 * _ENGINES, makers
    fleet.engines_are_silent = True
    for customer in sorted(KEYS.keys() - {_CHANGING}):
        fleet.send_prompt(customer, _TEMPLATE, _COMMON)
    fleet.run(_INTERVAL_S)
    fleet.configure({**dict.fromkeys(KEYS, False), _CHANGING: True})
    fleet.run(_RESET_S)
    begin = len(fleet.reads)
    fleet.engines_are_silent = False
    for engine in fleet.servers:
        engine.reset_connections()
    fleet.run(_APPLY_S)
    reads = fleet.reads[begin:]
    assert reads
    context.phases.append((reads, {_CHANGING}))


def _is_across(read: Read, walled: set[str]) -> bool:
    return read.made_by not in {None, read.customer} and bool(
        walled.intersection((read.customer, read.made_by))
    )


@then('no part is found across the wall')
def check_wall(context: Context) -> None:
    """Guard against parts of an isolated customer that others are given."""
    for reads, walled in context.phases:
        across = [read for read in reads if _is_across(read, walled)]
        assert not across, (len(across), len(reads), across[0])


@then('open customers find the parts of each other')
def check_sharing(context: Context) -> None:
    """Guard against walls that nobody asked for."""
    reads, _ = context.phases[-1]
    assert any(read.made_by not in {None, read.customer} for read in reads)


@then('what the others had read for themselves is found again')
def check_kept(context: Context) -> None:
    """Guard against parts that are read again as another customer changes."""
    (before, _), *_, (after, _) = context.phases
    subjects = {f'subject-{name}' for name in KEYS if name != _CHANGING}
    assert any(read.part in subjects for read in before)
    again = [
        read for read in after if read.part in subjects and read.made_by is None
    ]
    assert not again, (len(again), again[0])
