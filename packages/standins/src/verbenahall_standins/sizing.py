"""Replays load patterns against policies that size a service.

``python -m verbenahall_standins.bench --only sizing`` prints the measures.

No process or network takes part: arrivals, boot times and reclaims are fixed
by the pattern and its seed. A policy is called every ``TICK_S`` with what the
holder of the duty would know. Costs are in seconds of an on-demand engine at
the price 1.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Final, Protocol, final

from verbenahall.capacity import (
    CapacityKind,
    CapacityPlanner,
    Demand,
    DemandMeter,
    Pool,
    ServiceTraits,
    Sizes,
    choose_mix,
    count_engines,
)
from verbenahall.catalog import ScalingRules
from verbenahall.placement import PlacementState
from verbenahall.scaling import PoolOrders
from verbenahall_standins.lines import Line

#: A prompt that waits for longer than this is late, or is not served at all, in
#: seconds: half of the objective, and when its caller leaves.
LATE_S: Final = 0.28
UNSERVED_S: Final = 2.0
#: Interval between two decisions, and step of the replay, in seconds.
TICK_S: Final = 0.4
STEP_S: Final = 0.05
#: When traffic begins, in seconds after the start.
TRAFFIC_FROM_S: Final = 16.0
#: Engine time of the three kinds of prompts in seconds, and their shares of
#: the arrivals.
_KINDS_S: Final = (0.06, 0.25, 0.6)
_KIND_WEIGHTS: Final = (0.6, 0.25, 0.15)
#: How long a stream is open after its prefill, in seconds.
_STREAM_S: Final = 0.8
#: Highest load of any pattern, in engine-seconds per second.
_MAX_LOAD: Final = 16.0
#: Time for which a smaller size must have been enough before the offline
#: policy gives engines back, in seconds, as the rules of the size demand.
HOLD_S: Final = 10.0
#: When the engines of the start have been given back, in seconds.
STEADY_S: Final = 46.0
#: Engines of each kind in each data centre by which the size of the start
#: remained after two reclaims before the size followed the load.
_FORMER_MIX: Final = (3, 36)
#: Engine time of a mean prompt, in seconds.
_MEAN_S: Final = sum(
    share * seconds
    for share, seconds in zip(_KIND_WEIGHTS, _KINDS_S, strict=True)
)
#: Time after a crash in which an engine is back, in seconds.
_RETURN_S: Final = 8.0
_SERVICE: Final = 'drafter'
RULES: Final = ScalingRules(
    1, 40, 4, 0.18, MappingProxyType({'a': 0.8, 'b': 1.0, 'c': 1.25})
)
TRAITS: Final = ServiceTraits(slots=8, objective_s=0.56)
#: Engines at the start, in each data centre, all on demand.
START: Final = MappingProxyType(
    {Pool(centre, CapacityKind.ON_DEMAND): 15 for centre in RULES.prices}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Engines that are lost in a data centre, at a time in seconds.

    A reclaim takes all spot engines, and none is available for ``closed_s``.
    Otherwise ``crashed`` is the share of all engines that crash and return.
    """

    at: float
    data_centre: str
    closed_s: float = 0
    crashed: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """Load in engine-seconds of prefill per second, by time, and losses."""

    name: str
    length_s: float
    find_load: Callable[[float], float]
    losses: Sequence[Loss] = ()


def _alternate(at: float) -> float:
    """Alternate every 2.8 s on top of a wave of 17 s."""
    phase = int(at / 2.8) % 2
    factor = (1.9, 0.4)[phase]
    swing = 0.55 * math.sin(math.tau * at / 17)
    return 3.5 * factor * (1 + swing)


def _fall_and_rise(at: float) -> float:
    """Fall to a third for 25 s, and rise threefold within 20 s."""
    cycle_s = at % 75
    if cycle_s < 30:
        return 9
    return 3 + 6 * max(0, cycle_s - 55) / 20


