"""The entry of the relay: from a request to a call, or a refusal."""

import xxhash

from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    CallerLimits,
    Configuration,
    CustomerSpec,
    Route,
    RouteKind,
)
from yuccagauge.dispatch.base import AnswerSink
from yuccagauge.quarantine.base import QuarantineStatus
from yuccagauge.relay import refusals
from yuccagauge.relay.base import (
    CallFieldError,
    CallFields,
    IncomingRequest,
    RelayCall,
)
from yuccagauge.relay.call import RelayedCall
from yuccagauge.relay.surroundings import Surroundings
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.telemetry.journal import log_decision
from yuccagauge.verdict import Refusal, RefusedError

#: When a caller comes back to a router that has no configuration yet.
START_RETRY = Millis(500)

#: Callers leave a stream without an event after the longest of this time and
#: of these multiples of the route's objective and of its longest pause.
LEAST_STREAM_PATIENCE = Millis(2000)
OBJECTIVES_OF_PATIENCE = 4
PAUSES_OF_PATIENCE = 8


class Relay:
    """Turns requests into calls and carries them out.

    Parameters
    ----------
    around
        What all calls share.
    """

    def __init__(self, around: Surroundings) -> None:
        """Serve nothing until the directory has a configuration."""
        self._around = around

    @property
    def running(self) -> int:
        """The number of calls in work."""
        return len(self._around.running)

    def limits(self) -> CallerLimits:
        """Return the limits in force for callers."""
        configuration = self._around.directory.configuration
        return CallerLimits() if configuration is None else configuration.limits

    def handle(self, request: IncomingRequest, sink: AnswerSink) -> None:
        """Answer one request through its sink."""
        request_id = ''
        try:
            fields = self._around.decoder.decode_request(request)
            request_id = fields.request_id
            call = self._admit(request, fields)
        except CallFieldError as error:
            self._refuse(request_id, sink, refusals.malformed(str(error)))
            return
        except RefusedError as error:
            self._refuse(request_id, sink, error.refusal)
            return
        RelayedCall(
            call, self._selection_request(call), sink, self._around
        ).start()

    def cut(self) -> None:
        """End all calls at once."""
        for call in tuple(self._around.running.values()):
            call.cut()

    def _admit(self, request: IncomingRequest, fields: CallFields) -> RelayCall:
        """Return the call that the configuration allows.

        Raises
        ------
        RefusedError
            If there is no configuration, route or key, or if the request
            is known to crash servers.
        """
        configuration = self._around.directory.configuration
        if configuration is None:
            raise RefusedError(refusals.not_ready(START_RETRY))
        route = configuration.find_route(fields.host, request.path)
        if route is None:
            raise RefusedError(refusals.no_route())
        customer = _authenticate(configuration, route, fields)
        fingerprint = _fingerprint(request, customer)
        now = self._around.clock.now()
        status = self._around.quarantine.status(fingerprint, now)
        if status is QuarantineStatus.REFUSED:
            raise RefusedError(refusals.not_run('crashes_servers', None))
        due_at = Millis(request.received_at + route.timeout)
        client_timeout = fields.client_timeout
        expires_at = due_at
        if client_timeout is not None:
            expires_at = Millis(request.received_at + client_timeout)
        return RelayCall(
            request=request,
            fields=fields,
            route=route,
            service=self._draw_service(route),
            customer=customer,
            configuration=configuration.version,
            fingerprint=fingerprint,
            expires_at=expires_at,
            due_at=due_at,
        )

    def _selection_request(self, call: RelayCall) -> SelectionRequest:
        configuration = self._around.directory.configuration
        customer = call.customer
        is_isolated = customer is not None and customer.is_isolated
        received = call.request.received_at
        fields = call.fields
        occupied = self._occupied(call.fingerprint)
        return SelectionRequest(
            call_id=fields.request_id,
            service=configuration.services[call.service],
            received_at=received,
            objective_at=Millis(received + call.route.objective),
            deadline=call.deadline,
            first_output_deadline=_first_output_deadline(call),
            priority=call.priority,
            model=fields.model,
            prompt_tokens=fields.prompt_tokens,
            output_tokens=fields.output_tokens,
            parts=tuple((part.part_id, part.tokens) for part in fields.parts),
            isolated_customer=customer.name if is_isolated else '',
            excluded_servers=occupied,
        )

    def _occupied(self, fingerprint: bytes) -> frozenset[str]:
        """Return the servers where another suspect runs, for a suspect."""
        quarantine = self._around.quarantine
        now = self._around.clock.now()
        if quarantine.status(fingerprint, now) is QuarantineStatus.CLEAR:
            return frozenset()
        endpoints = quarantine.engines_with_other_suspects(fingerprint, now)
        return frozenset(
            server.server_id
            for server in self._around.directory.servers.values()
            if server.endpoint in endpoints
        )

    def _draw_service(self, route: Route) -> str:
        """Return the service of one request, by the weights of the shares."""
        total = sum(
            traffic_share.weight for traffic_share in route.traffic_shares
        )
        drawn = self._around.draw() * total
        for traffic_share in route.traffic_shares:
            drawn -= traffic_share.weight
            if drawn < 0:
                return traffic_share.service
        return route.traffic_shares[-1].service

    def _refuse(self, request_id: str, sink: AnswerSink, why: Refusal) -> None:
        configuration = self._around.directory.configuration
        log_decision(
            'call_refused',
            request_id,
            code=why.code,
            status=why.status,
            retry_after_ms=why.retry_after,
            configuration=configuration.version if configuration else None,
        )
        sink.refuse(why)


def _authenticate(
    configuration: Configuration,
    route: Route,
    fields: CallFields,
) -> CustomerSpec | None:
    """Return the customer of the key.

    Raises
    ------
    RefusedError
        If the route needs a key and the request has none that is known.
    """
    customer = configuration.customer_by_key.get(fields.key)
    if customer is None and configuration.customers and not route.is_public:
        raise RefusedError(refusals.unknown_key())
    return customer


def _first_output_deadline(call: RelayCall) -> Millis:
    """Return when the caller gives up if nothing of the answer has come."""
    route = call.route
    if route.kind is not RouteKind.STREAMING:
        return call.deadline
    client_timeout = max(
        LEAST_STREAM_PATIENCE,
        OBJECTIVES_OF_PATIENCE * route.objective,
        PAUSES_OF_PATIENCE * route.event_gap_objective,
    )
    received = call.request.received_at
    return min(call.deadline, Millis(received + client_timeout))


def _fingerprint(
    request: IncomingRequest,
    customer: CustomerSpec | None,
) -> bytes:
    """Return a digest that equal requests of a customer share."""
    name = '' if customer is None else customer.name
    digest = xxhash.xxh3_128(f'{name}\n{request.path}\n'.encode())
    digest.update(request.body)
    return digest.digest()
