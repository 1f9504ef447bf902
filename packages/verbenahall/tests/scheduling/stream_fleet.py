"""A simulated fleet whose engines have few slots for streams.

Two data centres with a scheduler each. Callers leave after two seconds without
an event. An engine starts streams in the order of their priority, and one that
continues from a KV cache handle first; a more urgent one preempts the newest of
the least urgent ones.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from verbenahall import scheduling
from verbenahall.catalog import EngineTraits, Service
from verbenahall.fleet import Role
from verbenahall.placement import Fleet, Part, PlacementState, Work
from verbenahall.roster import Entry

SLOTS = 6
#: Time of one decode step, in seconds.
STEP_S = 0.00075
ABANDON_S = 2.0
#: Time from the start of a stream to its first event, in seconds.
FIRST_S = 0.01
PREFILL_S = 0.005
#: Interval at which schedulers process their queues, in seconds.
QUEUE_S = 0.02
TRAITS = EngineTraits(
    slots=SLOTS,
    kv_tokens=860_832,
    kv_token_bytes=18_432,
    link_bytes_s=275e9,
    event_tokens=75,
    role_change_s=3,
)


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of request: its priority, tokens and objective."""

    name: str
    priority: int
    shared: int
    own: int
    output: int
    objective_s: float

    @property
    def run_s(self):
        """How long its stream occupies a slot, in seconds."""
        return self.output * STEP_S


LONG = Kind('long', 1, 80, 140, 4000, 0.12)
SHORT = Kind('short', 0, 6300, 2900, 112, 0.2)


def make_work(subject, kind=LONG, number=0, output=0):
    """Return the tokens of a subject's request."""
    parts = (
        Part(subject, kind.shared),
        Part(f'{subject}-{number}', kind.own),
    )
    return Work(parts, kind.shared + kind.own, output or kind.output)


@dataclasses.dataclass(eq=False)
class Request:
    """A caller's request; ``outcome`` is served, left or refused.

    ``left_s`` is what remains of its stream when it gets a slot, and
    ``silent_since`` when it was preempted, 0 while it runs.
    """

    kind: Kind
    subject: str
    number: int
    at: float
    output: int
    groups: list = dataclasses.field(default_factory=list)
    outcome: str = ''
    ended_at: float = 0
    assignment: object = None
    state: object = None
    first_at: float = 0
    left_s: float = 0
    runs_until: float = 0
    silent_since: float = 0

    @property
    def work(self):
        return make_work(self.subject, self.kind, self.number, self.output)

    @property
    def key(self):
        return f'{self.kind.name}-{self.number}/{len(self.groups)}'


class Engine:
    """Slots, and the requests that wait for one by priority."""

    def __init__(self):
        self.running = []
        self.waiting = []
        self.number = itertools.count()

    def add(self, request, priority, now):
        """Queue a request; it may preempt a less urgent one."""
        heapq.heappush(self.waiting, (priority, next(self.number), request))
        victim = max(
            self.running, key=lambda one: one.kind.priority, default=request
        )
        full = len(self.running) >= SLOTS
        if full and victim.kind.priority > request.kind.priority:
            self.running.remove(victim)
            victim.left_s = victim.runs_until - now
            victim.silent_since = now
            priority = victim.kind.priority
            heapq.heappush(self.waiting, (priority, next(self.number), victim))
            return victim
        return None

    def start_next(self, now):
        """Return the requests that get a slot now."""
        started = []
        while self.waiting and len(self.running) < SLOTS:
            _, _, request = heapq.heappop(self.waiting)
            if not request.outcome:
                request.runs_until = now + request.left_s
                request.silent_since = 0
                self.running.insert(0, request)
                started.append(request)
        return started


def make_engines(prefill, decode):
    """Return entries; the arguments map data centres to numbers of engines."""
    return [
        *_make_role(Role.PREFILL, prefill),
        *_make_role(Role.DECODE, decode),
    ]


def _make_role(role, counts):
    return [
        Entry(
            name=f'{centre}-{role.value}-{number}',
            service='reader',
            address='',
            data_centre=centre,
            leaving=False,
            slots=SLOTS,
            role=role,
        )
        for centre, count in counts.items()
        for number in range(count)
    ]