_LOSSES: Final = (
    Loss(50, 'a', crashed=0.25),
    Loss(60, 'a', closed_s=10),
    Loss(66, 'b', closed_s=9),
    Loss(110, 'c', closed_s=8),
    Loss(140, 'b', crashed=0.25),
)
#: Two data centres lose their spot engines while load rises threefold.
_LOSSES_IN_RISE: Final = (
    Loss(58, 'a', closed_s=10),
    Loss(64, 'b', closed_s=9),
    Loss(134, 'c', closed_s=10),
    Loss(135, 'a', closed_s=10),
)
#: The patterns of docs/design/hard-load.md to which the size must respond.
PATTERNS: Final = (
    Pattern('constant', 180, lambda at: 5),
    Pattern('alternating', 180, _alternate),
    Pattern('losses', 180, lambda at: 5, _LOSSES),
    Pattern('fall_and_rise', 240, _fall_and_rise),
    Pattern('losses_in_rise', 180, _fall_and_rise, _LOSSES_IN_RISE),
)


@final
class Fleet:
    """Engines by pool, those that boot, and what they cost.

    ``cost`` counts an engine from its order until it has left.
    """

    def __init__(self, start: Sizes) -> None:
        """Start with engines that serve."""
        self.cost: float = 0
        self.serving = collections.Counter(start)
        self.closed_until: dict[str, float] = {}
        self._booting: list[tuple[float, Pool]] = []
        self._returning: list[tuple[float, Pool]] = []

    def order(self, pool: Pool, desired: int, now: float) -> bool:
        """Resize a pool; False if no such engines are available."""
        booting = [one for one in self._booting if one[1] == pool]
        down = sum(one[1] == pool for one in self._returning)
        growth = desired - self.serving[pool] - len(booting) - down
        if growth > 0 and self._is_closed(pool, now):
            return False
        for _ in range(growth):
            self._booting.append((now + RULES.boot_s, pool))
        for _ in range(-growth):
            if booting:
                self._booting.remove(booting.pop())
            else:
                self.serving[pool] -= 1
        return True

    def lose(self, loss: Loss) -> None:
        """Apply a loss."""
        if loss.closed_s:
            pool = Pool(loss.data_centre, CapacityKind.SPOT)
            self.closed_until[loss.data_centre] = loss.at + loss.closed_s
            self.serving[pool] = 0
            self._booting = [one for one in self._booting if one[1] != pool]
        for kind in CapacityKind:
            pool = Pool(loss.data_centre, kind)
            count = math.ceil(self.serving[pool] * loss.crashed)
            self.serving[pool] -= count
            back_at = loss.at + _RETURN_S
            self._returning.extend((back_at, pool) for _ in range(count))

    def advance(self, now: float) -> None:
        """Let engines boot and return, and count the cost of a step."""
        for pending in (self._booting, self._returning):
            for due, pool in tuple(pending):
                if due <= now:
                    pending.remove((due, pool))
                    self.serving[pool] += 1
        paid = collections.Counter(self.serving)
        for _, pool in (*self._booting, *self._returning):
            paid[pool] += 1
        self.cost += STEP_S * find_price(paid)

    def count_prefill(self) -> int:
        """Return how many engines prefill; a third of all decodes."""
        engines = self.serving.total()
        return engines - math.ceil(engines / 3)

    def _is_closed(self, pool: Pool, now: float) -> bool:
        is_spot = pool.kind is CapacityKind.SPOT
        return is_spot and now < self.closed_until.get(pool.data_centre, 0)


def find_price(sizes: Sizes) -> float:
    """Return the price of engines per second."""
    shares = {
        CapacityKind.ON_DEMAND: 1,
        CapacityKind.SPOT: RULES.spot_share,
    }
    return sum(
        count * RULES.prices[pool.data_centre] * shares[pool.kind]
        for pool, count in sizes.items()
    )


class Policy(Protocol):
    """Decides the orders of one service."""

    def decide(self, fleet: Fleet, demand: Demand, now: float) -> None:
        """Order engines of the fleet."""


