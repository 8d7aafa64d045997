"""Decodes requests of callers and encodes requests to backend servers."""

import re
from collections.abc import Iterable

from yuccagauge.clock import Millis, in_millis
from yuccagauge.dispatch.base import (
    BackendMessage,
    Framing,
    Header,
    ResponseHead,
)
from yuccagauge.platform import names
from yuccagauge.relay.answers import AnswerMarks, IdMark
from yuccagauge.relay.base import (
    AttemptRequest,
    CallFieldError,
    CallFields,
    IncomingRequest,
    PromptPart,
    ResponseInfo,
)
from yuccagauge.settings.options import Endpoint

_MISDIRECTED_REQUEST = 421
_UNAVAILABLE = 503

#: Longest time for which a server is left alone because it says so.
_MAXIMUM_RETRY_AFTER = Millis(60_000)

#: Larger numbers in a header are reduced to this one.
_MAXIMUM_NUMBER = 1_000_000_000

#: A whole number. ``str.isdigit`` accepts digits that ``int`` does not.
_INTEGER = re.compile('[0-9]{1,18}')

#: A number of rejections in a second.
_REJECTIONS = re.compile('[0-9]{1,6}')

#: A decimal number without sign and exponent. ``float`` accepts more.
_DECIMAL = re.compile('[0-9]{1,9}([.][0-9]{1,9})?')

_REQUEST_ID = names.REQUEST_ID.lower()
_SERVER_STAMP = names.SERVER_STAMP.lower()
_NOT_EXECUTED = names.NOT_EXECUTED.lower()
_INSTANCE_ID = names.INSTANCE_ID.lower()
_CONTENT_ENCODING = b'content-encoding'

#: Headers beside the request id that tell the origin of an answer.
_MARKS = (_SERVER_STAMP, _NOT_EXECUTED, _INSTANCE_ID, _CONTENT_ENCODING)


class PlatformCallDecoder:
    """Decodes the fields of a call from the headers of a request."""

    def decode_request(self, request: IncomingRequest) -> CallFields:
        """Return the fields of the call.

        Raises
        ------
        CallFieldError
            If a header is missing, repeated or malformed.
        """
        headers = _headers_by_name(request.headers)
        request_id = headers.get(names.REQUEST_ID.lower(), '')
        if not request_id:
            raise CallFieldError('request has no request ID header')
        prompt, output = _parse_token_counts(
            headers.get(names.TOKEN_USAGE.lower(), '')
        )
        deadline = headers.get(names.DEADLINE.lower())
        return CallFields(
            request_id=request_id,
            host=headers.get('host'.encode(), '').partition(':')[0].lower(),
            caller_timeout=None
            if deadline is None
            else Millis(_parse_number(deadline)),
            api_key=_parse_api_key(
                headers.get(names.AUTHORIZATION.lower(), '')
            ),
            model=headers.get(names.MODEL.lower(), ''),
            prompt_tokens=prompt,
            output_tokens=output,
            parts=_parse_prompt_parts(
                headers.get(names.PREFIX_HASH.lower(), '')
            ),
            last_event_id=headers.get(names.LAST_EVENT_ID.lower(), ''),
            resumed_request_id=headers.get(names.RESUMES.lower(), ''),
        )


