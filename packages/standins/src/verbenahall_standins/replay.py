"""Replays bursts against the decisions, without sockets and clocks.

Instances decide as they do in the product; engines are modelled: one that
reads gives each open prompt an equal share of its time, and what instances
know of each other is as old as their words.
"""

import dataclasses
import functools
import heapq
import itertools
import random

from verbenahall.catalog import EngineTraits
from verbenahall.fleet import Role
from verbenahall.placement import (
    Fleet,
    Part,
    PlacementRequest,
    PlacementState,
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
WORD_S = 0.1
LOOK_S = 0.02
TOKEN_S = 0.003 / 1000
READ_START_S = 0.004
HANDOVER_S = 0.008
#: What a request to a scheduler and its answer take together, in seconds.
MESSAGE_S = 0.002
#: Callers that are refused or late are followed for this long, in seconds.
_TAIL_S = 3
#: Prompts by which instances know the engines' speed, in tokens.
_TIMED = (1000, 4000, 9000)
_READS = 60
_KEPT = 6000
#: What is left of a read that has ended, by rounding, in seconds.
_ENDED = 1e-9


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests a second, and what each asks and bears."""

    rate: float
    seconds: float
    shared: int = 6300
    own: int = 2900
    things: int = 60
    objective_s: float = 0.15
    patience_s: float = 2
    priority: int = 0


class Engine:
    """A modelled engine; all open reads share its time evenly."""

    def __init__(self, entry, speed=1.0):
        self.entry = entry
        self.speed = speed
        self.open = {}
        self.kept = set()
        self.at: float = 0
        self.version = 0
        self.read = 0
        self.whole = 0

    def begin(self, number, work, now):
        """Admit a prompt; parts that are kept are not read again."""
        self.run(now)
        tokens = work.prompt_tokens
        tokens -= sum(
            part.tokens
            for part in work.shared_parts
            if part.identity in self.kept
        )
        self.whole += work.prompt_tokens
        self.kept.update(part.identity for part in work.shared_parts)
        self.read += tokens
        self.open[number] = READ_START_S + tokens * TOKEN_S / self.speed

    def run(self, now):
        """Let the time pass that has passed."""
        while self.open and self.at < now:
            shortest = min(self.open.values()) * len(self.open)
            passed = min(shortest, now - self.at)
            share = passed / len(self.open)
            self.open = {key: left - share for key, left in self.open.items()}
            self.at += passed
            if passed == shortest:
                return
        self.at = max(self.at, now)

    def next_end(self):
        """Return when the next read ends, and which."""
        if not self.open:
            return None
        number = min(self.open, key=self.open.get)
        return self.at + self.open[number] * len(self.open), number


class Outcome:
    """What became of the requests."""

    def __init__(self):
        self.waits = []
        self.refused = []
        self.held = []
        self.order = []

    def on_time(self, objective_s):
        """Return how many had their first event in time."""
        return sum(wait <= objective_s for wait in self.waits)


class Replay:
    """Some instances in front of some engines under a load."""

    def __init__(
        self,
        instances=6,
        readers=4,
        generators=2,
        seed=1,
        *,
        sample=1,
        word_s=WORD_S,
        scheduled=False,
    ):
        """Each instance hears one of ``sample`` others, every ``word_s``.

        ``scheduled`` requests all pass one queue, by messages that take
        ``MESSAGE_S``.
        """
        self.random = random.Random(seed)
        self.sample = sample
        self.word_s = word_s
        names = [f'e{number}' for number in range(readers + generators)]
        self.engines = {
            name: _make_engine(
                name,
                Role.PREFILL if number < readers else Role.DECODE,
            )
            for number, name in enumerate(names)
        }
        self.instances = [_Instance(self, one) for one in range(instances)]
        self.scheduler = _Instance(self, 'scheduler') if scheduled else None
        self.events = []
        self.numbers = itertools.count()
        self.outcome = Outcome()

    def play(self, loads, *, queued=True):
        """Play loads that begin together; return what became of them."""
        for load in loads:
            self._arrive(load, queued=queued)
        end = max(one.seconds for one in loads) + _TAIL_S
        for index in range(int(end / LOOK_S)):
            self.at(index * LOOK_S, self._look)
        for index in range(int(end / self.word_s)):
            self.at(index * self.word_s, self._tell)
        while self.events:
            now, _, act = heapq.heappop(self.events)
            act(now)
        return self.outcome

    def at(self, now, act):
        """Have something done at a time."""
        heapq.heappush(self.events, (now, next(self.numbers), act))

    def watch(self, engine):
        """Note the next end of a read at an engine."""
        ends = engine.next_end()
        engine.version += 1
        version = engine.version
        if ends is not None:
            self.at(ends[0], functools.partial(self._end, engine, version))

    def _arrive(self, load, *, queued):
        now: float = 0
        while now < load.seconds:
            now += self.random.expovariate(load.rate)
            instance = self._choose_instance()
            thing = self.random.randrange(load.things)
            number = next(self.numbers)
            parts = (
                Part(f't{load.priority}-{thing}', load.shared),
                Part(f'own-{number}', load.own),
            )
            work = Work(parts, load.shared + load.own, 2)
            arrives_at = now + MESSAGE_S if self.scheduler else now
            self.at(
                arrives_at,
                functools.partial(instance.take, work, load, queued),
            )

    def _choose_instance(self):
        """Return who decides on a request that arrives anywhere."""
        chosen = self.random.choice(self.instances)
        return self.scheduler or chosen

    def _look(self, now):
        for instance in self.instances:
            instance.look(now)
        if self.scheduler:
            self.scheduler.look(now)

    def _tell(self, now):
        for one in self.instances:
            word = dict(one.state.load_table.local_loads())
            for other in self.instances[
                one.number % self.sample :: self.sample
            ]:
                other.state.load_table.scale = self.sample
                if other is not one:
                    other.state.load_table.set_peer_loads(one.name, word, now)

    def _end(self, engine, version, now):
        if engine.version != version:
            return
        engine.run(now)
        done = [key for key, left in engine.open.items() if left <= _ENDED]
        for number in done:
            engine.open.pop(number)
            instance, admitted = number
            instance.finish(admitted, now)
        self.watch(engine)


class _Instance:
    """One instance: its state, its queue, and its requests."""

    def __init__(self, replay, number):
        self.name = f'i{number}'
        self.number = number
        self.replay = replay
        self.state = PlacementState()
        for tokens in itertools.islice(itertools.cycle(_TIMED), _READS):
            seconds = READ_START_S + tokens * TOKEN_S
            self.state.record_prefill_time(tokens, _KEPT, seconds)
        self.queue = PrefillQueue()
        self.arrived = {}

    def take(self, work, load, queued, now):
        """Take a caller's request, with or without waiting for a turn."""
        placement_request = PlacementRequest(work, 0.2)
        pending = QueuedRequest(
            request=f'r{next(self.replay.numbers)}',
            placement_request=placement_request,
            priority=load.priority,
            queued_at=now,
            due_at=now + load.objective_s,
            objective_s=load.objective_s,
            leaves_at=now + load.patience_s,
        )
        self.arrived[pending] = now
        if queued:
            fleet = self._fleet()
            source = self.replay.random
            self._apply(enqueue(self.queue, pending, fleet, now, source), now)
            self.look(now)
            return
        plan = self._fleet().place(pending, now).unwrap()
        prefill_engine = (plan.prefill_engine or plan.decode_engine).name
        totals = Totals(prefill_tokens=plan.missing)
        flight = self.state.load_table.open(prefill_engine, totals)
        self._send(pending, plan, flight, now)

    def look(self, now):
        """Give turns."""
        if self.queue.waiting:
            fleet = self._fleet()
            source = self.replay.random
            self._apply(dispatch(self.queue, fleet, now, source), now)

    def finish(self, admitted, now):
        """Note that a prompt was read."""
        pending, flight, sent_at = admitted
        took = now + HANDOVER_S - sent_at
        self.queue.record_first_event(pending, took, now)
        self.state.load_table.close(flight)
        outcome = self.replay.outcome
        waited = now + HANDOVER_S - self.arrived[pending]
        if now < pending.leaves_at:
            outcome.waits.append(waited)
            outcome.order.append((pending.priority, now))
        self.look(now)

    def _apply(self, effects, now):
        for admitted in effects.admitted:
            self._send(admitted.pending, admitted.plan, admitted.flight, now)
        for pending, problem in effects.refused:
            outcome = self.replay.outcome
            outcome.refused.append((problem, pending.leaves_at - now))
            outcome.held.append(now - self.arrived[pending])

    def _send(self, pending, plan, flight, now):
        prefill_engine = plan.prefill_engine or plan.decode_engine
        engine = self.replay.engines[prefill_engine.name]
        engine.begin(
            (self, (pending, flight, now)), pending.placement_request.work, now
        )
        self.state.find_cache(prefill_engine, TRAITS.kv_tokens).record(
            pending.placement_request.work.parts
        )
        self.replay.watch(engine)

    def _fleet(self):
        entries = [one.entry for one in self.replay.engines.values()]
        return Fleet(self.state, entries, TRAITS, len(self.queue.waiting))


def make_entry(name, role):
    """Return an engine's entry."""
    return Entry(
        name=name,
        service='reader',
        address='10.0.0.1:80',
        data_centre='a',
        leaving=False,
        slots=TRAITS.slots,
        role=role,
    )


def _make_engine(name, role):
    """Return an engine; those that generate read at half the speed."""
    speed = 1 if role is Role.PREFILL else 0.5
    return Engine(make_entry(name, role), speed)
