"""Replays load of many workspaces against one queue, without sockets.

Requests wait in one queue for equal engines that serve one at a time. The
queue is ordered by the product's ``QueuedRequest.rank``, with the marks of
``fair_shares``, without them, or with a limit on the rate of each workspace as
the naive baseline. ``python -m verbenahall_standins.shared_queue`` prints the
measures of two load patterns, as the bench does.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import random
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import Final

from verbenahall.fair_shares import (
    ShareState,
    charge,
    correct,
    mark_beyond_share,
)
from verbenahall.overload import make_rank
from verbenahall.placement import (
    Part,
    PlacementRequest,
    QueuedRequest,
    RequestSource,
    Work,
)
from verbenahall_standins.lines import Line, print_line

#: Objective of a request, and when its caller leaves, in seconds.
_OBJECTIVE_S: Final = 0.5
_LEAVES_S: Final = 1.5
#: Engine time of a request, in seconds, and its tokens.
_ENGINE_S: Final = 0.08
_TOKENS: Final = 6000
#: Interval between two runs over the queue, in seconds.
_DISPATCH_S: Final = 0.005
_ENGINES: Final = 16
_MICROS: Final = 1_000_000
_QUANTILES: Final = (('median', 0.5), ('p99', 0.99))
#: Requests a second that the engines serve.
CAPACITY: Final = _ENGINES / _ENGINE_S
#: Longest pause between two events of a request, in seconds.
_GAP_S: Final = 0.2
#: Workspaces beside the large one, the factor of the large one, when its load
#: begins and ends, and the share of the whole load that the engines bear.
_OTHERS: Final = 83
_LARGE_FACTOR: Final = 10
_LARGE_FROM_S: Final = 2.0
_LARGE_UNTIL_S: Final = 12.0
_CAPACITY_SHARE: Final = 0.8
LARGE: Final = 'large'
#: Pattern of callers that retry: share of those that repeat at once, their
#: repeats for each attempt, share of answers lost, requests a second of each
#: caller, number of callers, and the wait that a refusal or a loss states.
_IMPATIENT_SHARE: Final = 0.3
_REPEATS: Final = 3
_LOST_SHARE: Final = 0.4
_CALLERS: Final = 100
_CALLER_RATE: Final = 1.8
_STATED_WAIT_S: Final = 0.3
_RETRY_SECONDS: Final = 10.0
_SHARED_WORKSPACE: Final = 'press'


class Policy(enum.Enum):
    """How the queue is shared."""

    FAIR = 'fair_shares'
    BEFORE = 'order by due time'
    LIMIT = 'rate limit'


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a caller; ``fingerprint`` is that of all its attempts."""

    at: float
    workspace: str
    caller: str
    fingerprint: str
    due_at: float


@dataclasses.dataclass(slots=True)
class Outcome:
    """Requests sent, served, and served in time, by workspace or caller.

    ``idle_s`` is engine time that was not used while requests waited,
    ``decision_s`` the processor time of each marking.
    """

    sent: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_time: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    idle_s: float = 0
    decision_s: list[float] = dataclasses.field(default_factory=list)


def compute_jain_index(shares: Sequence[float]) -> float:
    """Return Jain's fairness index: 1 if all are equal, 1 / n at worst."""
    squares = sum(one * one for one in shares)
    if not squares:
        return 1
    return sum(shares) ** 2 / len(shares) / squares


def compute_fair_shares(
    demands: Mapping[str, float], capacity: float
) -> Mapping[str, float]:
    """Return the max-min fair shares of a capacity, by name."""
    shares: dict[str, float] = {}
    left = capacity
    remaining = len(demands)
    for name in sorted(demands, key=demands.__getitem__):
        shares[name] = min(demands[name], left / remaining)
        left -= shares[name]
        remaining -= 1
    return shares


def make_uneven_load(
    rng: random.Random, capacity_share: float = _CAPACITY_SHARE
) -> list[Arrival]:
    """Return pattern 3: one workspace sends ten times its share for 10 s.

    The others send as before and after.
    """
    rate = CAPACITY / capacity_share / (_OTHERS + _LARGE_FACTOR)
    seconds = _LARGE_UNTIL_S
    arrivals = [
        one
        for number in range(_OTHERS)
        for one in _make_arrivals(rng, f'w{number}', rate, (0, seconds))
    ]
    arrivals.extend(
        _make_arrivals(
            rng, LARGE, rate * _LARGE_FACTOR, (_LARGE_FROM_S, seconds)
        )
    )
    return sorted(arrivals, key=lambda one: one.at)


