"""Servers and calls for tests of the server selection."""

from collections import Counter
from collections.abc import Mapping
from itertools import pairwise

from behave.runner import Context

from features.directory_fixtures import backend_server, service_spec
from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    NamedWeights,
    TargetEvidence,
)
from yuccagauge.selection.base import (
    FleetView,
    SelectionDecision,
    SelectionRequest,
)
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint

#: The only model of the engines.
MODEL = 'm'
#: Time at which the calls arrive.
NOW = Millis(100_000)


def _server(number: int, version: int) -> BackendServer:
    return backend_server(
        f's{number}',
        endpoint=Endpoint('127.0.0.1', number + 1),
        slots=6 if not version else 32,
        weights={MODEL: version} if version else {},
    )


def named_weights(named_at: Mapping[int, Millis]) -> NamedWeights:
    """Return the named versions of a router that saw each at its naming."""
    versions = sorted(named_at)
    return NamedWeights(
        version=versions[-1],
        evidence=tuple(
            TargetEvidence(
                model=MODEL,
                version=version,
                previous=previous,
                named_after=named_at[version],
            )
            for previous, version in pairwise((0, *versions))
        ),
    )


def start_selector(
    context: Context,
    count: int,
    version: int,
    newest: int = 0,
    named_ms_ago: int = 0,
) -> None:
    """Create a selector with idle servers."""
    context.selector = Selector('a', Millis(12_000))
    context.is_model = bool(version)
    servers = [_server(number, version) for number in range(count)]
    context.selector.update_fleet_view(
        FleetView(
            servers={server.server_id: server for server in servers},
            named_weights={
                MODEL: named_weights(
                    {newest or version: Millis(NOW - named_ms_ago)}
                ),
            },
        ),
    )
    context.stores = ()
    context.placed = Counter()
    context.number = 0


def new_request(
    context: Context,
    parts: tuple[tuple[str, int], ...] = (),
    left: int = 5000,
    **options: str,
) -> SelectionRequest:
    """Return the selection request of a new call."""
    context.number += 1
    own = ((f'own{context.number}', 100),)
    is_model = context.is_model
    prompt = (*parts, *own) if is_model else ()
    return SelectionRequest(
        call_id=f'c{context.number}',
        service=service_spec(is_model=is_model, kv_tokens=130_000),
        received_at=NOW,
        objective_at=Millis(NOW + 500),
        deadline=Millis(NOW + left),
        first_output_deadline=Millis(NOW + left),
        model=MODEL if is_model else '',
        prompt_tokens=sum(tokens for _, tokens in prompt),
        output_tokens=20 if is_model else 0,
        parts=prompt,
        isolated_customer=options.get('isolated', ''),
    )


def place(
    context: Context, request: SelectionRequest, now: int = NOW
) -> SelectionDecision:
    """Select a server for a call, and record the send."""
    decision = context.selector.choose(request, context.stores, Millis(now))
    if decision.placement is not None:
        context.selector.record_send(request, decision.placement, Millis(now))
        context.placed[decision.placement.server.server_id] += 1
    return decision
