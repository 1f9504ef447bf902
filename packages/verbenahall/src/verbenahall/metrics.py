"""Metrics of an instance, and the route that exports them.

Collectors of the metrics library look up a series by its encoded labels at
each call, which is too slow for each request. Frequent metrics use a
``BufferedCounter`` or a ``BufferedHistogram``, which the route copies into
the collectors when it is called::

    RETRIES.add('refused')
    QUEUE_SECONDS.observe(0.004)
"""

import collections
from typing import Final, final

from aiohttp import web
from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

REGISTRY: Final = Registry()

#: Number of buffered observations at which a histogram is flushed.
_MAX_PENDING: Final = 512
#: Upper bounds of the histograms' buckets, in seconds.
_SECONDS: Final = (0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60)


@final
class BufferedCounter:
    """A counter with a series for each combination of label values."""

    __slots__ = ('_counter', '_labels', '_totals')

    def __init__(self, name: str, doc: str, *labels: str) -> None:
        """Register the counter with its label names."""
        self._counter = Counter(name, doc, registry=REGISTRY)
        self._labels = labels
        self._totals: collections.Counter[tuple[str, ...]]
        self._totals = collections.Counter()
        _buffered.append(self)

    def add(self, *label_values: str, count: int = 1) -> None:
        """Add ``count`` to the series of these label values."""
        self._totals[label_values] += count

    def total(self, *label_values: str) -> int:
        """Return the total of the series of these label values."""
        return self._totals[label_values]

    def flush(self) -> None:
        """Copy the totals into the collector."""
        for label_values, total in self._totals.items():
            labels = dict(zip(self._labels, label_values, strict=True))
            self._counter.set(labels, total)


#: Seconds, and the values of the labels.
_Observed = tuple[float, tuple[str, ...]]


@final
class BufferedHistogram:
    """A histogram of seconds, by the values of its labels if it has any."""

    __slots__ = ('_histogram', '_labels', '_pending')

    def __init__(self, name: str, doc: str, *labels: str) -> None:
        """Register the histogram."""
        self._labels = labels
        self._histogram = Histogram(
            name,
            doc,
            registry=REGISTRY,
            buckets=(*_SECONDS, float('inf')),
        )
        self._pending: collections.deque[_Observed]
        self._pending = collections.deque(maxlen=_MAX_PENDING)
        _buffered.append(self)

    def observe(self, seconds: float, *label_values: str) -> None:
        """Buffer one duration; the buckets are filled by ``flush``."""
        self._pending.append((seconds, label_values))
        if len(self._pending) == _MAX_PENDING:
            self.flush()

    def flush(self) -> None:
        """Add the buffered durations to the buckets."""
        while self._pending:
            seconds, label_values = self._pending.popleft()
            labels = dict(zip(self._labels, label_values, strict=True))
            self._histogram.observe(labels, float(seconds))


_buffered: Final[list[BufferedCounter | BufferedHistogram]] = []

