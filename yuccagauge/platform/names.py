"""Names on the platform's wire."""

REQUEST_ID = b'X-Yuccagauge-Request-Id'
DEADLINE = b'X-Yuccagauge-Deadline-Ms'
PREFIX = b'X-Yuccagauge-Prefix-Hash'
LAST_EVENT_ID = b'Last-Event-Id'
TENANT = b'X-Yuccagauge-Tenant'
EXPECT_INSTANCE = b'X-Yuccagauge-Expect-Instance'
EXPECT_VERSION = b'X-Yuccagauge-Expect-Version'
INSTANCE = b'X-Yuccagauge-Instance-Id'
NOT_RUN = b'X-Yuccagauge-Not-Executed'
STAMP = b'X-Yuccagauge-Server-Stamp'
MODEL = b'X-Yuccagauge-Model'
#: Prompt tokens and the largest number of output tokens; no usage.
TOKENS = b'X-Yuccagauge-Token-Usage'
CACHE_SALT = b'X-Yuccagauge-Cache-Salt'
URGENCY = b'X-Yuccagauge-Request-Priority'
FETCH_FROM = b'X-Yuccagauge-Kv-Fetch'
KEEP_IN = b'X-Yuccagauge-Kv-Save'
#: One whole number: the version of the weights that answer.
WEIGHTS = b'X-Yuccagauge-Weight-Versions'
AUTHORIZATION = b'Authorization'
WAIT = b'Wait-Ms'

#: The scheme of keys in the authorization header, in lower case.
KEY_SCHEME = 'bearer'

#: Headers that only the router may set towards a server, in lower case.
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        CACHE_SALT,
        URGENCY,
        FETCH_FROM,
        KEEP_IN,
        AUTHORIZATION,
        DEADLINE,
        LAST_EVENT_ID,
        b'X-Yuccagauge-Pin-Ms',
        b'X-Yuccagauge-Hold',
        b'X-Yuccagauge-Kv-Backup',
        b'Kv-From',
        NOT_RUN,
        INSTANCE,
        STAMP,
    )
)

#: Headers that concern one connection, in lower case.
CONNECTION_HEADERS = frozenset(
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
EVENTS_PATH = '/api/kv-events'
APPEND_PATH = '/api/log-append'
READ_PATH = '/api/log-read'
NEWEST_PATH = '/api/log-newest'

#: Key and key prefix of what the operator writes.
CONFIG_KEY = 'config'
VERSION_KEY_PREFIX = 'version/'
