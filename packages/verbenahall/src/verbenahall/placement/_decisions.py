"""Chooses the engines of a model request.

Each way to serve it has a price in seconds: the wait until the first event,
and the engine time that reading takes from everybody else. Requests that
share a part gather on the part's homes among the engines that read, and spill
over only when the wait at a home costs more than reading the part again
elsewhere; who generates is chosen by how full and how near the engine is.
"""

import dataclasses
import itertools
from collections.abc import Iterator, Sequence
from typing import Final

from returns.result import Failure, Result, Success

from verbenahall.catalog import EngineTraits
from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Role
from verbenahall.placement._messages import Plan, Work
from verbenahall.placement._state import PlacementState
from verbenahall.roster import Entry
from verbenahall.routing import rank_by_rendezvous

#: Homes of a part that are looked at.
_PREFERRED_ENGINES: Final = 3
#: An engine that generates reads at half the speed of one that only reads,
#: and in pieces between the tokens of others.
_MIXED_SLOWDOWN: Final = 2.0
#: Price of a second of an engine's time for reading, in seconds of wait, and
#: the most that it is: each request that waits is put off by that second, and
#: a hundred of them are not to send one across the fleet for a token.
_ENGINE_TIME_COST: Final = 1.0
_MAX_ENGINE_TIME_COST: Final = 8.0
#: Price of a second that a prompt read between their tokens holds up each
#: stream of an engine, in seconds of wait.
_STREAM_STALL_COST: Final = 1.0
#: A move between data centres takes twice as long as inside one.
_REMOTE_FACTOR: Final = 2.0
#: Price of an engine's memory being full, in seconds: a request that finds
#: no room waits for another one's end, or pushes it out to be read again.
_FULL_COST: Final = 2.0
#: Price of an engine's fill as such, in seconds: it spreads streams over
#: engines that are all far from full.
_FILL_COST: Final = 0.1
#: Share of memory or places from which crowding is priced.
_CONGESTION_THRESHOLD: Final = 0.7
#: Share of the longest step that streams bear on time.
_STEP_THRESHOLD: Final = 0.6
#: Price of a step time at the longest that streams bear, in seconds.
_STEP_COST: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to place: its work and what its caller bears.

    ``gap_s`` is the longest pause between two events that is on time.
    ``read_by`` is the engine that has read the prompt already, if there is.
    """

    work: Work
    gap_s: float
    read_by: Entry | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """One way to serve a request and its price."""

    plan: Plan
    cost: float


def place(
    state: PlacementState,
    request: PlacementRequest,
    engines: Sequence[Entry],
    traits: EngineTraits,
    now: float,
    waiting: int = 0,
) -> Result[Plan, Problem]:
    """Choose where the prompt is read and where the answer is generated.

    ``waiting`` requests wait for engines that read; they pay for each second
    of an engine's time.
    """
    decode_engines = [one for one in engines if one.role is not Role.PREFILL]
    if not decode_engines:
        return Failure(
            Problem(ErrorKind.NO_ENDPOINT, 'no engine generates now'),
        )
    prefill_engines = [one for one in engines if one.role is Role.PREFILL]
    cost_model = _CostModel(state, request, traits, now, waiting)
    if request.read_by is not None:
        return Success(cost_model.plan_decode(request.read_by, decode_engines))
    options = itertools.chain(
        cost_model.evaluate_split(prefill_engines, decode_engines),
        cost_model.evaluate_mixed(decode_engines),
    )
    best = min(options, key=lambda option: option.cost)
    return Success(best.plan)


def find_preferred_engine(work: Work, prefill_engines: Sequence[Entry]) -> str:
    """Return the engine that is thought to keep a prompt's shared parts."""
    return _rank_preferred(work, prefill_engines)[0].name


