"""Authorizes requests and forwards them as calls, or refuses them."""

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
from yuccagauge.origins.base import KEY_BYTES
from yuccagauge.quarantine.base import QuarantineStatus
from yuccagauge.quarantine.events import short_fingerprint
from yuccagauge.relay import refusals
from yuccagauge.relay.base import (
    CallFieldError,
    CallFields,
    IncomingRequest,
    RelayCall,
    shared_part_ids,
)
from yuccagauge.relay.call import CallForwarder
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.origins import stream_key
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.telemetry.guard import record_call_fault
from yuccagauge.telemetry.journal import log_decision
from yuccagauge.verdict import Refusal, RefusedError

#: Delay after which a caller may retry at a router without a configuration.
STARTUP_RETRY_AFTER = Millis(500)

#: A caller is expected to close a stream without a first event after the
#: longest of this time and of these multiples of the route's latency objective
#: and of its objective for the gap between events.
MINIMUM_FIRST_EVENT_TIMEOUT = Millis(2000)
FIRST_EVENT_OBJECTIVE_FACTOR = 4
FIRST_EVENT_GAP_FACTOR = 8

_KEY_VALUES = 256**KEY_BYTES


class Relay:
    """Accepts requests of callers as calls, or refuses them.

    Parameters
    ----------
    context
        What all calls share.
    """

    def __init__(self, context: RelayContext) -> None:
        """Create a relay; it refuses all requests without a configuration."""
        self._context = context

    @property
    def running_call_count(self) -> int:
        """The number of calls that are not answered yet."""
        return len(self._context.running_calls)

    def caller_limits(self) -> CallerLimits:
        """Return the limits in force for connections of callers."""
        configuration = self._context.directory.configuration
        return CallerLimits() if configuration is None else configuration.limits

    def handle_request(
        self, request: IncomingRequest, sink: AnswerSink
    ) -> None:
        """Forward one request, or refuse it; the sink receives the answer."""
        request_id = ''
        try:
            fields = self._context.call_decoder.decode_request(request)
            request_id = fields.request_id
            call = self._admit_call(request, fields)
            selection_request = self._selection_request(call)
        except CallFieldError as error:
            self._refuse(request_id, sink, refusals.malformed(str(error)))
            return
        except RefusedError as error:
            self._refuse(request_id, sink, error.refusal)
            return
        except Exception as error:  # noqa: BLE001
            # Without a refusal the caller's channel would just be closed.
            record_call_fault('admit_call', request_id, error)
            refusal = refusals.not_run(refusals.INTERNAL_ERROR, None)
            self._refuse(request_id, sink, refusal)
            return
        forwarder = CallForwarder(call, selection_request, sink, self._context)
        try:
            forwarder.start()
        except Exception as error:  # noqa: BLE001
            record_call_fault('start_call', request_id, error)
            forwarder.abort_call(refusals.INTERNAL_ERROR)

    def abort_calls(self) -> None:
        """End all running calls at once, because the router stops."""
        for call in tuple(self._context.running_calls.values()):
            call.abort_call()

    def draw_service(
        self, route: Route, fields: CallFields, customer: CustomerSpec | None
    ) -> str:
        """Return a random service, by the weights of the traffic shares.

        It is the same for all tries of a stream, at any router, because only
        the service that began the stream can go on with it.
        """
        fraction = self._context.random_fraction()
        if route.is_resumable:
            key = stream_key(fields, customer)
            fraction = int.from_bytes(key) / _KEY_VALUES
        total = sum(share.weight for share in route.traffic_shares)
        drawn = fraction * total
        for traffic_share in route.traffic_shares:
            drawn -= traffic_share.weight
            if drawn < 0:
                return traffic_share.service
        return route.traffic_shares[-1].service

    def _admit_call(
        self, request: IncomingRequest, fields: CallFields
    ) -> RelayCall:
        """Return the call, if the configuration and the quarantine allow it.

        Raises
        ------
        RefusedError
            If there is no configuration, no route or no valid key, if the
            caller could not tell the end of the answer, or if the request is
            quarantined because servers crashed while it ran.
        """
        configuration = self._context.directory.configuration
        if configuration is None:
            raise RefusedError(refusals.not_ready(STARTUP_RETRY_AFTER))
        route = configuration.find_route(fields.host, request.path)
        if route is None:
            raise RefusedError(refusals.no_route())
        customer = _authenticate(configuration, route, fields)
        if route.kind is RouteKind.STREAMING and not request.knows_chunks:
            raise RefusedError(refusals.needs_chunks())
        fingerprint = fingerprint_of(request, customer)
        is_probe = self._check_quarantine(fields, fingerprint)
        route_deadline = Millis(request.received_at + route.timeout)
        caller_timeout = fields.caller_timeout
        caller_deadline = route_deadline
        if caller_timeout is not None:
            caller_deadline = Millis(request.received_at + caller_timeout)
        return RelayCall(
            request=request,
            fields=fields,
            route=route,
            service=self.draw_service(route, fields, customer),
            customer=customer,
            configuration_version=configuration.version,
            fingerprint=fingerprint,
            caller_deadline=caller_deadline,
            route_deadline=route_deadline,
            is_probe=is_probe,
        )

    def _check_quarantine(self, fields: CallFields, fingerprint: bytes) -> bool:
        """Return whether the request is a probe of a blamed part.

        Raises
        ------
        RefusedError
            If the request, or a part of its prompt, is quarantined.
        """
        context = self._context
        now = context.clock.now()
        part_ids = shared_part_ids(fields.parts)
        blamed_part = context.part_quarantine.blamed_part(part_ids, now)
        status = context.quarantine.status(fingerprint, now)
        is_refused = status is QuarantineStatus.REFUSED
        if blamed_part is not None and not is_refused:
            if context.part_quarantine.try_probe(part_ids, now):
                return True
            is_refused = True
        if is_refused:
            log_decision(
                'call_quarantined',
                fields.request_id,
                fingerprint=short_fingerprint(fingerprint),
                part=blamed_part,
            )
            raise RefusedError(refusals.not_run('crashes_servers', None))
        return False

    def _selection_request(self, call: RelayCall) -> SelectionRequest:
        """Return the requirements of a call.

        Raises
        ------
        RefusedError
            If the configuration lacks the service of the route.
        """
        configuration = self._context.directory.configuration
        service = configuration.services.get(call.service)
        if service is None:
            raise RefusedError(refusals.not_run('no_service', None))
        received = call.request.received_at
        fields = call.fields
        excluded_servers = self._servers_with_other_suspects(call.fingerprint)
        return SelectionRequest(
            call_id=fields.request_id,
            service=service,
            received_at=received,
            objective_at=Millis(received + call.route.objective),
            deadline=call.deadline,
            first_output_deadline=_first_output_deadline(call),
            priority=call.priority,
            model=fields.model,
            prompt_tokens=fields.prompt_tokens,
            output_tokens=fields.output_tokens,
            parts=tuple((part.part_id, part.tokens) for part in fields.parts),
            excluded_servers=excluded_servers,
        )

    def _servers_with_other_suspects(
        self, fingerprint: bytes
    ) -> frozenset[str]:
        """Return the servers that a request has to avoid.

        A request that is suspected of crashing servers avoids those that run
        another suspect, because a crash could not be attributed to one of
        them. Other requests avoid none.
        """
        quarantine = self._context.quarantine
        now = self._context.clock.now()
        if quarantine.status(fingerprint, now) is QuarantineStatus.CLEAR:
            return frozenset()
        endpoints = quarantine.engines_with_other_suspects(fingerprint, now)
        return frozenset(
            server.server_id
            for server in self._context.directory.servers.values()
            if server.endpoint in endpoints
        )

    def _refuse(
        self, request_id: str, sink: AnswerSink, refusal: Refusal
    ) -> None:
        configuration = self._context.directory.configuration
        log_decision(
            'call_refused',
            request_id,
            code=refusal.code,
            status=refusal.status,
            retry_after_ms=refusal.retry_after,
            configuration=configuration.version if configuration else None,
        )
        sink.refuse(refusal)