class StreamFleet:
    """Runs requests through schedulers, engines and callers' patience."""

    def __init__(self, entries, seed=1):
        self.entries = entries
        self.random = random.Random(seed)
        self.engines = collections.defaultdict(Engine)
        self.states = {}
        self.service = Service('reader', TRAITS)
        self.requests = []
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()

    def add(self, kind, subject, at, output=0):
        """Add a request that arrives at a time."""
        request = Request(
            kind, subject, len(self.requests), at, output or kind.output
        )
        self.requests.append(request)
        self._at(at, self._arrive, request)

    def run(self, until):
        """Run all events up to a time."""
        self._at(0, self._process_queues)
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2](*event[3])

    def _at(self, at, action, *args):
        heapq.heappush(self._events, (at, next(self._numbers), action, args))

    def _arrive(self, request):
        self._at(self.now + ABANDON_S, self._leave, request)
        request.groups = list(
            scheduling.rank_groups(request.work, self.entries, 'a')
        )
        self._request_group(request)

    def _request_group(self, request):
        """Send to the next group; without one the caller is refused."""
        if not request.groups:
            self._end(request, 'refused')
            return
        group = request.groups[0]
        state = self._find_state(group)
        kind = request.kind
        message = scheduling.ScheduleRequest(
            key=request.key,
            service='reader',
            group=group,
            work=request.work,
            gap_s=0.15,
            priority=kind.priority,
            due_s=request.at + kind.objective_s - self.now,
            objective_s=kind.objective_s,
            leaves_s=request.at + ABANDON_S - self.now,
            deadline_s=15,
        )
        request.state = state
        replies = scheduling.receive_request(
            state,
            message,
            request,
            self._describe(group),
            self.now,
            self.random,
        )
        self._handle(replies)

    def _handle(self, replies):
        for reply in replies:
            request = reply.sender
            match reply.message:
                case scheduling.Assignment():
                    self._send(request, reply.message)
                case scheduling.Rejection():
                    request.groups.pop(0)
                    self._request_group(request)

    def _process_queues(self):
        for group, state in tuple(self.states.items()):
            replies = scheduling.assign_waiting(
                state, self._describe(group), self.now, self.random
            )
            self._handle(replies)
            scheduling.expire_assignments(state, self.now)
        self._at(self.now + QUEUE_S, self._process_queues)

    def _send(self, request, assignment):
        request.assignment = assignment
        if request.outcome:
            self._report(request, scheduling.Released(assignment.key))
        elif assignment.prefill:
            self._at(self.now + PREFILL_S, self._decode, request, -1)
        else:
            self._decode(request, request.kind.priority)

    def _decode(self, request, priority):
        if priority < 0:
            self._report(
                request, scheduling.Prefilled(request.assignment.key, PREFILL_S)
            )
        engine = self.engines[request.assignment.decode]
        request.left_s = request.output * STEP_S
        preempted = engine.add(request, priority, self.now)
        if preempted is not None:
            self._at(self.now + ABANDON_S, self._leave_silent, preempted)
        self._start_streams(engine)

    def _start_streams(self, engine):
        for request in engine.start_next(self.now):
            self._at(self.now + FIRST_S, self._first_event, request)
            self._at(request.runs_until, self._finish, request, engine)

    def _first_event(self, request):
        if not (request.outcome or request.first_at):
            request.first_at = self.now
            took_s = self.now - request.at
            self._report(
                request,
                scheduling.FirstEvent(request.assignment.key, took_s, 0),
            )

    def _finish(self, request, engine):
        if request in engine.running and request.runs_until <= self.now:
            engine.running.remove(request)
            self._end(request, 'served')
            self._report(
                request, scheduling.Released(request.assignment.key, STEP_S)
            )
            self._start_streams(engine)

    def _leave_silent(self, request):
        """The caller of a preempted stream has waited for the next event."""
        if (
            request.silent_since
            and self.now - request.silent_since >= ABANDON_S
        ):
            request.first_at = 0
            self._leave(request)

    def _leave(self, request):
        """The caller has waited long enough for an event."""
        if request.outcome or request.first_at:
            return
        self._end(request, 'left')
        if request.assignment is not None:
            self._report(request, scheduling.Released(request.assignment.key))
            engine = self.engines[request.assignment.decode]
            if request in engine.running:
                engine.running.remove(request)
            self._start_streams(engine)
        elif request.groups:
            scheduling.record_progress(
                request.state,
                scheduling.Released(request.key),
                self.service,
                self.now,
            )

    def _end(self, request, outcome):
        request.outcome = outcome
        request.ended_at = self.now

    def _report(self, request, progress):
        scheduling.record_progress(
            request.state, progress, self.service, self.now
        )

    def _find_state(self, group):
        if group not in self.states:
            self.states[group] = scheduling.SchedulerState(
                PlacementState(), self.now
            )
        return self.states[group]

    def _describe(self, group):
        state = self._find_state(group)
        engines = scheduling.list_group_engines(group, self.entries)
        return Fleet(state.placement, engines, TRAITS, len(state.queue.waiting))


def count_outcomes(requests):
    """Return how many requests had each outcome."""
    return collections.Counter(request.outcome for request in requests)


def list_unserved(requests):
    """Return the subjects of which no request was served."""
    served = {one.subject for one in requests if one.outcome == 'served'}
    return sorted({one.subject for one in requests} - served)
