"""Header names, paths and record keys of the platform."""

REQUEST_ID = b'X-Yuccagauge-Request-Id'
DEADLINE = b'X-Yuccagauge-Deadline-Ms'
PREFIX_HASH = b'X-Yuccagauge-Prefix-Hash'
LAST_EVENT_ID = b'Last-Event-Id'
#: Id of the request whose answer had the first event of a stream.
RESUMES = b'Resumes'
TENANT = b'X-Yuccagauge-Tenant'
EXPECT_INSTANCE = b'X-Yuccagauge-Expect-Instance'
EXPECT_VERSION = b'X-Yuccagauge-Expect-Version'
INSTANCE_ID = b'X-Yuccagauge-Instance-Id'
NOT_EXECUTED = b'X-Yuccagauge-Not-Executed'
SERVER_STAMP = b'X-Yuccagauge-Server-Stamp'
MODEL = b'X-Yuccagauge-Model'
#: Prompt tokens and maximum output tokens, not the tokens that were used.
TOKEN_USAGE = b'X-Yuccagauge-Token-Usage'
CACHE_SALT = b'X-Yuccagauge-Cache-Salt'
REQUEST_PRIORITY = b'X-Yuccagauge-Request-Priority'
KV_FETCH = b'X-Yuccagauge-Kv-Fetch'
KV_SAVE = b'X-Yuccagauge-Kv-Save'
#: A single integer: the weights version that produced the response.
WEIGHT_VERSIONS = b'X-Yuccagauge-Weight-Versions'
#: Requests a second that an engine takes from all routers together.
SERVER_LIMIT = b'Server-Limit'
#: Requests that a brittle engine can reject in a second and go on.
SERVER_BRITTLE = b'Server-Brittle'
#: ``1`` in all answers of an engine that leaves.
SERVER_LEAVING = b'Server-Leaving'
RETRY_AFTER = b'Retry-After'
#: In all answers of the store; rises when it comes back from a copy.
STORE_ERA = b'Store-Era'
AUTHORIZATION = b'Authorization'
WAIT_MS = b'Wait-Ms'

#: Scheme of the Authorization header, in lower case.
AUTHORIZATION_SCHEME = 'bearer'

#: Headers that the router does not forward from the caller, because only
#: the router may set them on a request to a server; in lower case.
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        CACHE_SALT,
        REQUEST_PRIORITY,
        KV_FETCH,
        KV_SAVE,
        AUTHORIZATION,
        DEADLINE,
        LAST_EVENT_ID,
        b'X-Yuccagauge-Pin-Ms',
        b'X-Yuccagauge-Hold',
        b'X-Yuccagauge-Kv-Backup',
        b'Kv-From',
        NOT_EXECUTED,
        INSTANCE_ID,
        SERVER_STAMP,
    )
)

#: Headers that apply to one connection and are not forwarded, in lower case.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)

READY_PATH = '/api/ready'
REPORT_PATH = '/api/report'
ORDER_PATH = '/api/order'
CACHE_EVENTS_PATH = '/api/kv-events'
LOG_APPEND_PATH = '/api/log-append'
LOG_READ_PATH = '/api/log-read'
LOG_NEWEST_PATH = '/api/log-newest'

#: Key of the configuration and key prefix of the weights targets, both
#: written by the operator.
CONFIGURATION_KEY = 'config'
WEIGHTS_TARGET_KEY_PREFIX = 'version/'