REQUESTS: Final = BufferedCounter(
    'verbenahall_requests_total',
    'Requests answered, by priority and outcome (ok, peer_failed or the error'
    ' kind).',
    'priority',
    'outcome',
)
RETRIES: Final = BufferedCounter(
    'verbenahall_retries_total',
    'Attempts after the first, by what ended the one before.',
    'reason',
)
SHED: Final = BufferedCounter(
    'verbenahall_shed_total',
    'Requests given up before they ran, by priority.',
    'priority',
)
OVERLOAD: Final = BufferedCounter(
    'verbenahall_overload_total',
    'Decisions of prefill queues: refused, left_out (served after others to'
    ' let them be on time), returned (came back as told) or early.',
    'outcome',
)
QUARANTINED: Final = BufferedCounter(
    'verbenahall_quarantined_total',
    'Crashes after which a request was sent no more.',
)
SHARED_ADMISSIONS: Final = BufferedCounter(
    'verbenahall_shared_admissions_total',
    'Requests admitted while API keys are in force, by whether they were'
    ' within or beyond the share of their workspace.',
    'share',
)
PERMITS: Final = BufferedCounter(
    'verbenahall_permits_total',
    'Sends to endpoints that name a rate: permitted or denied.',
    'verdict',
)
LEAVING_ANNOUNCED: Final = BufferedCounter(
    'verbenahall_leaving_announced_total',
    'Endpoints found to leave, by what told it: a kind of call, or a peer.',
    'source',
)
BACKOFFS_REQUESTED: Final = BufferedCounter(
    'verbenahall_backoffs_requested_total',
    'Refusals with Retry-After, by kind of call: valid or invalid.',
    'source',
    'header',
)
ENTRIES_SKIPPED: Final = BufferedCounter(
    'verbenahall_entries_skipped_total',
    'Entries of endpoints that were not applied: outdated or unreadable.',
    'reason',
)
ENDPOINT_ALERTS: Final = BufferedCounter(
    'verbenahall_endpoint_alerts_total',
    'Alerts about endpoints that are not reached, or are again: sent, or what'
    ' became of those received.',
    'why',
    'verdict',
)
OVERFLOWS: Final = BufferedCounter(
    'verbenahall_overflows_total',
    'Prompts sent past the group that has their prefix cached, by the group'
    ' that they are sent to.',
    'group',
)
NOT_SENT: Final = BufferedCounter(
    'verbenahall_not_sent_total',
    'Attempts that were not sent after an endpoint was chosen, by reason.',
    'reason',
)
DUTY_CALLS: Final = BufferedCounter(
    'verbenahall_duty_calls_total',
    "Calls to the platform that are one instance's duty, by outcome.",
    'call',
    'outcome',
)
USAGE_WINDOWS: Final = BufferedCounter(
    'verbenahall_usage_windows_total',
    'Usage windows that this instance reported, or gave up.',
    'outcome',
)
DROPPED_ANSWERS: Final = BufferedCounter(
    'verbenahall_dropped_answers_total',
    'Answers dropped since they belong to another request or to none, by'
    ' shape.',
    'shape',
)
REACH_CHECKS: Final = BufferedCounter(
    'verbenahall_reach_checks_total',
    'Checks whether any endpoint of a service is reached, by outcome.',
    'outcome',
)
FORWARDED: Final = BufferedCounter(
    'verbenahall_forwarded_total',
    'Requests sent to a peer as no endpoint was reached, by outcome.',
    'outcome',
)
CONNECTIONS_REFUSED: Final = BufferedCounter(
    'verbenahall_connections_refused_total',
    'New connections refused unread, as most of them came to this instance.',
)
MEMORY_YIELDED: Final = BufferedCounter(
    'verbenahall_memory_yielded_total',
    'Connections that had to release what they held, as the memory for all of'
    ' them ran short, by what they did: receiving, sent_ahead or unread.',
    'activity',
)
CLIENT_LIMITS: Final = BufferedCounter(
    'verbenahall_client_limits_total',
    'Connections of clients that exceeded a limit: head, trailer, malformed,'
    ' chunks, sent_ahead (reading stopped),'
    ' idle (closed for a new one in a full house), no_room (a large body);'
    ' small_buffers of connections, and of calls to endpoints, among many;'
    ' log_text (texts of a long line were cut).',
    'limit',
)
STREAMS_TAKEN_UP: Final = BufferedCounter(
    'verbenahall_streams_taken_up_total',
    'Streams that callers take up: whether their version is found or unknown,'
    ' and whether they have gone on or their version is gone.',
    'outcome',
)
HOPS_REFUSED: Final = BufferedCounter(
    'verbenahall_hops_refused_total',
    'Requests of peers that were refused before anything was done, by reason.',
    'reason',
)
HOP_SECONDS: Final = BufferedHistogram(
    'verbenahall_hop_seconds',
    'Time from the send of a request to a peer to the end of its answer.',
)
QUEUE_SECONDS: Final = BufferedHistogram(
    'verbenahall_queue_seconds',
    'Time from a request being read to its admission.',
)
FIRST_TOKEN_SECONDS: Final = BufferedHistogram(
    'verbenahall_first_token_seconds',
    'Time from a request being read to its first token or its answer.',
)
TOKEN_GAP_SECONDS: Final = BufferedHistogram(
    'verbenahall_token_gap_seconds',
    'Time between two reads of a stream that brought tokens.',
)
FAILED_REQUESTS: Final = BufferedCounter(
    'verbenahall_given_up_total',
    'Requests that got no answer of an endpoint, by kind and what ran.',
    'kind',
    'ran',
)
ANSWER_ENDS: Final = BufferedCounter(
    'verbenahall_answer_ends_total',
    'Accepted requests, by how their answer ended and whether part of it was'
    ' sent before.',
    'end',
    'answer',
)
HEDGES: Final = BufferedCounter(
    'verbenahall_hedges_total',
    'Attempts whose endpoint was silent, by whether another attempt has begun'
    ' beside it.',
    'outcome',
)
CALLERS_LEFT: Final = BufferedCounter(
    'verbenahall_callers_left_total',
    'Callers that disconnected while an engine had their request, by whether'
    ' the answer had begun.',
    'answer',
)
CALLERS_LEFT_EARLY: Final = BufferedCounter(
    'verbenahall_callers_left_before_total',
    'Requests whose callers had left before a step of theirs (send or hop),'
    ' so that it was not taken.',
    'step',
)
PREFILL_TOKENS: Final = BufferedCounter(
    'verbenahall_read_tokens_total',
    'Prompt tokens of reads, by what was expected: missing or kept.',
    'expected',
)
PREFILL_SECONDS: Final = BufferedHistogram(
    'verbenahall_read_seconds',
    'Time from the send of a read to its handle.',
)
ATTEMPTS: Final = BufferedCounter(
    'verbenahall_sends_total',
    'Sends of requests, by what the request had of them when it ended.',
    'sends',
)
REMAINING_SECONDS: Final = BufferedHistogram(
    'verbenahall_send_left_seconds',
    'Time that is left of a request at each send of it.',
)
LIST_AGE_SECONDS: Final = BufferedHistogram(
    'verbenahall_send_list_age_seconds',
    'Time at a send since the store held nothing newer of the endpoints.',
)
FLEET_STATE_AGE_SECONDS: Final = BufferedHistogram(
    'verbenahall_belief_age_seconds',
    'Time since the store confirmed what a request is routed by.',
)
MANIFEST_AGE_SECONDS: Final = BufferedHistogram(
    'verbenahall_manifest_age_seconds',
    'Longest time for which the store may have held a manifest before it was in'
    ' force here, by where it came from: store, peer or relay.',
    'source',
)
STORE_CALLS: Final = BufferedCounter(
    'verbenahall_store_calls_total',
    'Calls to the platform store, by call and status or no_answer.',
    'call',
    'outcome',
)
STORE_RETURNS: Final = BufferedCounter(
    'verbenahall_store_returns_total',
    'Returns of the platform store from an older copy that were seen.',
)
ODD_ERAS: Final = BufferedCounter(
    'verbenahall_store_odd_eras_total',
    'Answers of the store whose era is missing or unreadable, fell or jumped.',
    'reason',
)
FAILED_RECORDS: Final = BufferedCounter(
    'verbenahall_failed_records_total',
    'Records of the store that could not be applied, by topic.',
    'topic',
)
RESTORED_RECORDS: Final = BufferedCounter(
    'verbenahall_restored_records_total',
    'Records written again after the store has returned, by topic.',
    'topic',
)
LEARNT_CRASHES: Final = BufferedCounter(
    'verbenahall_learnt_crashes_total',
    'Starts at which what was known of crashes was learnt, by source: the'
    ' store or a peer.',
    'source',
)
RELAY_REQUESTS: Final = BufferedCounter(
    'verbenahall_relay_requests_total',
    'Requests for a topic to a peer while the store refuses this instance, by'
    ' topic and what the answer brought.',
    'topic',
    'outcome',
)
RELAY_ANSWERS: Final = BufferedCounter(
    'verbenahall_relay_answers_total',
    'Answers to peers that the store refuses, by status.',
    'status',
)
IN_FLIGHT: Final = Gauge(
    'verbenahall_in_flight',
    'Requests admitted and not yet answered.',
    registry=REGISTRY,
)
QUEUED: Final = Gauge(
    'verbenahall_queued',
    'Requests waiting for admission.',
    registry=REGISTRY,
)
ROLE_CHANGES: Final = Counter(
    'verbenahall_role_changes_total',
    'Orders sent that change the role of an engine.',
    registry=REGISTRY,
)
ENGINES_NEEDED: Final = Gauge(
    'verbenahall_engines_needed',
    'Engines of a service that must serve at any time, at the duty holder.',
    registry=REGISTRY,
)
ENGINES_PRESENT: Final = Gauge(
    'verbenahall_engines_present',
    'Engines of a service that serve, at the duty holder.',
    registry=REGISTRY,
)
MEASURED_ENGINES: Final = Gauge(
    'verbenahall_measured_engines',
    'Engines of a service of unequal engines whose speed is known.',
    registry=REGISTRY,
)
ENGINE_SPREAD: Final = Gauge(
    'verbenahall_engine_spread',
    'Time of the slowest engine of a service, relative to the fastest.',
    registry=REGISTRY,
)
SETTINGS_POSITION: Final = Gauge(
    'verbenahall_settings_position',
    'Offset of the last settings record applied.',
    registry=REGISTRY,
)
SETTINGS_LAG_SECONDS: Final = Gauge(
    'verbenahall_settings_lag_seconds',
    'Seconds since the log was last heard.',
    registry=REGISTRY,
)
LEASE_HELD: Final = Gauge(
    'verbenahall_lease_held',
    'Whether this instance holds the lease of a scope (1) or not (0).',
    registry=REGISTRY,
)


async def _handle_metrics(request: web.Request) -> web.Response:
    for series in _buffered:
        series.flush()
    accepted = request.headers.getall('Accept', [])
    body, headers = render(REGISTRY, accepted)
    return web.Response(body=body, headers=headers)


def add_routes(app: web.Application) -> None:
    """Add the route ``/metrics``, which exports the registry."""
    app.router.add_get('/metrics', _handle_metrics)
