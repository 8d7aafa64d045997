"""Routes of the interface for callers."""

import hashlib
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any

import uuid6
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.http import Request
from werkzeug.exceptions import HTTPException, MethodNotAllowed

from yuccagauge.clock import Clock, Millis
from yuccagauge.dispatch.base import Call, ChatCall, Header
from yuccagauge.dispatch.dispatcher import Dispatcher
from yuccagauge.dispatch.model import REQUEST_ID_PREFIX
from yuccagauge.dispatch.service import InForceDocument
from yuccagauge.gateway import metrics
from yuccagauge.gateway.authentication import (
    CREDENTIAL_UNKNOWN,
    Authenticator,
)
from yuccagauge.gateway.chat import ChatBody, parse_chat
from yuccagauge.gateway.headers import (
    IDEMPOTENCY_HEADER,
    TIMEOUT_HEADER,
    parse_idempotency_key,
    parse_timeout,
)
from yuccagauge.gateway.refusals import (
    needs_chunks,
    no_document,
    reject,
    unexpected,
    unknown_customer,
)
from yuccagauge.gateway.sink import HttpSink, json_answer, refuse_request
from yuccagauge.prefixes.base import CacheScope
from yuccagauge.settings.document import CustomerSection, ServiceDocument
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.verdict import RefusedError, Verdict, not_run_refusal

_DIGEST_BYTES = 16
_MILLISECONDS_PER_SECOND = 1000
#: In these, an answer without a length ends with its connection.
_VERSIONS_WITHOUT_CHUNKS = (b'HTTP/0.9', b'HTTP/1.0')
_PLAIN_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')

#: Request headers that plain services get from the caller.
_PASSED_ON = ('Content-Type', 'Accept', IDEMPOTENCY_HEADER)


