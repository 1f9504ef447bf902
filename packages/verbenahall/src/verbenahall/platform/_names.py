"""Headers, paths, topics and keys of the platform's protocol."""

from typing import Final

# Headers of requests and answers.
REQUEST_ID: Final = 'X-Verbenahall-Request-Id'
#: The time that the caller still waits, in milliseconds; not a timestamp.
DEADLINE_MS: Final = 'X-Verbenahall-Deadline-Ms'
#: The prefix parts of a prompt, ``identity:tokens``, comma-separated.
PROMPT_PREFIX: Final = 'X-Verbenahall-Prompt-Prefix'
#: Prompt tokens and maximum output tokens, comma-separated.
TOKEN_COUNT: Final = 'X-Verbenahall-Token-Count'
LENGTH_HINT: Final = 'X-Verbenahall-Length-Hint'
LAST_EVENT_ID: Final = 'Last-Event-Id'
#: The request id of the attempt that brought the first event of a stream which
#: the caller takes up.
RESUMES: Final = 'Resumes'
#: The endpoint's signature of its answer.
STAMP: Final = 'X-Verbenahall-Server-Stamp'
#: The name of the intended endpoint; any other one answers 421.
EXPECT_ENDPOINT: Final = 'X-Verbenahall-Expect-Instance'
#: The requests per second that an overloaded endpoint accepts from all
#: instances together; both names are in use.
RATES: Final = ('Server-Limit', 'X-Verbenahall-Server-Limit')
NOT_RUN: Final = 'X-Verbenahall-Not-Run'
#: In every answer of an endpoint that leaves; both names are in use.
LEAVING: Final = ('Server-Leaving', 'X-Verbenahall-Server-Leaving')
LEAVING_YES: Final = '1'
#: In a refusal: how long the endpoint accepts nothing from this instance.
RETRY_AFTER: Final = 'Retry-After'
DATE: Final = 'Date'
PRIORITY: Final = 'X-Verbenahall-Request-Priority'
#: On a request: prefill the prompt only.
STAGE: Final = 'X-Verbenahall-Stage'
KV_FROM: Final = 'X-Verbenahall-Kv-From'
#: The caller's API key, which is not forwarded to endpoints.
KEY: Final = 'X-Verbenahall-Key'
#: The workspace of a request, for endpoints.
TENANT: Final = 'X-Verbenahall-Tenant'

#: Headers that only the system may set. A caller that could set them would
#: choose endpoints, read the KV cache of others or raise its priority.
SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECT_ENDPOINT,
        PRIORITY,
        STAGE,
        KV_FROM,
        KEY,
        TENANT,
        NOT_RUN,
        STAMP,
        'X-Verbenahall-Expect-Version',
        'X-Verbenahall-Pin-Ms',
        'X-Verbenahall-Kv-Hold',
        'X-Verbenahall-Kv-Backup',
        'X-Verbenahall-Kv-Fetch',
        'X-Verbenahall-Instance-Id',
        'X-Verbenahall-Weight-Versions',
        'Kv-Fetch',
        'Wait-Ms',
    )
)

#: Headers of answers that are meant for this system, not for callers.
ENDPOINT_HEADERS: Final = frozenset(name.lower() for name in (*LEAVING, *RATES))

# Calls to endpoints.
REPORT: Final = '/-/report'
ORDER: Final = '/-/order'
KV_HANDLE: Final = '/-/kv-handle/'
#: The readiness check of an instance, called by the platform.
READY: Final = '/-/ready'

# Duty calls to the platform.
USAGE: Final = '/usage'
SCALE: Final = '/scale'
DUTY_HOLDER: Final = 'X-Verbenahall-Duty-Holder'
DUTY_TOKEN: Final = 'X-Verbenahall-Fence-Token'
#: The names of these duties in the settings of a process.
USAGE_DUTY: Final = 'usage'
SCALE_DUTY: Final = 'scale'

# The store.
#: In all its answers: rises by one when the store returns from an older copy.
STORE_ERA: Final = 'Store-Era'
APPEND: Final = '/-/log-append'
READ: Final = '/-/log-read'
NEWEST: Final = '/-/log-newest'
#: Topic of the operator's records, and the key of the manifest in it.
OPERATOR_TOPIC: Final = 'keyed.op'
MANIFEST_KEY: Final = 'config'
#: Topic of the endpoints' entries, with one key per endpoint.
ENDPOINTS_TOPIC: Final = 'keyed.servers'
#: Topic of this system's instances, with one key per instance.
INSTANCES_TOPIC: Final = 'keyed.instances'
#: Topic of crashes, with one key per reporting instance.
CRASHES_TOPIC: Final = 'keyed.crashes'
#: Topic of the services with several software versions, with one key per
#: instance.
VERSIONS_TOPIC: Final = 'keyed.versions'
#: Topic of this system's leases.
LEASES_TOPIC: Final = 'keyed.leases'

#: Topic of usage counts that the reporting instance could not collect by
#: itself.
USAGE_TOPIC: Final = 'keyed.usage'
#: Topic of the final usage reports, which are written before they are sent.
REPORTS_TOPIC: Final = 'keyed.reports'
#: Topic of the last orders for engines, with one key per service.
SCALING_TOPIC: Final = 'keyed.scaling'

SETTINGS_VARIABLE: Final = 'VERBENAHALL_CONFIG'