@dataclasses.dataclass(frozen=True, slots=True)
class _DecodeCandidate:
    """An engine that could go on with a prompt that was read elsewhere."""

    engine: Entry
    first_s: float
    congestion_cost: float
    fill: float

    @property
    def cost(self) -> float:
        """The price in seconds; evenly good engines are filled evenly."""
        return self.first_s + self.congestion_cost + _FILL_COST * self.fill


class _CostModel:
    """Prices the ways to serve one request."""

    __slots__ = (
        '_state',
        '_request',
        '_work',
        '_traits',
        '_now',
        '_waiting',
        '_candidates',
    )

    def __init__(
        self,
        state: PlacementState,
        request: PlacementRequest,
        traits: EngineTraits,
        now: float,
        waiting: int,
    ) -> None:
        self._state = state
        self._request = request
        self._work = request.work
        self._traits = traits
        self._now = now
        self._waiting = waiting
        self._candidates: list[_DecodeCandidate] = []

    def evaluate_mixed(
        self, decode_engines: Sequence[Entry]
    ) -> Iterator[_Option]:
        """Price the engines that generate as readers of their own."""
        preferred = _rank_preferred(self._work, decode_engines)
        for rank, engine in enumerate(preferred):
            missing = self._count_missing(engine, rank)
            wait_s = self._backlog_s(engine) * _MIXED_SLOWDOWN
            prefill_s = self._prefill_s(missing) * _MIXED_SLOWDOWN
            first_s = self._mixed_first_s(engine, wait_s + prefill_s)
            plan = Plan(
                None,
                engine,
                missing,
                first_s,
                f'mixed {rank}',
                wait_s,
            )
            stall_cost = self._stall_cost(engine, prefill_s)
            yield _Option(
                plan, first_s + stall_cost + self._congestion_cost(engine)
            )

    def evaluate_split(
        self,
        prefill_engines: Sequence[Entry],
        decode_engines: Sequence[Entry],
    ) -> Iterator[_Option]:
        """Price reading on one engine and generating on another."""
        for rank, prefill_engine in enumerate(
            _rank_preferred(self._work, prefill_engines)
        ):
            missing = self._count_missing(prefill_engine, rank)
            prefill_s = self._prefill_s(missing)
            decode = self._choose_decode_engine(prefill_engine, decode_engines)
            wait_s = self._backlog_s(prefill_engine)
            first_s = self._start_s + wait_s + prefill_s + decode.first_s
            cost = (
                first_s
                + prefill_s * self._engine_time_cost
                + decode.congestion_cost
            )
            plan = Plan(
                prefill_engine,
                decode.engine,
                missing,
                first_s,
                f'home {rank}',
                wait_s,
            )
            yield _Option(plan, cost)

    def plan_decode(
        self, prefill_engine: Entry, decode_engines: Sequence[Entry]
    ) -> Plan:
        """Choose who goes on with a prompt that ``prefill_engine`` has read."""
        decode = self._choose_decode_engine(prefill_engine, decode_engines)
        return Plan(prefill_engine, decode.engine, 0, decode.first_s, 'handle')

    def _mixed_first_s(self, engine: Entry, prefill_s: float) -> float:
        step_s = self._state.step_of(engine.name).read(self._now)
        return self._start_s + prefill_s + step_s

    def _stall_cost(self, engine: Entry, prefill_s: float) -> float:
        """Return the price of a read between the tokens of streams.

        It holds up each of them for as long as it takes. Without this price
        generators took reads that looked cheap, and streams were late by the
        pauses in them.
        """
        streams = self._state.ledger.totals(engine.name).streams
        return prefill_s * (
            self._engine_time_cost + streams * _STREAM_STALL_COST
        )

    def _choose_decode_engine(
        self,
        prefill_engine: Entry,
        decode_engines: Sequence[Entry],
    ) -> _DecodeCandidate:
        """Return the engine that goes on at the lowest price."""
        if not self._candidates:
            self._candidates = [
                self._evaluate_decode(one) for one in decode_engines
            ]
        best = min(
            self._candidates,
            key=lambda candidate: (
                candidate.cost
                + self._transfer_s(prefill_engine, candidate.engine)
            ),
        )
        transfer_s = self._transfer_s(prefill_engine, best.engine)
        return dataclasses.replace(best, first_s=best.first_s + transfer_s)

    def _evaluate_decode(self, engine: Entry) -> _DecodeCandidate:
        """Price an engine without the move, which depends on the reader."""
        return _DecodeCandidate(
            engine,
            first_s=self._decode_wait_s(engine),
            congestion_cost=self._congestion_cost(engine),
            fill=self._fill(engine),
        )

    def _count_missing(self, engine: Entry, rank: int) -> int:
        """Return the tokens that an engine would have to read.

        The first home is taken to keep what all instances send it, unless
        all that it was sent is known: taken for kept, a long prefix that is
        new looks like a short prompt, and others are sent behind it.
        """
        if rank == 0 and not self._state.caches_complete:
            cached = sum(part.tokens for part in self._work.shared)
        else:
            cache = self._state.cache_of(engine, self._traits.kv_tokens)
            cached = cache.count_cached_tokens(self._work.shared)
        return max(1, self._work.prompt_tokens - cached)

    @property
    def _engine_time_cost(self) -> float:
        """The price of engine time, which all who wait pay.

        With a fixed price, prompts are read again at engines without their
        shared parts just when there is least time for it.
        """
        return min(_ENGINE_TIME_COST + self._waiting, _MAX_ENGINE_TIME_COST)

    @property
    def _start_s(self) -> float:
        return self._state.read_speed.start_s

    def _prefill_s(self, missing: int) -> float:
        cached = self._work.prompt_tokens - missing
        return self._state.read_speed.predict_s(missing, cached)

    def _backlog_s(self, engine: Entry) -> float:
        totals = self._state.ledger.totals(engine.name)
        return totals.reading * self._state.read_speed.token_s

    def _transfer_s(self, source: Entry, target: Entry) -> float:
        kv_bytes = self._work.prompt_tokens * self._traits.kv_token_bytes
        remote = source.data_centre != target.data_centre
        factor = _REMOTE_FACTOR if remote else 1
        return factor * kv_bytes / self._traits.link_bytes_s

    def _decode_wait_s(self, engine: Entry) -> float:
        """Return how long a read prompt waits to join an engine's batch.

        Prompts that the engine reads itself go first, in pieces.
        """
        handover_s = self._state.handover.read(self._now)
        return handover_s + self._backlog_s(engine) * _MIXED_SLOWDOWN

    def _fill(self, engine: Entry) -> float:
        """Return how full an engine would be, by memory and by places."""
        totals = self._state.ledger.totals(engine.name)
        held_tokens = totals.context + self._work.context_tokens
        streams_after = totals.streams + 1
        return max(
            held_tokens / self._traits.kv_tokens,
            streams_after / self._traits.slots,
        )

    def _congestion_cost(self, engine: Entry) -> float:
        """Return the price of joining an engine's batch, in seconds."""
        fill = _relative_excess(self._fill(engine), _CONGESTION_THRESHOLD)
        step = self._state.step_of(engine.name).read(self._now)
        max_step_s = self._request.gap_s / self._traits.event_tokens
        step_share = step / max_step_s if max_step_s else 0
        return _FULL_COST * fill * fill + _STEP_COST * _relative_excess(
            step_share,
            _STEP_THRESHOLD,
        )


def _relative_excess(value: float, bound: float) -> float:
    """Return by how much of the rest a share lies above its bound."""
    return max(0, value - bound) / (1 - bound)


def _rank_preferred(work: Work, engines: Sequence[Entry]) -> list[Entry]:
    by_name = {engine.name: engine for engine in engines}
    ranked = rank_by_rendezvous(work.home_key, by_name)
    return [by_name[name] for name in ranked[:_PREFERRED_ENGINES]]