def _make_arrivals(
    rng: random.Random, workspace: str, rate: float, span: tuple[float, float]
) -> Iterator[Arrival]:
    start, end = span
    at = start + rng.expovariate(rate)
    while at < end:
        yield Arrival(
            at,
            workspace,
            f'key-{workspace}',
            f'{workspace}-{at}',
            at + _OBJECTIVE_S,
        )
        at += rng.expovariate(rate)


class SharedQueue:
    """A queue in front of engines that serve one request at a time."""

    def __init__(
        self, policy: Policy, names: Sequence[str], engines: int = _ENGINES
    ) -> None:
        """Share the engines between the workspaces by a policy."""
        self.policy = policy
        self.shares = ShareState(names)
        self.engines = engines
        self.waiting: list[QueuedRequest] = []
        self.outcome = Outcome()
        self._ends: list[float] = []
        self._tokens: collections.Counter[str] = collections.Counter()
        self._rate = CAPACITY / max(1, len(names))

    def submit(self, arrival: Arrival) -> QueuedRequest | None:
        """Add a request; None if the rate limit refuses it."""
        self.outcome.sent[arrival.workspace] += 1
        if self.policy is Policy.LIMIT and not self._take_token(arrival):
            return None
        pending = make_pending(arrival)
        self.waiting.append(pending)
        return pending

    def dispatch(self, now: float) -> list[QueuedRequest]:
        """Serve requests while engines are idle; drop those that have left."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        self.waiting = [one for one in self.waiting if one.leaves_at > now]
        if self.policy is Policy.FAIR:
            started = time.thread_time()
            mark_beyond_share(self.shares, self.waiting, now)
            self.outcome.decision_s.append(time.thread_time() - started)
        idle = self.engines - len(self._ends)
        ranked = sorted(self.waiting, key=lambda one: make_rank(one, now))
        for pending in ranked[:idle]:
            self._serve(pending, now)
        self.waiting = ranked[idle:]
        if self.waiting:
            self.outcome.idle_s += _DISPATCH_S * (
                self.engines - len(self._ends)
            )
        return ranked[:idle]

    def _serve(self, pending: QueuedRequest, now: float) -> None:
        heapq.heappush(self._ends, now + _ENGINE_S)
        charge(self.shares, pending, _ENGINE_S, now)
        correct(self.shares, pending, _ENGINE_S)
        workspace = pending.source.workspace
        self.outcome.served[workspace] += 1
        if now + _ENGINE_S <= pending.due_at:
            self.outcome.in_time[workspace] += 1

    def _take_token(self, arrival: Arrival) -> bool:
        """Limit each workspace to its part of the capacity, per second."""
        window = f'{arrival.workspace}/{int(arrival.at)}'
        self._tokens[window] += 1
        return self._tokens[window] <= max(1, round(self._rate))


def make_pending(arrival: Arrival, priority: int = 0) -> QueuedRequest:
    """Return the queued request of an arrival."""
    work = Work((Part(arrival.fingerprint, _TOKENS),), _TOKENS, 2)
    return QueuedRequest(
        arrival.fingerprint,
        PlacementRequest(work, _GAP_S),
        priority,
        queued_at=arrival.at,
        due_at=arrival.due_at,
        objective_s=_OBJECTIVE_S,
        leaves_at=arrival.due_at - _OBJECTIVE_S + _LEAVES_S,
        expected_first_s=_ENGINE_S,
        source=RequestSource(
            arrival.fingerprint, arrival.caller, arrival.workspace
        ),
    )


def run_uneven_load(
    policy: Policy, arrivals: Sequence[Arrival], until: float = _LARGE_UNTIL_S
) -> Outcome:
    """Replay arrivals, and count from the start of the large load."""
    names = sorted({one.workspace for one in arrivals})
    queue = SharedQueue(policy, names)
    left = collections.deque(arrivals)
    counted = False
    for step in itertools.count():
        now = step * _DISPATCH_S
        if now >= until:
            return queue.outcome
        if now >= _LARGE_FROM_S and not counted:
            counted = True
            queue.outcome = Outcome()
        while left and left[0].at <= now:
            queue.submit(left.popleft())
        queue.dispatch(now)
    raise AssertionError('the count does not end')


class RetryingCallers:
    """Pattern 4: callers whose answers are lost, some of which repeat at once.

    A caller that waits as told repeats a lost request after the stated wait;
    another one sends three copies at once. ``answered`` and ``asked`` count
    requests by whether their caller repeats at once, ``engine_s`` their time.
    """

    def __init__(self, policy: Policy, seed: int = 1) -> None:
        """Start without requests."""
        self.answered: collections.Counter[bool] = collections.Counter()
        self.asked: collections.Counter[bool] = collections.Counter()
        self.engine_s: collections.Counter[bool] = collections.Counter()
        self._done: set[str] = set()
        self._events: list[tuple[float, int, Arrival, bool]] = []
        self._numbers = itertools.count()
        self._queue = SharedQueue(policy, [_SHARED_WORKSPACE])
        self._rng = random.Random(seed)

    def run(self) -> None:
        """Replay ten seconds of requests and their repeats."""
        for number in range(_CALLERS):
            requests = _make_arrivals(
                self._rng, f'c{number}', _CALLER_RATE, (0, _RETRY_SECONDS)
            )
            for one in requests:
                arrival = dataclasses.replace(one, workspace=_SHARED_WORKSPACE)
                self.asked[is_impatient(arrival)] += 1
                self._schedule(arrival.at, arrival, is_end=False)
        for step in range(int(_RETRY_SECONDS / _DISPATCH_S)):
            self._advance(step * _DISPATCH_S)

    def _advance(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            _, _, arrival, is_end = heapq.heappop(self._events)
            if is_end:
                self._end(arrival, now)
            else:
                self._queue.submit(arrival)
        for pending in self._queue.dispatch(now):
            arrival = Arrival(
                pending.queued_at,
                pending.source.workspace,
                pending.source.caller,
                pending.source.fingerprint,
                pending.due_at,
            )
            self.engine_s[is_impatient(arrival)] += _ENGINE_S
            self._schedule(now + _ENGINE_S, arrival, is_end=True)

    def _end(self, arrival: Arrival, now: float) -> None:
        """Deliver an answer, or lose it and let the caller repeat."""
        if arrival.fingerprint in self._done:
            return
        if self._rng.random() >= _LOST_SHARE:
            self._done.add(arrival.fingerprint)
            self.answered[is_impatient(arrival)] += 1
            return
        wait_s = 0 if is_impatient(arrival) else _STATED_WAIT_S
        copies = _REPEATS if is_impatient(arrival) else 1
        if now + wait_s < arrival.due_at - _OBJECTIVE_S + _LEAVES_S:
            for _ in range(copies):
                self._schedule(now + wait_s, arrival, is_end=False)

    def _schedule(self, at: float, arrival: Arrival, *, is_end: bool) -> None:
        event = (at, next(self._numbers), arrival, is_end)
        heapq.heappush(self._events, event)


def is_impatient(arrival: Arrival) -> bool:
    """Whether the caller of a request repeats it at once."""
    number = int(arrival.caller.removeprefix('key-c'))
    return number < _CALLERS * _IMPATIENT_SHARE


def build_lines(seed: int) -> Iterator[Line]:
    """Yield the measures of both patterns.

    The baselines are the order by due time, and for ``limited`` the naive rate
    limit. ``fair`` is the share of the max-min fair bound, which knows the
    whole load in advance.
    """
    arrivals = make_uneven_load(random.Random(seed))
    outcomes = {one: run_uneven_load(one, arrivals) for one in Policy}
    fair = outcomes[Policy.FAIR]
    before, limit = outcomes[Policy.BEFORE], outcomes[Policy.LIMIT]
    bound = CAPACITY * (_LARGE_UNTIL_S - _LARGE_FROM_S)
    in_time = fair.in_time.total()
    yield Line('shares jain', _rate(fair), 'index', _rate(before))
    yield Line('shares in time', in_time, 'requests', before.in_time.total())
    yield Line('shares limited', in_time, 'requests', limit.in_time.total())
    yield Line('shares fair', in_time, 'requests', bound)
    yield from _build_time_lines(sorted(fair.decision_s))
    yield from _build_retry_lines(seed)


def _build_time_lines(times: Sequence[float]) -> Iterator[Line]:
    for name, pick in _QUANTILES:
        micros = times[int(len(times) * pick)] * _MICROS
        yield Line(f'shares marking {name}', micros, 'us', 0)


def _build_retry_lines(seed: int) -> Iterator[Line]:
    """Compare callers that repeat at once with those that wait as told."""
    for policy in (Policy.FAIR, Policy.BEFORE):
        callers = RetryingCallers(policy, seed)
        callers.run()
        impatient, patient = (
            callers.answered[one] / callers.asked[one] for one in (True, False)
        )
        yield Line(f'repeats {policy.name}', impatient, 'answered', patient)


def _rate(outcome: Outcome) -> float:
    """Return the fairness of the requests served in time."""
    in_time = [outcome.in_time[name] for name in outcome.sent]
    return compute_jain_index(in_time)


def main() -> None:
    """Print the measures of one seed."""
    for line in build_lines(1):
        print_line(line)


if __name__ == '__main__':
    main()
