"""Chooses the engines of a model request.

Where a prompt is read decides most: requests that share a part gather on the
part's home among the engines that read, and spill over to its next homes
only when the wait at the first one costs more than reading the part again.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from returns.result import Failure, Result, Success

from verbenahall.catalog import EngineTraits
from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Role
from verbenahall.placement._ledger import Totals
from verbenahall.placement._messages import Plan, Work
from verbenahall.placement._state import PlacementState
from verbenahall.roster import Entry
from verbenahall.routing import rank_by_rendezvous

#: Homes of a part that are looked at.
_HOMES: Final = 3
#: An engine that generates reads at about half the speed of one that only
#: reads, by the platform's description.
_MIXED_SLOWNESS: Final = 2.0
#: Seconds of wait that a caller bears are worth this many engine-seconds.
_WAIT_WEIGHT: Final = 1.0
#: Seconds that a second look at the fleet's work is worth: reading a token
#: again takes an engine's time from everybody else.
_WORK_WEIGHT: Final = 1.0
#: A move between data centres takes twice as long as inside one.
_REMOTE_FACTOR: Final = 2.0


def place(
    state: PlacementState,
    work: Work,
    engines: Sequence[Entry],
    traits: EngineTraits,
    now: float,
) -> Result[Plan, Problem]:
    """Choose where the prompt is read and where the answer is generated."""
    generators = [one for one in engines if one.role is not Role.PREFILL]
    if not generators:
        return Failure(
            Problem(ErrorKind.NO_ENDPOINT, 'no engine generates now'),
        )
    readers = [one for one in engines if one.role is Role.PREFILL]
    if readers:
        return Success(
            _plan_split(state, work, readers, generators, traits, now),
        )
    return Success(_plan_mixed(state, work, generators, traits, now))


def _plan_split(
    state: PlacementState,
    work: Work,
    readers: Sequence[Entry],
    generators: Sequence[Entry],
    traits: EngineTraits,
    now: float,
) -> Plan:
    options = []
    for rank, reader in enumerate(_find_homes(work, readers)):
        missing = _count_missing(state, work, reader, traits, rank)
        totals = state.ledger.totals(reader.name, now)
        wait = totals.reading / state.read_rate
        read = missing / state.read_rate
        cost = _WAIT_WEIGHT * (wait + read) + _WORK_WEIGHT * read
        options.append((cost, rank, reader, missing, wait + read))
    _, rank, reader, missing, wait = min(options, key=lambda row: row[:2])
    generator = choose_generator(state, work, generators, reader, traits, now)
    return Plan(reader, generator, missing, wait, f'home {rank}')


def _plan_mixed(
    state: PlacementState,
    work: Work,
    generators: Sequence[Entry],
    traits: EngineTraits,
    now: float,
) -> Plan:
    rate = state.read_rate / _MIXED_SLOWNESS
    options = []
    for rank, engine in enumerate(_find_homes(work, generators)):
        missing = _count_missing(state, work, engine, traits, rank)
        totals = state.ledger.totals(engine.name, now)
        wait = totals.reading / rate
        read = missing / rate
        crowd = _fill(totals, work, traits)
        cost = wait + 2 * read + crowd
        options.append((cost, rank, engine, missing, wait + read))
    _, rank, engine, missing, wait = min(options, key=lambda row: row[:2])
    return Plan(None, engine, missing, wait, f'mixed home {rank}')


def choose_generator(
    state: PlacementState,
    work: Work,
    generators: Iterable[Entry],
    reader: Entry,
    traits: EngineTraits,
    now: float,
) -> Entry:
    """Choose the least filled engine, near the one that read."""
    moved = work.prompt_tokens * traits.kv_token_bytes / traits.link_bytes_s

    def weigh(engine: Entry) -> tuple[float, float]:
        totals = state.ledger.totals(engine.name, now)
        far = engine.data_centre != reader.data_centre
        move = moved * (_REMOTE_FACTOR if far else 1)
        return _fill(totals, work, traits) + move, state.random.random()

    return min(generators, key=weigh)


def _find_homes(work: Work, engines: Sequence[Entry]) -> list[Entry]:
    by_name = {engine.name: engine for engine in engines}
    ranked = rank_by_rendezvous(work.home_key, by_name)
    return [by_name[name] for name in ranked[:_HOMES]]


def _count_missing(
    state: PlacementState,
    work: Work,
    engine: Entry,
    traits: EngineTraits,
    rank: int,
) -> int:
    """Return the tokens that an engine would have to read.

    The first home is taken to keep what all instances send it.
    """
    if rank == 0:
        kept = sum(part.tokens for part in work.shared)
    else:
        cache = state.cache_of(engine, traits.kv_tokens)
        kept = cache.count_kept(work.shared)
    return max(1, work.prompt_tokens - kept)


def _fill(totals: Totals, work: Work, traits: EngineTraits) -> float:
    """Return how full an engine would be, by memory and by places."""
    memory = (totals.context + work.context_tokens) / traits.kv_tokens
    places = (totals.streams + 1) / traits.slots
    return max(memory, places)