@final
class FixedSize:
    """Orders the same sizes once, none if there are none."""

    def __init__(self, sizes: Sizes) -> None:
        """Order these sizes."""
        self._sizes = dict(sizes)

    def decide(self, fleet: Fleet, demand: Demand, now: float) -> None:
        """Restore the sizes; on-demand engines leave once spot ones serve."""
        for pool, size in self._sizes.items():
            spot = Pool(pool.data_centre, CapacityKind.SPOT)
            grows = size > fleet.serving[pool]
            if grows or fleet.serving[spot] >= self._sizes.get(spot, 0):
                fleet.order(pool, size, now)


@final
class Reactive:
    """Naive baseline: on-demand engines for the present demand, no reserve."""

    def decide(self, fleet: Fleet, demand: Demand, now: float) -> None:
        """Order the size of this moment."""
        if demand.prefill_s:
            engines = count_engines(demand, TRAITS)
            share = math.ceil(engines / len(RULES.prices))
            for pool in START:
                fleet.order(pool, share, now)


@final
class Following:
    """The policy of the product, as its shell applies it."""

    def __init__(self) -> None:
        """Start as a holder without a record."""
        self.orders = PoolOrders()
        self.planner = CapacityPlanner()

    def decide(self, fleet: Fleet, demand: Demand, now: float) -> None:
        """Plan and order."""
        present = collections.Counter(fleet.serving)
        self.planner.record_demand(demand, TRAITS, RULES, present.total(), now)
        self.orders.record_present(present, now)
        available = self.orders.describe(RULES.prices, RULES, now)
        wanted = self.planner.plan(RULES, present, available, now)
        for pool, size in self.orders.choose(wanted, RULES, now).items():
            if fleet.order(pool, size, now):
                self.orders.record_ordered(pool, size, now)
            else:
                self.orders.closures.record_unavailable(pool, now)


@dataclasses.dataclass(slots=True)
class Prompt:
    """A prompt that waits for, or is in, its prefill; times in seconds."""

    at: float
    work_s: float
    left_s: float
    started_at: float | None = None


def list_arrivals(pattern: Pattern, seed: int) -> Iterator[Prompt]:
    """Yield Poisson arrivals, thinned from the highest rate."""
    rng = random.Random(seed)
    highest = _MAX_LOAD / _MEAN_S
    at = TRAFFIC_FROM_S
    while at < pattern.length_s:
        at += rng.expovariate(highest)
        if rng.random() < pattern.find_load(at) / _MAX_LOAD:
            work_s = rng.choices(_KINDS_S, _KIND_WEIGHTS)[0]
            yield Prompt(at, work_s, work_s)


