"""Request headers that the router reads itself."""

from yuccagauge.clock import Millis
from yuccagauge.gateway.refusals import reject

#: The caller's bound on the time to its answer, in ms.
TIMEOUT_HEADER = 'Yuccagauge-Timeout-Ms'

IDEMPOTENCY_HEADER = 'Idempotency-Key'

_LONGEST_KEY = 255


def parse_timeout(text: str | None, allowed: Millis) -> Millis:
    """Return the time that a call has, capped by the document.

    Raises
    ------
    RefusedError
        If the header is not a whole number of at least 1.
    """
    if text is None:
        return allowed
    if not (text.isascii() and text.isdigit()) or not int(text):
        raise reject(
            400,
            'invalid_timeout',
            f'{TIMEOUT_HEADER}: expected a whole number of ms from 1',
        )
    return Millis(min(int(text), allowed))


def parse_idempotency_key(text: str | None) -> str:
    """Return the key, or an empty text if there is none.

    The draft of the IETF defines a quoted string; the bare form that many
    clients send is accepted as well.

    Raises
    ------
    RefusedError
        If the header is not a single key.
    """
    if text is None:
        return ''
    key = text.strip()
    is_quoted = len(key) > 1 and key[0] == key[-1] == '"'
    bare = key[1:-1] if is_quoted else key
    is_plain = bare.isascii() and bare.isprintable() and '"' not in bare
    if not bare or not is_plain or len(bare) > _LONGEST_KEY:
        raise reject(
            400,
            'idempotency_key_invalid',
            f'{IDEMPOTENCY_HEADER}: expected one quoted string',
        )
    return bare