def _authenticate(
    configuration: Configuration,
    route: Route,
    fields: CallFields,
) -> CustomerSpec | None:
    """Return the customer of the API key, if there is one.

    Raises
    ------
    RefusedError
        If the route requires a key and the request has no valid one.
    """
    customer = configuration.customer_by_api_key.get(fields.api_key)
    if customer is None and configuration.customers and not route.is_public:
        raise RefusedError(refusals.unknown_key())
    return customer


def _first_output_deadline(call: RelayCall) -> Millis:
    """Return when the caller is expected to give up without any output."""
    route = call.route
    if route.kind is not RouteKind.STREAMING:
        return call.deadline
    first_event_timeout = max(
        MINIMUM_FIRST_EVENT_TIMEOUT,
        FIRST_EVENT_OBJECTIVE_FACTOR * route.objective,
        FIRST_EVENT_GAP_FACTOR * route.event_gap_objective,
    )
    received = call.request.received_at
    return min(call.deadline, Millis(received + first_event_timeout))


def fingerprint_of(
    request: IncomingRequest,
    customer: CustomerSpec | None,
) -> bytes:
    """Return a digest that is the same for equal requests of a customer."""
    name = '' if customer is None else customer.name
    digest = xxhash.xxh3_128(f'{name}\n{request.path}\n'.encode())
    digest.update(request.body)
    return digest.digest()
