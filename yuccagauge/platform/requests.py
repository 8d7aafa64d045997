"""Requests of callers and to backend servers, and their answers."""

from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import BackendMessage, Header, ResponseHead
from yuccagauge.platform import names
from yuccagauge.relay.base import (
    AttemptRequest,
    CallFieldError,
    CallFields,
    IncomingRequest,
    PromptPart,
    ResponseInfo,
)
from yuccagauge.settings.options import Endpoint

_MISDIRECTED = 421

#: Largest number that is read from a header.
_MAXIMUM = 1_000_000_000


class PlatformCallDecoder:
    """Reads the fields of a call from the head of a request."""

    def decode_request(self, request: IncomingRequest) -> CallFields:
        """Return the fields.

        Raises
        ------
        CallFieldError
            If a field is missing, doubled or malformed.
        """
        found = _single(request.headers)
        request_id = found.get(names.REQUEST_ID.lower(), '')
        if not request_id:
            raise CallFieldError('the request has no id')
        prompt, output = _tokens(found.get(names.TOKENS.lower(), ''))
        deadline = found.get(names.DEADLINE.lower())
        return CallFields(
            request_id=request_id,
            host=found.get('host'.encode(), '').partition(':')[0].lower(),
            client_timeout=None
            if deadline is None
            else Millis(_number(deadline)),
            key=_key(found.get(names.AUTHORIZATION.lower(), '')),
            model=found.get(names.MODEL.lower(), ''),
            prompt_tokens=prompt,
            output_tokens=output,
            parts=_parts(found.get(names.PREFIX.lower(), '')),
            last_event_id=found.get(names.LAST_EVENT_ID.lower(), ''),
        )


class PlatformBackendProtocol:
    """Writes attempts to backend servers and reads their answers."""

    def encode_attempt(self, attempt: AttemptRequest) -> BackendMessage:
        """Return the request towards the server."""
        call = attempt.call
        request = call.request
        host = ''
        headers: list[Header] = []
        for name, value in _end_to_end(request.headers):
            lowered = name.lower()
            if lowered == b'host':
                host = value.decode('latin-1')
            elif lowered != b'content-length' and (
                lowered not in names.ROUTER_HEADERS
            ):
                headers.append((name, value))
        headers.extend(_router_headers(attempt))
        return BackendMessage(
            method=request.method,
            path=request.target,
            headers=tuple(headers),
            body=request.body,
            host=host,
            echo=(names.REQUEST_ID, call.fields.request_id.encode('latin-1')),
        )

    def parse_head(self, head: ResponseHead) -> ResponseInfo:
        """Return what the head of an answer states."""
        weights = head.get(names.WEIGHTS.lower())
        return ResponseInfo(
            is_not_run=bool(head.get(names.NOT_RUN.lower())),
            is_misdirected=head.status == _MISDIRECTED,
            has_server_stamp=bool(head.get(names.STAMP.lower())),
            server_id=head.get(names.INSTANCE.lower()),
            weights_version=int(weights) if weights.isdigit() else None,
        )

    def end_to_end_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers that the caller gets."""
        return tuple(_end_to_end(head.headers))


def _end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Return the headers without those of one connection."""
    headers = tuple(headers)
    named = {
        word.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for word in value.split(b',')
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in names.CONNECTION_HEADERS
        and name.lower() not in named
    ]


def _router_headers(attempt: AttemptRequest) -> list[Header]:
    """Return the headers that the router sets."""
    placement = attempt.placement
    customer = attempt.call.customer
    texts: list[tuple[bytes, object]] = [
        (names.DEADLINE, attempt.timeout),
        (names.EXPECT_INSTANCE, placement.server.server_id),
    ]
    if customer is not None:
        texts.append((names.TENANT, customer.name))
    if attempt.last_event_id:
        texts.append((names.LAST_EVENT_ID, attempt.last_event_id))
    if placement.weights_version is not None:
        texts.append((names.EXPECT_VERSION, placement.weights_version))
        texts.append((names.CACHE_SALT, placement.cache_scope))
        if attempt.priority is not None:
            texts.append((names.URGENCY, min(attempt.priority, 9)))
    texts.extend(
        (name, endpoint)
        for name, endpoint in (
            (names.FETCH_FROM, placement.kv_fetch_endpoint),
            (names.KEEP_IN, placement.kv_save_endpoint),
        )
        if isinstance(endpoint, Endpoint)
    )
    return [(name, str(text).encode('latin-1')) for name, text in texts]


def _single(headers: Iterable[Header]) -> dict[bytes, str]:
    """Return the headers by lower-case name.

    Raises
    ------
    CallFieldError
        If a header that identifies the call stands twice.
    """
    found: dict[bytes, str] = {}
    for name, value in headers:
        lowered = name.lower()
        if lowered in found and lowered in _UNIQUE:
            raise CallFieldError(f'{name.decode("latin-1")} stands twice')
        found[lowered] = value.decode('latin-1')
    return found


_UNIQUE = frozenset(
    name.lower()
    for name in (
        b'host',
        names.REQUEST_ID,
        names.MODEL,
        names.TOKENS,
        names.PREFIX,
        names.AUTHORIZATION,
        names.DEADLINE,
    )
)


def _key(authorization: str) -> str:
    scheme, _, key = authorization.partition(' ')
    return key.strip() if scheme.lower() == names.KEY_SCHEME else ''


def _tokens(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(',')
    return _number(prompt), _number(output)


def _parts(text: str) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    found: list[PromptPart] = []
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        found.append(PromptPart(part_id=part_id, tokens=_number(tokens)))
    return tuple(found)


def _number(text: str) -> int:
    """Read a whole number; fractions of a unit are dropped.

    Raises
    ------
    CallFieldError
        If the text is no number.
    """
    try:
        number = int(float(text))
    except (ValueError, OverflowError):
        raise CallFieldError(f'{text[:40]!r} is not a number') from None
    return max(0, min(number, _MAXIMUM))
