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
_HOMES: Final = 3
#: An engine that generates reads at half the speed of one that only reads,
#: and in pieces between the tokens of others.
_MIXED_SLOWNESS: Final = 2.0
#: Price of a second of an engine's time for reading, in seconds of wait, and
#: the most that it is: each request that waits is put off by that second, and
#: a hundred of them are not to send one across the fleet for a token.
_WORK_PRICE: Final = 1.0
_MOST_WORK_PRICE: Final = 8.0
#: Price of a second that a prompt read between their tokens holds up each
#: stream of an engine, in seconds of wait.
_STREAM_PRICE: Final = 1.0
#: A move between data centres takes twice as long as inside one.
_REMOTE_FACTOR: Final = 2.0
#: Price of an engine's memory being full, in seconds: a request that finds
#: no room waits for another one's end, or pushes it out to be read again.
_FULL_PRICE: Final = 2.0
#: Price of an engine's fill as such, in seconds: it spreads streams over
#: engines that are all far from full.
_FILL_PRICE: Final = 0.1
#: Share of memory or places from which crowding is priced.
_CROWDED: Final = 0.7
#: Share of the longest step that streams bear on time.
_STEP_SHARE: Final = 0.6
#: Price of a step time at the longest that streams bear, in seconds.
_STEP_PRICE: Final = 1.0


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
    price: float


def place(
    state: PlacementState,
    wanted: PlacementRequest,
    engines: Sequence[Entry],
    traits: EngineTraits,
    now: float,
    waiting: int = 0,
) -> Result[Plan, Problem]:
    """Choose where the prompt is read and where the answer is generated.

    ``waiting`` requests wait for engines that read; they pay for each second
    of an engine's time.
    """
    generators = [one for one in engines if one.role is not Role.PREFILL]
    if not generators:
        return Failure(
            Problem(ErrorKind.NO_ENDPOINT, 'no engine generates now'),
        )
    readers = [one for one in engines if one.role is Role.PREFILL]
    desk = _CostModel(state, wanted, traits, now, waiting)
    if wanted.read_by is not None:
        return Success(desk.plan_rest(wanted.read_by, generators))
    options = itertools.chain(
        desk.offer_split(readers, generators),
        desk.offer_mixed(generators),
    )
    best = min(options, key=lambda option: option.price)
    return Success(best.plan)


def find_preferred(work: Work, readers: Sequence[Entry]) -> str:
    """Return the engine that is thought to keep a prompt's shared parts."""
    return _find_homes(work, readers)[0].name


@dataclasses.dataclass(frozen=True, slots=True)
class _DecodeCandidate:
    """An engine that could go on with a prompt that was read elsewhere."""

    engine: Entry
    first_s: float
    crowding: float
    fill: float

    @property
    def price(self) -> float:
        """The price in seconds; evenly good engines are filled evenly."""
        return self.first_s + self.crowding + _FILL_PRICE * self.fill


