"""Chooses the engines of a model request by their cost.

Every way to serve a request has a cost in seconds: the time to the first
event, and the engine time that its prefill takes from other requests. Requests
with a common prefix go to the preferred engines of that prefix. They go to
another engine only if waiting for a preferred one costs more than prefilling
the prefix again. The decode engine is chosen by its load and by the transfer
time of the KV cache.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterator, Sequence
from typing import Final

from returns.result import Failure, Result, Success

from verbenahall.catalog import EngineTraits
from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Role
from verbenahall.placement._load_table import Totals
from verbenahall.placement._messages import Plan, Work
from verbenahall.placement._state import (
    CROWDED_SHARE,
    PlacementState,
    measure_fill,
)
from verbenahall.placement._streams import OpenStream
from verbenahall.roster import Entry, select_version
from verbenahall.routing import rank_by_rendezvous

#: Engines that are considered for a prefix, in order of preference.
_PREFERRED_ENGINES: Final = 3
#: A decode engine prefills at half the speed of a prefill engine, in chunks
#: between the decode steps of its streams.
_MIXED_SLOWDOWN: Final = 2.0
#: Cost of one second of prefill time, in seconds of wait, and its maximum.
#: Each queued request adds one second, as it is delayed by that time. The
#: maximum keeps a queue of a hundred requests from sending a prompt to a
#: distant engine to save a single token.
_ENGINE_TIME_COST: Final = 1.0
_MAX_ENGINE_TIME_COST: Final = 8.0
#: Cost for each stream of an engine and second for which a prefill stalls it,
#: in seconds of wait.
_STREAM_STALL_COST: Final = 1.0
#: Transfer time between data centres relative to that inside one.
_REMOTE_FACTOR: Final = 2.0
#: Cost of a full engine, in seconds: a request that finds no memory waits
#: until another one ends, or evicts one that has to be prefilled again.
_FULL_COST: Final = 2.0
#: Cost of the fill of an engine, in seconds. It spreads streams over engines
#: that are all far from full.
_FILL_COST: Final = 0.1
#: Share of memory or slots above which the fill of an engine has a cost.
_CONGESTION_THRESHOLD: Final = 0.7
#: Share of the longest acceptable step time above which a step has a cost.
_STEP_THRESHOLD: Final = 0.6
#: Cost of the longest acceptable step time, in seconds.
_STEP_COST: Final = 1.0
#: Cost of a first event past its due time, in seconds of wait, where engines
#: differ in speed: as much as streams that are too slow.
_LATE_COST: Final = 1.0
#: Faster engines that are considered if no preferred one would be in time.
_FASTER_ENGINES: Final = 2
#: Ratio of speeds from which an engine counts as faster than the preferred.
_FASTER_RATIO: Final = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to place, with its token counts and its limits.

    ``gap_s`` is the longest pause in seconds between two events that still
    counts as on time. ``prefilled_by`` is the engine that has prefilled the
    prompt already, if any. ``priority`` is that of the request, 0 the highest.
    ``version`` is the software version that has to write the events, None if
    any may. With ``must_split`` a prefill engine has to prefill the prompt, if
    there is one.
    """

    work: Work
    gap_s: float
    prefilled_by: Entry | None = None
    priority: int = 0
    version: str | None = None
    must_split: bool = False

    def make_stream(self, now: float, *, has_handle: bool) -> OpenStream:
        """Return the request's stream, as it is counted at its engine."""
        return OpenStream(
            self.priority,
            self.work.output_tokens,
            now,
            has_handle,
            gap_s=self.gap_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """A plan for a request and its cost in seconds.

    ``stream_cost`` is the part of the cost for streams that are stalled.
    """

    plan: Plan
    cost: float
    stream_cost: float = 0


def place(
    state: PlacementState,
    request: PlacementRequest,
    engines: Sequence[Entry],
    traits: EngineTraits,
    now: float,
    waiting_count: int = 0,
    due_s: float = math.inf,
) -> Result[Plan, Problem]:
    """Choose the engines that prefill and decode a request.

    ``waiting_count`` is the number of requests queued for prefill. Each second
    of engine time costs more the longer that queue is. ``due_s`` is the time
    in seconds until the first event is due. Fails with ``NO_ENDPOINT`` if no
    engine can decode.
    """
    decode_engines: Sequence[Entry] = [
        one
        for one in select_version(engines, request.version)
        if one.role is not Role.PREFILL
    ]
    if not decode_engines:
        return Failure(
            Problem(ErrorKind.NO_ENDPOINT, 'no decode engine is available'),
        )
    prefill_engines: Sequence[Entry] = [
        one for one in engines if one.role is Role.PREFILL
    ]
    decode_engines = state.failures.select_working(decode_engines, now)
    prefill_engines = state.failures.select_working(prefill_engines, now)
    cost_model = _CostModel(state, request, traits, now, waiting_count)
    if request.prefilled_by is not None:
        return Success(
            cost_model.plan_decode(request.prefilled_by, decode_engines)
        )
    service = decode_engines[0].service
    if state.engine_speeds.is_uneven(service):
        cost_model.use_level(state.engine_speeds.find_level(service))
        options = _evaluate_uneven(
            cost_model, prefill_engines, decode_engines, due_s
        )
    else:
        options = itertools.chain(
            cost_model.evaluate_split(prefill_engines, decode_engines),
            cost_model.evaluate_mixed(decode_engines),
        )
    if request.must_split and prefill_engines:
        options = (one for one in options if one.plan.prefill_engine)
    best = min(options, key=lambda option: option.cost)
    return Success(best.plan)


def _evaluate_uneven(
    cost_model: '_CostModel',
    prefill_engines: Sequence[Entry],
    decode_engines: Sequence[Entry],
    due_s: float,
) -> Iterator[_Option]:
    """Yield the plans for engines of unequal speed.

    If no preferred engine is in time, faster ones are considered, and decode
    engines that can prefill without a pause that any of their streams notices.
    """
    split = list(cost_model.evaluate_split(prefill_engines, decode_engines))
    in_time = any(one.plan.wait_s <= due_s for one in split)
    may_be_late = due_s > 0 and not in_time
    if may_be_late:
        split.extend(
            cost_model.evaluate_faster(prefill_engines, decode_engines)
        )
    mixed = [
        cost_model.weigh_pause(one, may_relieve=may_be_late)
        for one in cost_model.evaluate_mixed(decode_engines)
    ]
    for option in (*split, *mixed):
        late_cost = _LATE_COST if option.plan.wait_s > due_s else 0
        yield dataclasses.replace(option, cost=option.cost + late_cost)


def find_preferred_engine(work: Work, prefill_engines: Sequence[Entry]) -> str:
    """Return the engine most likely to have the shared parts cached."""
    return _rank_preferred(work, prefill_engines)[0].name


@dataclasses.dataclass(slots=True)
class _DecodeCandidate:
    """A decode engine for a prompt that another engine prefills.

    ``first_s`` is the time to the first event without the transfer,
    ``burden_cost`` what the load and the failures of the engine cost beyond it.
    ``cost`` is the sum, with a small cost of the fill, which spreads streams
    evenly over engines that are equal otherwise. All are in seconds.
    """

    engine: Entry
    first_s: float
    burden_cost: float
    cost: float
    slot_wait_s: float


class _CostModel:
    """Computes the cost of the ways to serve one request."""

    __slots__ = (
        '_state',
        '_request',
        '_work',
        '_traits',
        '_now',
        '_waiting_count',
        '_candidates',
        '_loads',
        '_factors',
        '_is_uneven',
        '_level',
    )

    def __init__(
        self,
        state: PlacementState,
        request: PlacementRequest,
        traits: EngineTraits,
        now: float,
        waiting_count: int,
    ) -> None:
        self._state = state
        self._request = request
        self._work = request.work
        self._traits = traits
        self._now = now
        self._waiting_count = waiting_count
        self._candidates: list[_DecodeCandidate] = []
        self._loads: dict[str, Totals] = {}
        self._factors: dict[str, tuple[float, float]] = {}
        # Both are in force only where engines differ in speed.
        self._is_uneven = False
        self._level: float = 1

    def use_level(self, level: float) -> None:
        """Multiply the common prefill estimate by ``level`` from now on."""
        self._is_uneven = True
        self._level = level

    def evaluate_mixed(
        self, decode_engines: Sequence[Entry]
    ) -> Iterator[_Option]:
        """Yield plans by which a decode engine also prefills the prompt."""
        preferred = _rank_preferred(self._work, decode_engines)
        for rank, engine in enumerate(preferred):
            missing = self._count_missing(engine, rank)
            plan = self._plan_mixed(engine, missing, f'mixed {rank}')
            work_s = self._prefill_s(missing) * _MIXED_SLOWDOWN
            stream_share = self._count_stalled(engine)
            yield _Option(
                plan,
                plan.wait_s
                + work_s * (self._engine_time_cost + stream_share)
                + self._congestion_cost(engine, self._fill(engine))
                + self._lost_s(engine),
                work_s * stream_share,
            )

    def evaluate_split(
        self,
        prefill_engines: Sequence[Entry],
        decode_engines: Sequence[Entry],
    ) -> Iterator[_Option]:
        """Yield plans with one engine for prefill and another for decode."""
        for rank, prefill_engine in enumerate(
            _rank_preferred(self._work, prefill_engines)
        ):
            yield self._evaluate_split_at(rank, prefill_engine, decode_engines)

    def evaluate_faster(
        self,
        prefill_engines: Sequence[Entry],
        decode_engines: Sequence[Entry],
    ) -> Iterator[_Option]:
        """Yield plans with prefill engines faster than the preferred ones.

        They are the first such engines by preference, so that prompts with a
        common prefix share them.
        """
        ranked = _rank_all(self._work, prefill_engines)
        preferred = ranked[:_PREFERRED_ENGINES]
        if not preferred:
            return
        bound = min(map(self._prefill_factor, preferred)) / _FASTER_RATIO
        count = 0
        for rank, engine in enumerate(ranked[_PREFERRED_ENGINES:]):
            if self._prefill_factor(engine) < bound:
                yield self._evaluate_split_at(
                    rank + _PREFERRED_ENGINES, engine, decode_engines
                )
                count += 1
            if count == _FASTER_ENGINES:
                return

    def weigh_pause(self, option: _Option, *, may_relieve: bool) -> _Option:
        """Return a prefill by a decode engine with the cost of its pause.

        Streams that pause beyond their limit are late. If none is, their pause
        costs nothing while prompts would be late at all prefill engines.
        """
        cost = option.cost
        if not self._is_pause_short(option.plan):
            cost += _LATE_COST
        elif may_relieve:
            cost -= option.stream_cost
        return dataclasses.replace(option, cost=cost)

    def plan_decode(
        self, prefill_engine: Entry, decode_engines: Sequence[Entry]
    ) -> Plan:
        """Choose the decode engine of a prompt that is already prefilled."""
        decode = self._choose_decode_engine(prefill_engine, decode_engines)
        return Plan(
            prefill_engine,
            decode.engine,
            0,
            decode.first_s + self._transfer_s(prefill_engine, decode.engine),
            'handle',
            slot_wait_s=decode.slot_wait_s,
        )

    def _plan_mixed(self, engine: Entry, missing: int, reason: str) -> Plan:
        """Return the plan by which a decode engine prefills a prompt."""
        wait_s = self._backlog_s(engine) * _MIXED_SLOWDOWN
        slot_wait_s = self._slot_wait_s(engine, has_handle=False)
        prefill_s = self._mixed_s(engine, missing)
        return Plan(
            None,
            engine,
            missing,
            self._mixed_first_s(engine, wait_s + prefill_s + slot_wait_s),
            reason,
            wait_s,
            slot_wait_s,
        )

    def _is_pause_short(self, plan: Plan) -> bool:
        """Whether a prefill by the decode engine stalls no stream too long.

        The limits of streams that other instances sent are not known; they are
        taken to be that of the request.
        """
        engine = plan.decode_engine
        if not self._find_load(engine).streams:
            return True
        limit_s = self._state.load_table.streams.find_shortest_gap(engine.name)
        if self._request.gap_s:
            limit_s = min(limit_s, self._request.gap_s)
        return plan.ahead_s + self._mixed_s(engine, plan.missing) < limit_s

    def _mixed_s(self, engine: Entry, missing: int) -> float:
        """Return the time that a decode engine takes for a prefill."""
        work_s = self._prefill_s(missing) * _MIXED_SLOWDOWN
        return work_s * self._prefill_factor(engine)

    def _evaluate_split_at(
        self,
        rank: int,
        prefill_engine: Entry,
        decode_engines: Sequence[Entry],
    ) -> _Option:
        missing = self._count_missing(prefill_engine, rank)
        work_s = self._prefill_s(missing)
        decode = self._choose_decode_engine(prefill_engine, decode_engines)
        wait_s = self._backlog_s(prefill_engine)
        factor = self._prefill_factor(prefill_engine)
        prefill_s = work_s * factor
        first_s = self._start_s * factor + wait_s + prefill_s + decode.first_s
        first_s += self._transfer_s(prefill_engine, decode.engine)
        plan = Plan(
            prefill_engine,
            decode.engine,
            missing,
            first_s,
            f'home {rank}',
            wait_s,
            decode.slot_wait_s,
        )
        return _Option(
            plan,
            first_s
            + work_s * self._engine_time_cost
            + decode.burden_cost
            + self._lost_s(prefill_engine),
        )

    def _mixed_first_s(self, engine: Entry, prefill_s: float) -> float:
        start_s = self._start_s * self._prefill_factor(engine)
        return start_s + prefill_s + self._step_s(engine)

    def _count_stalled(self, engine: Entry) -> float:
        """Return the cost of a prefill for the streams that an engine decodes.

        It is the cost of each second that the prefill takes at the typical
        engine. All of its streams pause for the length of the prefill. Without
        this cost, prefills that looked cheap were sent to decode engines, and
        streams there missed their objective because of the pauses.
        """
        streams = self._find_load(engine).streams
        return streams * _STREAM_STALL_COST * self._prefill_factor(engine)

    def _choose_decode_engine(
        self,
        prefill_engine: Entry,
        decode_engines: Sequence[Entry],
    ) -> _DecodeCandidate:
        """Return the decode engine with the lowest cost, transfer included."""
        if not self._candidates:
            self._candidates = [
                self._evaluate_decode(one) for one in decode_engines
            ]
        return min(
            self._candidates,
            key=lambda candidate: (
                candidate.cost
                + self._transfer_s(prefill_engine, candidate.engine)
            ),
        )

    def _evaluate_decode(self, engine: Entry) -> _DecodeCandidate:
        """Evaluate an engine without the transfer from the prefill engine."""
        slot_wait_s = self._slot_wait_s(engine, has_handle=True)
        first_s = self._decode_wait_s(engine) + slot_wait_s
        fill = self._fill(engine)
        burden_cost = self._congestion_cost(engine, fill)
        burden_cost += self._lost_s(engine)
        return _DecodeCandidate(
            engine,
            first_s=first_s,
            burden_cost=burden_cost,
            cost=first_s + burden_cost + _FILL_COST * fill,
            slot_wait_s=slot_wait_s,
        )

    def _lost_s(self, engine: Entry) -> float:
        """Return the cost in seconds of an engine that fails requests."""
        return self._state.failures.estimate_lost_s(engine.name, self._now)

    def _count_missing(self, engine: Entry, rank: int) -> int:
        """Return the tokens that an engine would have to prefill.

        The first preferred engine is assumed to have all shared parts cached,
        because all instances send it these parts. That doesn't hold for a
        scheduler that has seen everything the engines have prefilled: there a
        long prefix that is new would look like a short prompt, and other
        requests would be queued behind it.
        """
        if rank == 0 and not self._state.caches_complete:
            cached = sum(part.tokens for part in self._work.shared_parts)
        else:
            cache = self._state.find_cache(engine, self._traits.kv_tokens)
            cached = cache.count_cached_tokens(self._work.shared_parts)
        return max(1, self._work.prompt_tokens - cached)

    @property
    def _engine_time_cost(self) -> float:
        """The cost of one second of engine time, which rises with the queue.

        With a fixed cost, a busy queue moves prompts to engines that don't
        have their shared parts cached, which takes more engine time just when
        it is scarce.
        """
        return min(
            _ENGINE_TIME_COST + self._waiting_count, _MAX_ENGINE_TIME_COST
        )

    @property
    def _start_s(self) -> float:
        return self._state.prefill_speed.start_s * self._level

    def _prefill_s(self, missing: int) -> float:
        cached = self._work.prompt_tokens - missing
        predicted_s = self._state.prefill_speed.predict_s(missing, cached)
        return predicted_s * self._level

    def _find_load(self, engine: Entry) -> Totals:
        """Return the open work at an engine, which is summed up once."""
        load = self._loads.get(engine.name)
        if load is None:
            load = self._state.load_table.totals(engine.name)
            self._loads[engine.name] = load
        return load

    def _backlog_s(self, engine: Entry) -> float:
        totals = self._find_load(engine)
        backlog_s = totals.prefill_tokens * self._state.prefill_speed.token_s
        return backlog_s * self._level * self._prefill_factor(engine)

    def _prefill_factor(self, engine: Entry) -> float:
        return self._find_factors(engine)[0] if self._is_uneven else 1

    def _step_factor(self, engine: Entry) -> float:
        return self._find_factors(engine)[1] if self._is_uneven else 1

    def _find_factors(self, engine: Entry) -> tuple[float, float]:
        """Return the factors on prefills and steps, which are found once."""
        factors = self._factors.get(engine.name)
        if factors is None:
            totals = self._find_load(engine)
            fill = measure_fill(
                totals.held_tokens, totals.streams, self._traits
            )
            factors = self._state.engine_speeds.find_factors(
                engine, self._now, crowded=fill > CROWDED_SHARE
            )
            self._factors[engine.name] = factors
        return factors

    def _step_s(self, engine: Entry) -> float:
        return self._state.find_step_time(engine.name).estimate(
            self._now, self._step_factor(engine)
        )

    def _transfer_s(self, source: Entry, target: Entry) -> float:
        kv_bytes = self._work.prompt_tokens * self._traits.kv_token_bytes
        remote = source.data_centre != target.data_centre
        factor = _REMOTE_FACTOR if remote else 1
        return factor * kv_bytes / self._traits.link_bytes_s

    def _decode_wait_s(self, engine: Entry) -> float:
        """Return how long a prefilled prompt waits to join a decode batch.

        Prompts that the engine prefills itself go first, in chunks.
        """
        handover_s = self._state.handover.estimate(self._now)
        handover_s *= self._step_factor(engine)
        return handover_s + self._backlog_s(engine) * _MIXED_SLOWDOWN

    def _slot_wait_s(self, engine: Entry, *, has_handle: bool) -> float:
        """Return how long the stream waits for a slot of a decode engine."""
        streams = self._state.load_table.streams
        open_count = self._find_load(engine).streams
        slots = self._traits.slots
        if open_count < slots and not streams.has_more_urgent(
            engine.name, self._request.priority
        ):
            return 0
        return streams.find_slot_wait(
            engine.name,
            self._request.make_stream(self._now, has_handle=has_handle),
            slots,
            open_count,
            self._state.token_times.estimate(
                engine.name, self._step_factor(engine)
            ),
        )

    def _fill(self, engine: Entry) -> float:
        """Return the fill of an engine with the request, by memory or slots."""
        totals = self._find_load(engine)
        held_tokens = totals.held_tokens + self._work.context_tokens
        return measure_fill(held_tokens, totals.streams + 1, self._traits)

    def _congestion_cost(self, engine: Entry, fill: float) -> float:
        """Return the cost in seconds of joining the batch of a busy engine."""
        excess = _relative_excess(fill, _CONGESTION_THRESHOLD)
        step = self._step_s(engine)
        max_step_s = self._request.gap_s / self._traits.event_tokens
        step_share = step / max_step_s if max_step_s else 0
        return _FULL_COST * excess * excess + _STEP_COST * _relative_excess(
            step_share,
            _STEP_THRESHOLD,
        )


def _relative_excess(value: float, bound: float) -> float:
    """Return how far a value is above a bound, relative to 1 - bound."""
    return max(0, value - bound) / (1 - bound)


def _rank_preferred(work: Work, engines: Sequence[Entry]) -> list[Entry]:
    return _rank_all(work, engines)[:_PREFERRED_ENGINES]


def _rank_all(work: Work, engines: Sequence[Entry]) -> list[Entry]:
    by_name = {engine.name: engine for engine in engines}
    ranked = rank_by_rendezvous(work.affinity_key, by_name)
    return [by_name[name] for name in ranked]