class Gateway:
    """Turns HTTP requests into calls, and refuses those that are wrong.

    Parameters
    ----------
    dispatcher
        Runs the calls.
    clock
        The source of time.
    issue_key
        Returns a new idempotency key.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        issue_key: Callable[[], str],
    ) -> None:
        """Build the routes; documents come later."""
        self._dispatcher = dispatcher
        self._clock = clock
        self._issue_key = issue_key
        self._authenticator = Authenticator()
        self._leaving = False
        self._app = Klein()
        self._add_routes()

    @property
    def resource(self) -> Any:
        """The resource for a site."""
        return self._app.resource()

    def configure(self, in_force: InForceDocument) -> None:
        """Take a document that came into force."""
        self._authenticator.configure(in_force.service, in_force.document)

    def leave(self) -> None:
        """Tell health checks from now on that this router leaves."""
        self._leaving = True

    def _add_routes(self) -> None:
        add = self._app.route
        add('/v1/chat/completions', methods=['POST'])(self._chat)
        add('/v1/idempotency-keys', methods=['POST'])(self._new_key)
        add('/healthz', methods=['GET'])(self._health)
        add(
            '/services/<service>/<path:path>',
            methods=list(_PLAIN_METHODS),
        )(self._plain)
        self._app.handle_errors(RefusedError)(self._refuse)
        self._app.handle_errors(HTTPException)(self._refuse_route)
        self._app.handle_errors(Exception)(self._fail)

    def _health(self, request: Request) -> bytes:
        if self._leaving:
            return json_answer(request, 503, {'status': 'leaving'})
        return json_answer(request, 200, {'status': 'ok'})

    def _new_key(self, request: Request) -> bytes:
        self._customers(request)
        request.setHeader('Cache-Control', 'no-store')
        return json_answer(request, 201, {'idempotency_key': self._issue_key()})

    def _chat(self, request: Request) -> Deferred[None]:
        customers = self._customers(request)
        body = parse_chat(request.content.read())
        if body.stream and request.clientproto in _VERSIONS_WITHOUT_CHUNKS:
            raise needs_chunks()
        service = self._service_of_model(body, customers)
        in_force = self._dispatcher.services[service].in_force
        customer = customers[service]
        section = in_force.document.customers[customer]
        call = self._chat_call(request, body, in_force, customer, section)
        return self._run(request, call)

    def _customers(self, request: Request) -> Mapping[str, str]:
        """Return the caller's name in each service.

        While a document is missing, a credential may be one of its
        customers', so that it cannot be called unknown.
        """
        header = request.getHeader('Authorization')
        try:
            return self._authenticator.customers(header)
        except RefusedError as error:
            missing = [
                name
                for name, state in self._dispatcher.services.items()
                if state.in_force is None
            ]
            is_unknown = error.refusal.code == CREDENTIAL_UNKNOWN
            if missing and is_unknown:
                raise no_document(', '.join(missing)) from None
            raise

    def _plain(
        self,
        request: Request,
        service: str,
        path: str,
    ) -> Deferred[None]:
        customers = self._customers(request)
        state = self._dispatcher.services.get(service)
        if state is None:
            raise reject(404, 'unknown_service', f'no service {service}')
        if state.in_force is None:
            raise no_document(service)
        if service not in customers:
            raise unknown_customer(service)
        call = self._plain_call(
            request,
            f'/{path}',
            state.in_force,
            customers[service],
        )
        return self._run(request, call)

    def _run(self, request: Request, call: Call) -> Deferred[None]:
        metrics.REQUESTS.add(
            1,
            {'service': call.service, 'customer': call.customer},
        )
        sink = HttpSink(request, call.request_id)
        verdict = self._dispatcher.dispatch(call, sink)
        verdict.addCallbacks(
            self._record,
            self._report_fault,
            callbackArgs=(call,),
            errbackArgs=(call, sink),
        )
        return sink.done

    def _record(self, verdict: Verdict, call: Call) -> None:
        duration = self._clock.now() - call.received_at
        metrics.DURATION.record(
            duration / _MILLISECONDS_PER_SECOND,
            {'service': call.service, 'verdict': verdict.value},
        )

    def _report_fault(
        self,
        failure: Failure,
        call: Call,
        sink: HttpSink,
    ) -> None:
        log_state_change(
            'router_fault',
            request_id=call.request_id,
            error=failure.type.__name__,
        )
        sink.refuse(unexpected())

    def _service_of_model(
        self,
        body: ChatBody,
        customers: dict[str, str],
    ) -> str:
        offering = [
            name
            for name, state in self._dispatcher.services.items()
            if _offers(state.in_force, body)
        ]
        for name in offering:
            if name in customers:
                return name
        if offering:
            raise unknown_customer(offering[0])
        raise reject(404, 'unknown_model', f'no model {body.model}')

    def _chat_call(
        self,
        request: Request,
        body: ChatBody,
        in_force: InForceDocument,
        customer: str,
        section: CustomerSection,
    ) -> Call:
        document = in_force.document
        model = document.models[body.model]
        cache_scope = CacheScope(
            customer=customer,
            model=body.model,
            adapter=body.adapter,
            weights_version=model.weights_version,
        )
        scheme = self._dispatcher.services[in_force.service].scheme
        prefix = scheme.derive_levels(cache_scope, body.messages)
        if prefix.prompt_tokens > model.context_tokens:
            raise reject(
                400,
                'context_length_exceeded',
                f'the prompt is longer than {model.context_tokens} tokens',
            )
        now = self._clock.now()
        timeout = parse_timeout(
            request.getHeader(TIMEOUT_HEADER),
            document.routing.deadline_ms,
        )
        return Call(
            request_id=_new_request_id(),
            customer=customer,
            service=in_force.service,
            document_version=in_force.version,
            method='POST',
            path='/v1/chat/completions',
            headers=(),
            body=b'',
            idempotent=True,
            received_at=now,
            deadline=Millis(now + timeout),
            priority=section.priority,
            fingerprint=body.fingerprint(customer, in_force.service),
            chat=ChatCall(
                stream=body.stream,
                fields=body.fields,
                prefix=prefix,
            ),
        )

    def _plain_call(
        self,
        request: Request,
        path: str,
        in_force: InForceDocument,
        customer: str,
    ) -> Call:
        document = in_force.document
        method = request.method.decode('latin-1')
        idempotent = _is_idempotent(document, method, path)
        key = parse_idempotency_key(request.getHeader(IDEMPOTENCY_HEADER))
        if not idempotent and not key:
            raise reject(
                400,
                'idempotency_key_missing',
                f'{method} {path} needs the header {IDEMPOTENCY_HEADER}',
            )
        now = self._clock.now()
        timeout = parse_timeout(
            request.getHeader(TIMEOUT_HEADER),
            document.routing.deadline_ms,
        )
        body = request.content.read()
        query = request.uri.partition(b'?')[2].decode('latin-1')
        request_id = _new_request_id()
        return Call(
            request_id=request_id,
            customer=customer,
            service=in_force.service,
            document_version=in_force.version,
            method=method,
            path=_target(path, query),
            headers=_passed_on(request, customer, request_id),
            body=body,
            idempotent=idempotent,
            received_at=now,
            deadline=Millis(now + timeout),
            priority=document.customers[customer].priority,
            idempotency_key=key,
            fingerprint=_fingerprint(
                customer,
                in_force.service,
                method,
                f'{path}?{query}',
                body,
            ),
        )

    def _refuse(self, request: Request, failure: Failure) -> bytes:
        return refuse_request(request, failure.value.refusal)

    def _refuse_route(self, request: Request, failure: Failure) -> bytes:
        error = failure.value
        if isinstance(error, MethodNotAllowed):
            refusal = not_run_refusal(405, 'method_not_allowed', 'wrong method')
        else:
            refusal = not_run_refusal(404, 'unknown_route', 'no such route')
        return refuse_request(request, refusal)

    def _fail(self, request: Request, failure: Failure) -> bytes:
        log_state_change(
            'router_fault',
            request_id='',
            error=failure.type.__name__,
        )
        return refuse_request(request, unexpected())


def _new_request_id() -> str:
    return f'{REQUEST_ID_PREFIX}{uuid6.uuid7().hex}'


def _offers(in_force: InForceDocument | None, body: ChatBody) -> bool:
    if in_force is None:
        return False
    model = in_force.document.models.get(body.model)
    if model is None:
        return False
    return not body.adapter or body.adapter in model.adapters


def _is_idempotent(
    document: ServiceDocument,
    method: str,
    path: str,
) -> bool:
    route = document.routes.get(f'{method} {path}')
    if route is None:
        raise reject(404, 'unknown_route', f'no route {method} {path}')
    return route.idempotent


def _target(path: str, query: str) -> str:
    """Return the canonical spelling of the path that was checked."""
    quoted = urllib.parse.quote(path)
    return f'{quoted}?{query}' if query else quoted


def _passed_on(
    request: Request,
    customer: str,
    request_id: str,
) -> tuple[Header, ...]:
    found = [
        (name.encode(), text.encode('latin-1', 'replace'))
        for name in _PASSED_ON
        if (text := request.getHeader(name)) is not None
    ]
    found.append((b'Yuccagauge-Customer', customer.encode()))
    found.append((b'Yuccagauge-Request-Id', request_id.encode()))
    return tuple(found)


def _fingerprint(*parts: str | bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    return digest.digest()