class _CostModel:
    """Prices the ways to serve one request."""

    __slots__ = (
        '_state',
        '_wanted',
        '_work',
        '_traits',
        '_now',
        '_waiting',
        '_candidates',
    )

    def __init__(
        self,
        state: PlacementState,
        wanted: PlacementRequest,
        traits: EngineTraits,
        now: float,
        waiting: int,
    ) -> None:
        self._state = state
        self._wanted = wanted
        self._work = wanted.work
        self._traits = traits
        self._now = now
        self._waiting = waiting
        self._candidates: list[_DecodeCandidate] = []

    def offer_mixed(self, generators: Sequence[Entry]) -> Iterator[_Option]:
        """Price the engines that generate as readers of their own."""
        homes = _find_homes(self._work, generators)
        for rank, engine in enumerate(homes):
            missing = self._count_missing(engine, rank)
            wait_s = self._backlog_s(engine) * _MIXED_SLOWNESS
            read_s = self._read_s(missing) * _MIXED_SLOWNESS
            first_s = self._mixed_first_s(engine, wait_s + read_s)
            plan = Plan(
                None,
                engine,
                missing,
                first_s,
                f'mixed {rank}',
                wait_s,
            )
            held_up = self._hold_up(engine, read_s)
            yield _Option(plan, first_s + held_up + self._crowding(engine))

    def offer_split(
        self,
        readers: Sequence[Entry],
        generators: Sequence[Entry],
    ) -> Iterator[_Option]:
        """Price reading on one engine and generating on another."""
        for rank, reader in enumerate(_find_homes(self._work, readers)):
            missing = self._count_missing(reader, rank)
            read_s = self._read_s(missing)
            joined = self._choose_generator(reader, generators)
            wait_s = self._backlog_s(reader)
            first_s = self._start_s + wait_s + read_s + joined.first_s
            price = first_s + read_s * self._work_price + joined.crowding
            plan = Plan(
                reader,
                joined.engine,
                missing,
                first_s,
                f'home {rank}',
                wait_s,
            )
            yield _Option(plan, price)

    def plan_rest(self, reader: Entry, generators: Sequence[Entry]) -> Plan:
        """Choose who goes on with a prompt that ``reader`` has read."""
        joined = self._choose_generator(reader, generators)
        return Plan(reader, joined.engine, 0, joined.first_s, 'handle')

    def _mixed_first_s(self, engine: Entry, read_s: float) -> float:
        step_s = self._state.step_of(engine.name).read(self._now)
        return self._start_s + read_s + step_s

    def _hold_up(self, engine: Entry, read_s: float) -> float:
        """Return the price of a read between the tokens of streams.

        It holds up each of them for as long as it takes. Without this price
        generators took reads that looked cheap, and streams were late by the
        pauses in them.
        """
        streams = self._state.ledger.totals(engine.name).streams
        return read_s * (self._work_price + streams * _STREAM_PRICE)

    def _choose_generator(
        self,
        reader: Entry,
        generators: Sequence[Entry],
    ) -> _DecodeCandidate:
        """Return the engine that goes on at the lowest price."""
        if not self._candidates:
            self._candidates = [self._offer_decode(one) for one in generators]
        best = min(
            self._candidates,
            key=lambda offer: offer.price + self._move_s(reader, offer.engine),
        )
        move_s = self._move_s(reader, best.engine)
        return dataclasses.replace(best, first_s=best.first_s + move_s)

    def _offer_decode(self, engine: Entry) -> _DecodeCandidate:
        """Price an engine without the move, which depends on the reader."""
        return _DecodeCandidate(
            engine,
            first_s=self._join_s(engine),
            crowding=self._crowding(engine),
            fill=self._fill(engine),
        )

    def _count_missing(self, engine: Entry, rank: int) -> int:
        """Return the tokens that an engine would have to read.

        The first home is taken to keep what all instances send it, unless
        all that it was sent is known: taken for kept, a long prefix that is
        new looks like a short prompt, and others are sent behind it.
        """
        if rank == 0 and not self._state.knows_caches:
            kept = sum(part.tokens for part in self._work.shared)
        else:
            cache = self._state.cache_of(engine, self._traits.kv_tokens)
            kept = cache.count_kept(self._work.shared)
        return max(1, self._work.prompt_tokens - kept)

    @property
    def _work_price(self) -> float:
        """The price of engine time, which all who wait pay.

        With a fixed price, prompts are read again at engines without their
        shared parts just when there is least time for it.
        """
        return min(_WORK_PRICE + self._waiting, _MOST_WORK_PRICE)

    @property
    def _start_s(self) -> float:
        return self._state.read_speed.start_s

    def _read_s(self, missing: int) -> float:
        kept = self._work.prompt_tokens - missing
        return self._state.read_speed.expect(missing, kept)

    def _backlog_s(self, engine: Entry) -> float:
        totals = self._state.ledger.totals(engine.name)
        return totals.reading * self._state.read_speed.token_s

    def _move_s(self, source: Entry, target: Entry) -> float:
        moved = self._work.prompt_tokens * self._traits.kv_token_bytes
        far = source.data_centre != target.data_centre
        factor = _REMOTE_FACTOR if far else 1
        return factor * moved / self._traits.link_bytes_s

    def _join_s(self, engine: Entry) -> float:
        """Return how long a read prompt waits to join an engine's batch.

        Prompts that the engine reads itself go first, in pieces.
        """
        handover_s = self._state.handover.read(self._now)
        return handover_s + self._backlog_s(engine) * _MIXED_SLOWNESS

    def _fill(self, engine: Entry) -> float:
        """Return how full an engine would be, by memory and by places."""
        totals = self._state.ledger.totals(engine.name)
        memory = totals.context + self._work.context_tokens
        places = totals.streams + 1
        return max(
            memory / self._traits.kv_tokens,
            places / self._traits.slots,
        )

    def _crowding(self, engine: Entry) -> float:
        """Return the price of joining an engine's batch, in seconds."""
        fill = _exceed(self._fill(engine), _CROWDED)
        step = self._state.step_of(engine.name).read(self._now)
        longest = self._wanted.gap_s / self._traits.event_tokens
        strain = step / longest if longest else 0
        return _FULL_PRICE * fill * fill + _STEP_PRICE * _exceed(
            strain,
            _STEP_SHARE,
        )


def _exceed(share: float, bound: float) -> float:
    """Return by how much of the rest a share lies above its bound."""
    return max(0, share - bound) / (1 - bound)


def _find_homes(work: Work, engines: Sequence[Entry]) -> list[Entry]:
    by_name = {engine.name: engine for engine in engines}
    ranked = rank_by_rendezvous(work.home_key, by_name)
    return [by_name[name] for name in ranked[:_HOMES]]