class PlatformBackendProtocol:
    """Encodes requests to backend servers and parses response heads."""

    def encode_attempt(self, attempt: AttemptRequest) -> BackendMessage:
        """Return the request to send to the server."""
        call = attempt.call
        request = call.request
        host = ''
        headers: list[Header] = []
        for name, value in _remove_hop_by_hop(request.headers):
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
        )

    def parse_marks(self, head: ResponseHead, request_id: str) -> AnswerMarks:
        """Return what a head states of the origin of its answer.

        Parameters
        ----------
        request_id
            The request that waits for an answer.
        """
        stated = dict.fromkeys(_MARKS, '')
        ids: set[str] = set()
        for name, value in head.headers:
            lowered = name.lower()
            if lowered == _REQUEST_ID:
                ids.add(value.decode('latin-1').strip())
            elif lowered in stated:
                stated[lowered] = value.decode('latin-1').strip()
        encoding = stated[_CONTENT_ENCODING].lower()
        return AnswerMarks(
            status=head.status,
            id=_id_mark(ids - {''}, request_id),
            has_stamp=bool(stated[_SERVER_STAMP]),
            states_not_run=bool(stated[_NOT_EXECUTED]),
            names_server=bool(stated[_INSTANCE_ID]),
            is_encoded=encoding not in {'', 'identity'},
        )

    def parse_head(self, head: ResponseHead) -> ResponseInfo:
        """Return what the status and headers of a response state."""
        weights = head.get(names.WEIGHT_VERSIONS.lower())
        rate_limit, malformed_rate_limit = _parse_rate_limit(head)
        retry_after, malformed_retry_after = _parse_retry_after(head)
        rejections, malformed_rejections = _parse_rejections(head)
        return ResponseInfo(
            is_not_run=bool(head.get(names.NOT_EXECUTED.lower())),
            is_misdirected=head.status == _MISDIRECTED_REQUEST,
            has_server_stamp=bool(head.get(names.SERVER_STAMP.lower())),
            server_id=head.get(names.INSTANCE_ID.lower()),
            weights_version=int(weights)
            if _INTEGER.fullmatch(weights)
            else None,
            rate_limit=rate_limit,
            malformed_rate_limit=malformed_rate_limit,
            is_leaving=head.get(names.SERVER_LEAVING.lower()).strip() == '1',
            retry_after=retry_after,
            malformed_retry_after=malformed_retry_after,
            allowed_rejections=rejections,
            malformed_rejections=malformed_rejections,
        )

    def end_to_end_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the response headers to forward to the caller."""
        headers = _remove_hop_by_hop(head.headers)
        if head.framing is Framing.CHUNKS:
            # Chunks override a length, which may be wrong.
            headers = [
                (name, value)
                for name, value in headers
                if name.lower() != b'content-length'
            ]
        return tuple(headers)


def _id_mark(found: set[str], request_id: str) -> IdMark:
    """Return which request the ids in a head name."""
    if not found:
        return IdMark.MISSING
    if found == {request_id}:
        return IdMark.OWN
    return IdMark.AMBIGUOUS if request_id in found else IdMark.OTHER


def _parse_rate_limit(head: ResponseHead) -> tuple[float | None, str]:
    """Return the rate limit of a response, or its text if it is malformed.

    A limit of 0 is malformed too: it could never be seen to end, because the
    server would get no call to answer.
    """
    stated = _stated(head, names.SERVER_LIMIT)
    if stated is None:
        return None, ''
    if _DECIMAL.fullmatch(stated) and float(stated) > 0:
        return float(stated), ''
    return None, stated or 'empty'


def _parse_rejections(head: ResponseHead) -> tuple[int | None, str]:
    """Return how many rejections a brittle server bears, or a malformed text."""
    stated = _stated(head, names.SERVER_BRITTLE)
    if stated is None:
        return None, ''
    if _REJECTIONS.fullmatch(stated):
        return int(stated), ''
    return None, stated or 'empty'


def _parse_retry_after(head: ResponseHead) -> tuple[Millis | None, str]:
    """Return the time that a rejection states, or its text if malformed.

    A longer time than the bound is taken for a mistake, too: the router would
    not learn that the server takes calls again.
    """
    stated = _stated(head, names.RETRY_AFTER)
    if stated is None or head.status != _UNAVAILABLE:
        return None, ''
    if not _DECIMAL.fullmatch(stated):
        return None, stated or 'empty'
    duration = in_millis(float(stated))
    if duration > _MAXIMUM_RETRY_AFTER:
        return _MAXIMUM_RETRY_AFTER, stated
    return duration, ''


def _stated(head: ResponseHead, name: bytes) -> str | None:
    """Return all values of a header, or ``None`` if it is absent."""
    texts = [
        value.decode('latin-1').strip()
        for found, value in head.headers
        if found.lower() == name.lower()
    ]
    return ','.join(texts) if texts else None


def _remove_hop_by_hop(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that are not bound to one connection."""
    headers = tuple(headers)
    connection_options = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for option in value.split(b',')
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in names.HOP_BY_HOP_HEADERS
        and name.lower() not in connection_options
    ]


def _router_headers(attempt: AttemptRequest) -> list[Header]:
    """Return the headers that the router adds to a request."""
    placement = attempt.placement
    customer = attempt.call.customer
    values: list[tuple[bytes, object]] = [
        (names.DEADLINE, attempt.timeout),
        (names.EXPECT_INSTANCE, placement.server.server_id),
    ]
    if customer is not None:
        values.append((names.TENANT, customer.name))
    if attempt.last_event_id:
        values.append((names.LAST_EVENT_ID, attempt.last_event_id))
    if placement.weights_version is not None:
        values.append((names.EXPECT_VERSION, placement.weights_version))
        values.append((names.CACHE_SALT, placement.cache_scope))
        if attempt.priority is not None:
            values.append((names.REQUEST_PRIORITY, min(attempt.priority, 9)))
    values.extend(
        (name, endpoint)
        for name, endpoint in (
            (names.KV_FETCH, placement.kv_fetch_endpoint),
            (names.KV_SAVE, placement.kv_save_endpoint),
        )
        if isinstance(endpoint, Endpoint)
    )
    return [(name, str(text).encode('latin-1')) for name, text in values]


def _headers_by_name(headers: Iterable[Header]) -> dict[bytes, str]:
    """Return the headers by lower-case name.

    Raises
    ------
    CallFieldError
        If a header occurs twice that may occur only once.
    """
    by_name: dict[bytes, str] = {}
    for name, value in headers:
        lowered = name.lower()
        if lowered in by_name and lowered in _SINGLE_HEADERS:
            raise CallFieldError(
                f'{name.decode("latin-1")} occurs more than once'
            )
        by_name[lowered] = value.decode('latin-1')
    return by_name


_SINGLE_HEADERS = frozenset(
    name.lower()
    for name in (
        b'host',
        names.REQUEST_ID,
        names.MODEL,
        names.TOKEN_USAGE,
        names.PREFIX_HASH,
        names.AUTHORIZATION,
        names.DEADLINE,
    )
)


def _parse_api_key(authorization: str) -> str:
    scheme, _, key = authorization.partition(' ')
    return key.strip() if scheme.lower() == names.AUTHORIZATION_SCHEME else ''


def _parse_token_counts(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(',')
    return _parse_number(prompt), _parse_number(output)


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    parts: list[PromptPart] = []
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        parts.append(PromptPart(part_id=part_id, tokens=_parse_number(tokens)))
    return tuple(parts)


def _parse_number(text: str) -> int:
    """Parse a number, discard its fraction and limit it to the valid range.

    Raises
    ------
    CallFieldError
        If the text is not a finite number.
    """
    try:
        number = int(float(text))
    except (ValueError, OverflowError):
        raise CallFieldError(f'{text[:40]!r} is not a number') from None
    return max(0, min(number, _MAXIMUM_NUMBER))