@final
class Replay:
    """Serves the arrivals of a pattern with the engines of a policy.

    ``demands`` and ``costs`` hold the demand and the cost by time, ``waits``
    the time that each prompt waited for an engine.
    """

    def __init__(self, pattern: Pattern, policy: Policy, seed: int) -> None:
        """Prepare the arrivals; nothing runs before ``run``."""
        self.costs: dict[float, float] = {}
        self.demands: dict[float, Demand] = {}
        self.fleet = Fleet(START)
        self.waits: list[float] = []
        self._arrivals = collections.deque(list_arrivals(pattern, seed))
        self._losses = collections.deque(pattern.losses)
        self._meter = DemandMeter(PlacementState())
        self._pattern = pattern
        self._policy = policy
        self._queue: list[Prompt] = []
        self._stream_ends: collections.deque[float] = collections.deque()

    def run(self) -> 'Replay':
        """Run to the end of the pattern."""
        steps_per_tick = round(TICK_S / STEP_S)
        for step in range(int(self._pattern.length_s / STEP_S)):
            now = step * STEP_S
            self._advance(now)
            if step % steps_per_tick == 0:
                self._decide(now)
        length_s = self._pattern.length_s
        self.waits.extend(length_s - prompt.at for prompt in self._queue)
        return self

    def count_waits(self, over_s: float) -> int:
        """Return how many prompts waited for longer than ``over_s``."""
        return sum(wait > over_s for wait in self.waits)

    def find_share_in_time(self) -> float:
        """Return the share of prompts that were not late."""
        return 1 - self.count_waits(LATE_S) / len(self.waits)

    def find_cost(self, since: float) -> float:
        """Return the cost from a time on."""
        first = min(at for at in self.costs if at >= since)
        return self.fleet.cost - self.costs[first]

    def _advance(self, now: float) -> None:
        while self._losses and self._losses[0].at <= now:
            self.fleet.lose(self._losses.popleft())
        while self._arrivals and self._arrivals[0].at <= now:
            self._queue.append(self._arrivals.popleft())
        self.fleet.advance(now)
        for prompt in self._queue[: self.fleet.count_prefill()]:
            self._prefill(prompt, now)
        self._queue = [one for one in self._queue if one.left_s > 0]
        while self._stream_ends and self._stream_ends[0] <= now:
            self._stream_ends.popleft()

    def _prefill(self, prompt: Prompt, now: float) -> None:
        if prompt.started_at is None:
            prompt.started_at = now
            self.waits.append(now - prompt.at)
            self._meter.record_prefill(_SERVICE, prompt.work_s, now)
        prompt.left_s -= STEP_S
        if prompt.left_s <= 0:
            self._stream_ends.append(now + _STREAM_S)

    def _decide(self, now: float) -> None:
        streams = {_SERVICE: len(self._stream_ends)}
        demand = self._meter.read(streams, now).get(_SERVICE, Demand())
        self.demands[now] = demand
        self.costs[now] = self.fleet.cost
        self._policy.decide(self.fleet, demand, now)


def find_bound(demands: Mapping[float, Demand], since: float) -> float:
    """Return the cost of an offline policy that knows the demand.

    It orders exactly in time, and gives engines back at once when the smaller
    size has been enough for ``HOLD_S`` seconds. It keeps the same safety: the
    size that the demand needs remains without the spot engines of two data
    centres. It does not know that reclaimed engines cost nothing.
    """
    needs = {
        at: count_engines(demand, TRAITS) for at, demand in demands.items()
    }
    total: float = 0
    for at in needs:
        if at >= since:
            window = (
                count
                for other, count in needs.items()
                if at - HOLD_S <= other <= at + RULES.boot_s
            )
            total += TICK_S * find_price(choose_mix(RULES, max(window)))
    return total


def _make_former_policy() -> Policy:
    on_demand, spot = _FORMER_MIX
    return FixedSize(
        {
            **dict.fromkeys(START, on_demand),
            **{
                Pool(centre, CapacityKind.SPOT): spot for centre in RULES.prices
            },
        },
    )


def _compare(pattern: Pattern, seed: int) -> Iterator[Line]:
    """Yield the measures of the product, next to those of other policies."""
    product = Replay(pattern, Following(), seed).run()
    former = Replay(pattern, _make_former_policy(), seed).run()
    naive = Replay(pattern, Reactive(), seed).run()
    name = f'{pattern.name} seed {seed}'
    cost = product.find_cost(STEADY_S)
    bound = find_bound(product.demands, STEADY_S)
    yield Line(f'{name}: cost by offline bound', cost, 's', bound)
    yield Line(
        f'{name}: cost by fixed size', cost, 's', former.find_cost(STEADY_S)
    )
    yield Line(
        f'{name}: cost by naive policy', cost, 's', naive.find_cost(STEADY_S)
    )
    for label, other in (('fixed size', former), ('naive policy', naive)):
        yield Line(
            f'{name}: share in time by {label}',
            product.find_share_in_time(),
            '1',
            other.find_share_in_time(),
        )


def compare_sizes(seed: int) -> Iterator[Line]:
    """Yield the measures of all patterns."""
    for pattern in PATTERNS:
        yield from _compare(pattern, seed)
