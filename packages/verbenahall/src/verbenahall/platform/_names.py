"""Names of the platform's wire: headers, calls, topics and words."""

from typing import Final

# Headers of requests and answers.
REQUEST_ID: Final = 'X-Verbenahall-Request-Id'
#: Not a moment but the milliseconds that the caller still waits.
DEADLINE_MS: Final = 'X-Verbenahall-Deadline-Ms'
#: The parts of a prompt, ``identity:tokens``, comma-separated.
PROMPT_PREFIX: Final = 'X-Verbenahall-Prompt-Prefix'
#: Prompt tokens and the most output tokens, comma-separated.
TOKEN_COUNT: Final = 'X-Verbenahall-Token-Count'
LENGTH_HINT: Final = 'X-Verbenahall-Length-Hint'
LAST_EVENT_ID: Final = 'Last-Event-Id'
#: The endpoint's signature under its answer.
STAMP: Final = 'X-Verbenahall-Server-Stamp'
#: The name of the endpoint that is meant; any other one answers 421.
EXPECT_ENDPOINT: Final = 'X-Verbenahall-Expect-Instance'
#: Requests a second that an endpoint in need takes from all instances
#: together, by either name.
RATES: Final = ('Server-Limit', 'X-Verbenahall-Server-Limit')
NOT_RUN: Final = 'X-Verbenahall-Not-Run'
PRIORITY: Final = 'X-Verbenahall-Request-Priority'
#: On a request: have the prompt read only.
STAGE: Final = 'X-Verbenahall-Stage'
KV_FROM: Final = 'X-Verbenahall-Kv-From'
#: The caller's API key, which no endpoint may see.
KEY: Final = 'X-Verbenahall-Key'
#: The workspace in whose name a request runs, for endpoints.
TENANT: Final = 'X-Verbenahall-Tenant'

#: Headers that only the system may set. A caller who could set them would
#: choose endpoints, read others' KV cache or jump the queue.
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

# Calls to endpoints.
REPORT: Final = '/-/report'
ORDER: Final = '/-/order'
KV_HANDLE: Final = '/-/kv-handle/'
#: Where the platform asks an instance whether it takes requests.
READY: Final = '/-/ready'

# Calls of duties to the platform.
USAGE: Final = '/usage'
SCALE: Final = '/scale'
DUTY_HOLDER: Final = 'X-Verbenahall-Duty-Holder'
DUTY_TOKEN: Final = 'X-Verbenahall-Fence-Token'
#: The names of these duties in a process's settings.
USAGE_DUTY: Final = 'usage'
SCALE_DUTY: Final = 'scale'

# The store.
APPEND: Final = '/-/log-append'
READ: Final = '/-/log-read'
NEWEST: Final = '/-/log-newest'
#: Topic of the operator's records; the key below holds the manifest.
OPERATOR_TOPIC: Final = 'keyed.op'
MANIFEST_KEY: Final = 'config'
#: Topic of what endpoints say of themselves, a key for each endpoint.
ENDPOINTS_TOPIC: Final = 'keyed.servers'
#: Topic of this system's instances, a key for each one's name.
INSTANCES_TOPIC: Final = 'keyed.instances'
#: Topic of crashes, a key for each instance that has reported some.
CRASHES_TOPIC: Final = 'keyed.crashes'
#: Topic of this system's leases.
LEASES_TOPIC: Final = 'keyed.leases'

#: Topic of usage counts that the reporting instance could not ask for.
USAGE_TOPIC: Final = 'keyed.usage'
#: Topic of the usage reports that were decided on.
REPORTS_TOPIC: Final = 'keyed.reports'
#: Topic of how many engines a service had before it was scaled.
SCALING_TOPIC: Final = 'keyed.scaling'

SETTINGS_VARIABLE: Final = 'VERBENAHALL_CONFIG'
