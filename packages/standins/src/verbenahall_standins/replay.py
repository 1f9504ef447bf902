"""Simulates bursts of requests against the placement decisions.

Instances use the product's decision functions, without sockets and clocks.
Engines are modelled: an engine divides its time equally among its open
prefills. Instances know each other's load from their last heartbeats.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from verbenahall.catalog import EngineTraits
from verbenahall.fleet import Role
from verbenahall.placement import (
    Fleet,
    OpenPrefill,
    Part,
    PlacementRequest,
    PlacementState,
    Plan,
    PrefillQueue,
    QueuedRequest,
    Totals,
    Work,
    dispatch,
    enqueue,
)
from verbenahall.roster import Entry

TRAITS = EngineTraits(
    slots=48,
    kv_tokens=1_200_000,
    kv_token_bytes=18_432,
    link_bytes_s=275e9,
    event_tokens=50,
    role_change_s=3,
)
HEARTBEAT_INTERVAL_S = 0.1
#: Interval at which instances dispatch their queues, in seconds.
DISPATCH_INTERVAL_S = 0.02
#: Prefill time of a token on a prefill engine, in seconds.
S_PER_TOKEN = 0.003 / 1000
#: Constant part of the time of a prefill, in seconds.
PREFILL_START_S = 0.004
#: Time from the end of a prefill to the first event, in seconds.
HANDOVER_S = 0.008
#: Round trip of a request to the scheduler and its answer, in seconds.
MESSAGE_S = 0.002
#: The simulation continues for this long after the last arrival, in seconds,
#: so that late and rejected requests are included.
_DRAIN_S = 3
#: Prefills that are recorded before the simulation, from which instances
#: estimate the speed of engines: lengths of prompts in tokens, number of
#: prefills, and cached tokens of each.
_TIMED_PROMPTS = (1000, 4000, 9000)
_TIMED_PREFILLS = 60
_CACHED_TOKENS = 6000
#: Remaining time of a finished prefill, due to rounding, in seconds.
_ROUNDING_S = 1e-9


@dataclasses.dataclass(frozen=True)
class Load:
    """The rate of requests, their prompts and their time limits.

    A prompt starts with the ``shared`` tokens of one of ``prefix_count``
    prefixes and ends with ``own`` tokens that no other prompt has. ``shape`` is
    the share of the rate, at most 1, at each time.
    """

    rate: float
    seconds: float
    shared: int = 6300
    own: int = 2900
    prefix_count: int = 60
    objective_s: float = 0.15
    abandon_after_s: float = 2
    priority: int = 0
    shape: Callable[[float], float] | None = None


class Engine:
    """A modelled engine; all open prefills share its time equally.

    ``open_prefills`` holds the seconds that each still needs alone.
    ``requested_tokens`` counts the tokens of all prompts,
    ``prefilled_tokens`` those that were not cached.
    """

    def __init__(self, entry, speed=1.0, token_s=S_PER_TOKEN):
        self.entry = entry
        self.speed = speed
        self.token_s = token_s
        self.rate = 1
        self.open_prefills = {}
        self.cached_parts = set()
        self.advanced_to: float = 0
        self.version = 0
        self.prefilled_tokens = 0
        self.requested_tokens = 0

    def start_prefill(self, number, work, now):
        """Start the prefill of a prompt, without the parts that are cached."""
        self.advance(now)
        tokens = work.prompt_tokens
        tokens -= sum(
            part.tokens
            for part in work.shared_parts
            if part.identity in self.cached_parts
        )
        self.requested_tokens += work.prompt_tokens
        self.cached_parts.update(part.identity for part in work.shared_parts)
        self.prefilled_tokens += tokens
        self.open_prefills[number] = (
            PREFILL_START_S + tokens * self.token_s / self.speed
        )

    def change_rate(self, rate, now):
        """Run at ``rate`` times the usual speed from ``now`` on."""
        self.advance(now)
        self.rate = rate

    def advance(self, now):
        """Advance the open prefills to the time ``now``."""
        while self.open_prefills and self.advanced_to < now:
            shortest = min(self.open_prefills.values()) * len(
                self.open_prefills
            )
            shortest /= self.rate
            passed = min(shortest, now - self.advanced_to)
            share = passed * self.rate / len(self.open_prefills)
            self.open_prefills = {
                key: left - share for key, left in self.open_prefills.items()
            }
            self.advanced_to += passed
            if passed == shortest:
                return
        self.advanced_to = max(self.advanced_to, now)

    def predict_next_end(self):
        """Return the time and number of the prefill that ends next, or None."""
        if not self.open_prefills:
            return None
        number = min(self.open_prefills, key=self.open_prefills.get)
        left_s = self.open_prefills[number] * len(self.open_prefills)
        return self.advanced_to + left_s / self.rate, number


class Outcome:
    """Outcomes of the requests; times are in seconds.

    ``waits`` holds the time to each first event, ``refused`` the problem and
    the remaining time of each refusal, ``rejected_after_s`` its time in the
    queue, ``served_order`` the priority and time of each end of a prefill,
    ``arrived`` and ``on_time`` the number of requests by priority.
    """

    def __init__(self):
        self.waits = []
        self.refused = []
        self.rejected_after_s = []
        self.served_order = []
        self.arrived = collections.Counter()
        self.on_time = collections.Counter()

    def count_on_time(self, objective_s):
        """Return the number of first events within the objective."""
        return sum(wait <= objective_s for wait in self.waits)


class Replay:
    """Instances in front of engines under a load."""

    def __init__(
        self,
        instances=6,
        prefill_count=4,
        decode_count=2,
        seed=1,
        *,
        sample=1,
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
        scheduled=False,
        speeds=(1.0,),
        token_s=S_PER_TOKEN,
        measure='never',
    ):
        """Create instances and engines.

        Each instance sends its load to one in ``sample`` of the others every
        ``heartbeat_interval_s`` seconds. If ``scheduled``, one scheduler
        places all requests, which takes ``MESSAGE_S`` more. ``speeds`` are
        those of the engines in turn, ``token_s`` the time of a token at speed
        1. ``measure`` is what instances measure of prefills: ``never``, the
        ``common`` speed, or that of ``each`` engine.
        """
        self.token_s = token_s
        self.measure = measure
        self.counted_from_s = 0
        self.rng = random.Random(seed)
        self.sample = sample
        self.heartbeat_interval_s = heartbeat_interval_s
        names = [f'e{number}' for number in range(prefill_count + decode_count)]
        self.engines = {
            name: _make_engine(
                name,
                Role.PREFILL if number < prefill_count else Role.DECODE,
                speeds[number % len(speeds)],
                token_s,
            )
            for number, name in enumerate(names)
        }
        self.instances = [_Instance(self, one) for one in range(instances)]
        self.scheduler = _Instance(self, 'scheduler') if scheduled else None
        self.events = []
        self.numbers = itertools.count()
        self.outcome = Outcome()

    def run(self, loads, *, queued=True):
        """Run loads that start together and return the outcomes."""
        for load in loads:
            self._schedule_arrivals(load, queued=queued)
        end = max(one.seconds for one in loads) + _DRAIN_S
        for index in range(int(end / DISPATCH_INTERVAL_S)):
            self.schedule(index * DISPATCH_INTERVAL_S, self._dispatch_waiting)
        for index in range(int(end / self.heartbeat_interval_s)):
            self.schedule(
                index * self.heartbeat_interval_s, self._send_heartbeats
            )
        while self.events:
            now, _, callback = heapq.heappop(self.events)
            callback(now)
        return self.outcome

    def schedule(self, now, callback):
        """Schedule a callback for the time ``now``."""
        heapq.heappush(self.events, (now, next(self.numbers), callback))

    def slow_down(self, name, slowdown, times):
        """Slow an engine down during periods; ``times`` are their bounds."""
        engine = self.engines[name]
        for begin, end in times:
            for now, rate in ((begin, 1 / slowdown), (end, 1)):
                self.schedule(
                    now, functools.partial(self._change_rate, engine, rate)
                )

    def schedule_next_end(self, engine):
        """Schedule the next end of a prefill at an engine."""
        ends = engine.predict_next_end()
        engine.version += 1
        version = engine.version
        if ends is not None:
            self.schedule(
                ends[0], functools.partial(self._end_prefills, engine, version)
            )

    def _schedule_arrivals(self, load, *, queued):
        now: float = 0
        while now < load.seconds:
            now += self.rng.expovariate(load.rate)
            if load.shape and self.rng.random() > load.shape(now):
                continue
            instance = self._choose_instance()
            prefix = self.rng.randrange(load.prefix_count)
            number = next(self.numbers)
            parts = (
                Part(f't{load.priority}-{prefix}', load.shared),
                Part(f'own-{number}', load.own),
            )
            work = Work(parts, load.shared + load.own, 2)
            arrives_at = now + MESSAGE_S if self.scheduler else now
            self.schedule(
                arrives_at,
                functools.partial(instance.handle_request, work, load, queued),
            )

    def _change_rate(self, engine, rate, now):
        engine.change_rate(rate, now)
        self.schedule_next_end(engine)

    def _choose_instance(self):
        """Return the scheduler, or else a random instance."""
        chosen = self.rng.choice(self.instances)
        return self.scheduler or chosen

    def _dispatch_waiting(self, now):
        for instance in self.instances:
            instance.dispatch_waiting(now)
        if self.scheduler:
            self.scheduler.dispatch_waiting(now)

    def _send_heartbeats(self, now):
        for one in self.instances:
            totals = dict(one.state.load_table.local_loads())
            factors = one.state.engine_speeds.export(now)
            for other in self.instances[
                one.number % self.sample :: self.sample
            ]:
                other.state.load_table.scale = self.sample
                if other is not one:
                    other.state.load_table.set_peer_loads(one.name, totals, now)
                    other.state.engine_speeds.adopt(factors)

    def _end_prefills(self, engine, version, now):
        if engine.version != version:
            return
        engine.advance(now)
        done = [
            key
            for key, left in engine.open_prefills.items()
            if left <= _ROUNDING_S
        ]
        for number in done:
            engine.open_prefills.pop(number)
            instance, admitted = number
            instance.handle_prefilled(admitted, now)
        self.schedule_next_end(engine)


@dataclasses.dataclass(frozen=True)
class _Sent:
    """A prefill that an instance has sent by a plan."""

    plan: Plan
    prefill: OpenPrefill
    at: float


class _Instance:
    """An instance with its placement state, queue and requests."""

    def __init__(self, replay, number):
        self.name = f'i{number}'
        self.number = number
        self.replay = replay
        self.state = PlacementState()
        for tokens in itertools.islice(
            itertools.cycle(_TIMED_PROMPTS), _TIMED_PREFILLS
        ):
            seconds = PREFILL_START_S + tokens * replay.token_s
            self.state.prefill_speed.update(tokens, _CACHED_TOKENS, seconds)
        self.queue = PrefillQueue()
        self.arrived = {}

    def handle_request(self, work, load, queued, now):
        """Queue a request, or send it at once if not ``queued``."""
        placement_request = PlacementRequest(work, 0.2)
        pending = QueuedRequest(
            request_id=f'r{next(self.replay.numbers)}',
            placement_request=placement_request,
            priority=load.priority,
            queued_at=now,
            due_at=now + load.objective_s,
            objective_s=load.objective_s,
            leaves_at=now + load.abandon_after_s,
        )
        self.arrived[pending] = now
        if now >= self.replay.counted_from_s:
            self.replay.outcome.arrived[load.priority] += 1
        if queued:
            fleet = self._fleet()
            rng = self.replay.rng
            self._apply(enqueue(self.queue, pending, fleet, now, rng), now)
            self.dispatch_waiting(now)
            return
        plan = self._fleet().place(pending, now).unwrap()
        prefill_engine = (plan.prefill_engine or plan.decode_engine).name
        totals = Totals(prefill_tokens=plan.missing)
        flight = self.state.load_table.open(prefill_engine, totals)
        self._send(pending, plan, flight, now)

    def dispatch_waiting(self, now):
        """Dispatch queued requests."""
        if self.queue.waiting:
            fleet = self._fleet()
            rng = self.replay.rng
            self._apply(dispatch(self.queue, fleet, now, rng), now)

    def handle_prefilled(self, admitted, now):
        """Record the end of a prefill."""
        pending, opened, sent_at = admitted
        took_s = now + HANDOVER_S - sent_at
        self.queue.record_first_event(pending, took_s, now)
        share = self.state.close_prefill(opened.prefill, now)
        self._record_prefill(pending, opened, share, now)
        outcome = self.replay.outcome
        wait_s = now + HANDOVER_S - self.arrived[pending]
        if now < pending.leaves_at:
            outcome.waits.append(wait_s)
            outcome.served_order.append((pending.priority, now))
            if self.arrived[pending] >= self.replay.counted_from_s:
                on_time = wait_s <= pending.objective_s
                outcome.on_time[pending.priority] += on_time
        self.dispatch_waiting(now)

    def _apply(self, effects, now):
        for admitted in effects.admitted:
            self._send(admitted.pending, admitted.plan, admitted.flight, now)
        for pending, problem in effects.refused:
            outcome = self.replay.outcome
            outcome.refused.append((problem, pending.leaves_at - now))
            outcome.rejected_after_s.append(now - self.arrived[pending])

    def _send(self, pending, plan, flight, now):
        prefill_engine = plan.prefill_engine or plan.decode_engine
        engine = self.replay.engines[prefill_engine.name]
        # Counted from here on as a prefill that was sent, as instances do.
        self.state.load_table.close(flight)
        prefill = self.state.open_prefill(prefill_engine, plan, now)
        engine.start_prefill(
            (self, (pending, _Sent(plan, prefill, now), now)),
            pending.placement_request.work,
            now,
        )
        self.state.find_cache(prefill_engine, TRAITS.kv_tokens).record(
            pending.placement_request.work.parts
        )
        self.replay.schedule_next_end(engine)

    def _record_prefill(self, pending, sent, share, now):
        """Measure a prefill, as far as the replay has instances do that."""
        plan = sent.plan
        engine = plan.prefill_engine
        measure = self.replay.measure
        if engine is None or measure == 'never':
            return
        sample = plan.make_sample(
            pending.placement_request.work,
            now - sent.at,
            share,
            alone=not sent.prefill.tokens_ahead,
        )
        if measure == 'each':
            self.state.record_prefill_time(engine, sample, TRAITS, now)
        elif sample.alone:
            self.state.prefill_speed.update(
                sample.missing, sample.cached, sample.seconds
            )

    def _fleet(self):
        entries = [one.entry for one in self.replay.engines.values()]
        return Fleet(self.state, entries, TRAITS, len(self.queue.waiting))


def make_entry(name, role, born=0):
    """Return the roster entry of an engine."""
    return Entry(
        name=name,
        service='reader',
        address='10.0.0.1:80',
        data_centre='a',
        leaving=False,
        slots=TRAITS.slots,
        role=role,
        born=born,
    )


def _make_engine(name, role, speed, token_s):
    """Return an engine; decode engines prefill at half the speed."""
    share = 1 if role is Role.PREFILL else 0.5
    return Engine(make_entry(name, role), share * speed, token_s)
