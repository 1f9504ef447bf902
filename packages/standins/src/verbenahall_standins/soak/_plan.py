"""The plan of a soak: random faults and their times, from a seed."""

import dataclasses
import enum
import itertools
import random
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, final

from verbenahall_standins.soak._manifests import list_changes

#: Time without faults at the start, for warming up, and at the end, to check
#: the recovery from the last fault; in seconds.
_QUIET_S: Final = 1.5
#: Bounds of a fault's length, in seconds.
_MIN_FAULT_S: Final = 0.4
_MAX_FAULT_S: Final = 3.0
#: Faults that start per second of the soak; they may overlap.
_FAULTS_PER_S: Final = 0.7


@final
class Scenario(enum.Enum):
    """What a soak brings about."""

    #: All kinds of faults, at random.
    ANY_FAULTS = 'any-faults'
    #: Sound engines that are silent for a second after each change of the
    #: manifest, beside restarts of instances.
    SILENT_ENGINES = 'silent-engines'
    #: A store that returns from older copies, beside all kinds of faults.
    STORE_RETURNS = 'store-returns'
    #: Endpoints that leave in all the ways that the platform has, beside
    #: restarts, changes and links to the store that fail for some instances.
    LEAVING_ENDPOINTS = 'leaving-endpoints'


#: Time between two events of a stream, in seconds, so that streams are open
#: while instances end or engines pause.
EVENT_PAUSES_S: Final[Mapping[Scenario, float]] = MappingProxyType(
    {
        Scenario.ANY_FAULTS: 0.04,
        Scenario.SILENT_ENGINES: 0.25,
        Scenario.STORE_RETURNS: 0.04,
        Scenario.LEAVING_ENDPOINTS: 0.04,
    },
)


@final
class Kind(enum.Enum):
    """Kinds of events; most last for the length of the event."""

    ENDPOINT_LINK = 'endpoint_link'
    STORE_LINK = 'store_link'
    STORE_DOWN = 'store_down'
    STORE_LOSES_ANSWERS = 'store_loses_answers'
    ENGINE_STALLS = 'engine_stalls'
    ENGINE_BREAKS = 'engine_breaks'
    ENDPOINT_REFUSES = 'endpoint_refuses'
    FREEZE = 'freeze'
    KILL = 'kill'
    TERMINATE = 'terminate'
    HANGUP = 'hangup'
    MANIFEST = 'manifest'
    KEYS = 'keys'
    DUTIES_LATE = 'duties_late'
    DUTIES_SILENT = 'duties_silent'
    #: Not drawn by weight; see ``_draw_silent_engines``.
    ENGINE_SILENT = 'engine_silent'
    #: Not drawn by weight; see ``_draw_notices``.
    ENDPOINT_LEAVES = 'endpoint_leaves'
    ENDPOINT_BACKS_OFF = 'endpoint_backs_off'
    #: Not drawn by weight; see ``_draw_cuts``.
    INSTANCES_CUT = 'instances_cut'
    #: Not drawn by weight; see ``_draw_rollouts``.
    ROLLOUT = 'rollout'
    #: Not drawn by weight; see ``_draw_crashing_parts``.
    CRASHING_PART = 'crashing_part'
    #: Not drawn by weight; see ``_draw_pauses``.
    ENDPOINTS_PAUSE = 'endpoints_pause'
    ENGINES_PAUSE = 'engines_pause'
    MANIFEST_CHANGES = 'manifest_changes'
    BUDGETS_SPENT = 'budgets_spent'
    ENGINES_FAIL = 'engines_fail'
    #: Not drawn by weight; see ``_draw_returns``.
    STORE_RETURNS = 'store_returns'
    #: Not drawn by weight; see ``_draw_departures``.
    ENDPOINT_DEPARTS = 'endpoint_departs'
    HISTORY_LOST = 'history_lost'
    WAKEUPS_MISSED = 'wakeups_missed'
    STORE_REFUSES_SOME = 'store_refuses_some'
    FREEZES_IN_SERIES = 'freezes_in_series'
    KILLS_IN_SERIES = 'kills_in_series'
    ALL_KILLED = 'all_killed'
    PEERS_LOST = 'peers_lost'


#: Relative frequency of each kind.
_WEIGHTS: Final[Mapping[Kind, int]] = MappingProxyType(
    {
        Kind.ENDPOINT_LINK: 4,
        Kind.STORE_LINK: 3,
        Kind.STORE_DOWN: 2,
        Kind.STORE_LOSES_ANSWERS: 1,
        Kind.ENGINE_STALLS: 2,
        Kind.ENGINE_BREAKS: 2,
        Kind.ENDPOINT_REFUSES: 1,
        Kind.FREEZE: 2,
        Kind.KILL: 2,
        Kind.TERMINATE: 1,
        Kind.HANGUP: 1,
        Kind.MANIFEST: 4,
        Kind.KEYS: 3,
        Kind.DUTIES_LATE: 1,
        Kind.DUTIES_SILENT: 1,
    },
)
#: Time between two engines that become silent, and how long each stays so at
#: most, in seconds: longer than other faults, so that requests meet a silent
#: engine again and again.
_SILENT_INTERVAL_S: Final = 10.0
_MAX_SILENT_S: Final = 9.0
#: Interval at which an endpoint begins to leave or to refuse with a backoff, in
#: seconds; several of them overlap.
_NOTICE_INTERVAL_S: Final = 2.0
#: Time in which an endpoint that leaves still serves, beyond the event, in
#: seconds: longer than requests may still arrive there.
LEAVING_S: Final = 2.5
#: Interval at which instances lose their links to all endpoints, and for how
#: long, in seconds: far longer than it may take to notice.
_CUT_INTERVAL_S: Final = 10.0
_MIN_CUT_S: Final = 4.5
_MAX_CUT_S: Final = 8.0
#: Interval at which an engine is replaced by one of another software version,
#: in seconds.
_ROLLOUT_INTERVAL_S: Final = 3.0
#: One in this many seeds has a part of prompts that crashes engines, for so
#: long in seconds: far longer than the crashes may take that are allowed.
_CRASHING_EVERY: Final = 2
_CRASHING_S: Final = 9.0
#: Time between two pauses of sound endpoints, and bounds of their length, in
#: seconds.
_PAUSE_INTERVAL_S: Final = 1.2
_MIN_PAUSE_S: Final = 0.5
_MAX_PAUSE_S: Final = 2.5
#: Bounds of the time between a pause, a change and the next change, in seconds,
#: and how many changes there are at most.
_MIN_CHANGE_S: Final = 0.1
_MAX_CHANGE_S: Final = 1.0
_MAX_CHANGES: Final = 4
#: Changes beside pauses: a restart is rarer, since it excuses requests.
_CHANGES: Final = (
    Kind.MANIFEST_CHANGES,
    Kind.MANIFEST_CHANGES,
    Kind.MANIFEST_CHANGES,
    Kind.MANIFEST,
    Kind.HANGUP,
    Kind.HANGUP,
    Kind.TERMINATE,
)
#: The first pause, and one in this many others, follows a time in which retry
#: budgets are spent, of so many seconds.
_SPENT_EVERY: Final = 3
_SPENDING_S: Final = 1.0
#: Time from a pause until engines fail that would go on in its place, in
#: seconds: requests that were sent before it have begun, or wait.
_SOON_S: Final = 0.5
#: Interval between two changes that engines are silent after, the time from a
#: change to the pause, and bounds of the pause's length, in seconds.
_SILENT_CHANGE_INTERVAL_S: Final = 4.0
_CHANGE_TO_PAUSE_S: Final = 0.6
_MIN_SILENT_PAUSE_S: Final = 1.0
_MAX_SILENT_PAUSE_S: Final = 1.3
#: Restarts beside these changes, None for no restart.
_RESTARTS: Final = (None, Kind.HANGUP, Kind.TERMINATE)
#: Mean time from a return of the store to the next copy, in seconds.
_RETURN_INTERVAL_S: Final = 2.0
#: Mean time between two endpoints that leave, and bounds of the time from the
#: event beside a leaving to the leaving, in seconds; it may come later, too.
_DEPARTURE_INTERVAL_S: Final = 1.5
_EARLIEST_BESIDE_S: Final = -1.0
_LATEST_BESIDE_S: Final = 1.5
#: What happens beside an endpoint that leaves; None for nothing.
_BESIDE: Final = (
    None,
    Kind.HISTORY_LOST,
    Kind.WAKEUPS_MISSED,
    Kind.STORE_REFUSES_SOME,
    Kind.STORE_REFUSES_SOME,
    Kind.STORE_LINK,
    Kind.FREEZE,
    Kind.FREEZES_IN_SERIES,
    Kind.KILL,
    Kind.KILLS_IN_SERIES,
    Kind.ALL_KILLED,
    Kind.PEERS_LOST,
    Kind.PEERS_LOST,
    Kind.TERMINATE,
    Kind.HANGUP,
    Kind.MANIFEST,
    Kind.MANIFEST_CHANGES,
)
#: Upper bound of drawn numbers; far above the number of targets.
_DRAW_LIMIT: Final = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One fault: its start and length in seconds.

    ``target_draw`` and ``shape`` are random numbers that select the target
    and the variant, modulo the number of targets and of variants.
    """

    at: float
    kind: Kind
    for_s: float
    target_draw: int
    shape: int


def draw_plan(
    seed: int, seconds: float, scenario: Scenario = Scenario.ANY_FAULTS
) -> list[Event]:
    """Draw the events of a soak; the same seed gives the same events.

    An example::

        draw_plan(seed=1, seconds=20)[0].kind
    """
    match scenario:
        case Scenario.ANY_FAULTS:
            events = _draw_any_faults(seed, seconds)
        case Scenario.SILENT_ENGINES:
            events = list(_draw_engine_pauses(seed, seconds))
        case Scenario.STORE_RETURNS:
            events = _draw_any_faults(seed, seconds)
            events.extend(_draw_returns(seed, seconds))
        case Scenario.LEAVING_ENDPOINTS:
            events = list(_draw_departures(seed, seconds))
    return sorted(events, key=lambda event: event.at)


def _draw_any_faults(seed: int, seconds: float) -> list[Event]:
    rng = random.Random(seed)
    latest_start = max(_QUIET_S, seconds - _QUIET_S - _MAX_FAULT_S)
    count = max(1, round((latest_start - _QUIET_S) * _FAULTS_PER_S))
    events = [_draw_event(rng, latest_start) for _ in range(count)]
    events.extend(_draw_silent_engines(seed, seconds))
    events.extend(_draw_notices(seed, latest_start))
    events.extend(_draw_cuts(seed, seconds))
    events.extend(_draw_rollouts(seed, latest_start))
    events.extend(_draw_crashing_parts(seed, seconds))
    events.extend(_draw_pauses(seed, latest_start))
    return events


def _draw_silent_engines(seed: int, seconds: float) -> Iterator[Event]:
    """Draw long faults of engines, without an effect on the other draws."""
    rng = random.Random(f'silent engines {seed}')
    for number in range(max(1, int(seconds / _SILENT_INTERVAL_S))):
        at = _QUIET_S + number * _SILENT_INTERVAL_S
        longest_s = min(_MAX_SILENT_S, seconds - _QUIET_S - at)
        yield Event(
            at=at,
            kind=Kind.ENGINE_SILENT,
            for_s=rng.uniform(_MIN_FAULT_S, max(_MIN_FAULT_S, longest_s)),
            target_draw=rng.randrange(_DRAW_LIMIT),
            shape=rng.randrange(_DRAW_LIMIT),
        )


def _draw_notices(seed: int, latest_start: float) -> Iterator[Event]:
    """Draw endpoints that leave or back off; the other draws don't change."""
    rng = random.Random(f'notices {seed}')
    at = _QUIET_S
    while at < latest_start:
        yield Event(
            at=at,
            kind=rng.choice((Kind.ENDPOINT_LEAVES, Kind.ENDPOINT_BACKS_OFF)),
            for_s=rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S),
            target_draw=rng.randrange(_DRAW_LIMIT),
            shape=rng.randrange(_DRAW_LIMIT),
        )
        at += rng.uniform(0, 2 * _NOTICE_INTERVAL_S)


def _draw_cuts(seed: int, seconds: float) -> Iterator[Event]:
    """Draw cuts of instances; the other draws don't change."""
    rng = random.Random(f'cuts {seed}')
    at = rng.uniform(_QUIET_S, 2 * _QUIET_S)
    while at + _MIN_CUT_S < seconds - _QUIET_S:
        longest_s = min(_MAX_CUT_S, seconds - _QUIET_S - at)
        yield Event(
            at=at,
            kind=Kind.INSTANCES_CUT,
            for_s=rng.uniform(_MIN_CUT_S, longest_s),
            target_draw=rng.randrange(_DRAW_LIMIT),
            shape=rng.randrange(_DRAW_LIMIT),
        )
        at += _CUT_INTERVAL_S


def _draw_rollouts(seed: int, latest_start: float) -> Iterator[Event]:
    """Draw replacements of engines; the other draws don't change."""
    rng = random.Random(f'rollouts {seed}')
    at = _QUIET_S
    while at < latest_start:
        for_s = rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
        yield _make_event(rng, Kind.ROLLOUT, at, for_s)
        at += rng.uniform(0, 2 * _ROLLOUT_INTERVAL_S)


def _draw_crashing_parts(seed: int, seconds: float) -> Iterator[Event]:
    """Draw a part that crashes engines; the other draws don't change."""
    rng = random.Random(f'crashing parts {seed}')
    latest_start = seconds - _CRASHING_S - _MAX_FAULT_S
    if latest_start < _QUIET_S or rng.randrange(_CRASHING_EVERY):
        return
    at = rng.uniform(_QUIET_S, latest_start)
    yield _make_event(rng, Kind.CRASHING_PART, at, _CRASHING_S)


def _draw_pauses(seed: int, latest_start: float) -> Iterator[Event]:
    """Draw pauses of sound endpoints, and changes just before and after them.

    The other draws don't change.
    """
    rng = random.Random(f'pauses {seed}')
    at = _QUIET_S
    number = 0
    while at < latest_start:
        if number % _SPENT_EVERY == 0:
            yield _make_event(rng, Kind.BUDGETS_SPENT, at, _SPENDING_S)
            at += _SPENDING_S
        yield from _draw_changes(rng, at)
        at += rng.uniform(_MIN_CHANGE_S, _MAX_CHANGE_S)
        for_s = rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S)
        yield _make_event(rng, Kind.ENDPOINTS_PAUSE, at, for_s)
        if number % _SPENT_EVERY == 1:
            yield _make_event(rng, Kind.ENGINES_FAIL, at + _SOON_S, for_s)
        number += 1
        at += rng.uniform(0, 2 * _PAUSE_INTERVAL_S)


def _draw_engine_pauses(seed: int, seconds: float) -> Iterator[Event]:
    """Draw changes, a pause of engines after each, and restarts beside them.

    The idle time, the timeout and the routes change in turn.
    """
    rng = random.Random(f'engine pauses {seed}')
    changes = itertools.cycle(list_changes())
    at = _QUIET_S
    while at < seconds - _QUIET_S - _MAX_FAULT_S:
        shape = rng.choice(next(changes))
        yield Event(at, Kind.MANIFEST_CHANGES, 0, 0, shape)
        for_s = rng.uniform(_MIN_SILENT_PAUSE_S, _MAX_SILENT_PAUSE_S)
        pause_at = at + _CHANGE_TO_PAUSE_S
        yield _make_event(rng, Kind.ENGINES_PAUSE, pause_at, for_s)
        restart = rng.choice(_RESTARTS)
        if restart is not None:
            restart_at = at + rng.uniform(0, _CHANGE_TO_PAUSE_S + for_s)
            yield _make_event(rng, restart, restart_at, 0)
        at += _SILENT_CHANGE_INTERVAL_S


def _draw_returns(seed: int, seconds: float) -> Iterator[Event]:
    """Draw returns of the store, and a change or a restart in each copy's time.

    An event lasts from the copy to the return, for all that is lost then.
    """
    rng = random.Random(f'store returns {seed}')
    at = _QUIET_S
    while at < seconds - _QUIET_S - _MAX_FAULT_S:
        for_s = rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
        yield _make_event(rng, Kind.STORE_RETURNS, at, for_s)
        change_at = at + rng.uniform(0, for_s)
        yield _make_event(rng, rng.choice(_CHANGES), change_at, 0)
        at += for_s + rng.uniform(0, 2 * _RETURN_INTERVAL_S)


def _draw_departures(seed: int, seconds: float) -> Iterator[Event]:
    """Draw endpoints that leave, with up to two events beside each."""
    rng = random.Random(f'departures {seed}')
    at = _QUIET_S
    while at < seconds - _QUIET_S - _MAX_FAULT_S:
        for_s = rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
        yield _make_event(rng, Kind.ENDPOINT_DEPARTS, at, for_s)
        for kind in rng.choices(_BESIDE, k=2):
            beside_s = rng.uniform(_EARLIEST_BESIDE_S, _LATEST_BESIDE_S)
            for_s = rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
            if kind is not None:
                yield _make_event(rng, kind, at + beside_s, for_s)
        at += rng.uniform(0, 2 * _DEPARTURE_INTERVAL_S)


def _draw_changes(rng: random.Random, at: float) -> Iterator[Event]:
    for _ in range(rng.randrange(_MAX_CHANGES + 1)):
        yield _make_event(rng, rng.choice(_CHANGES), at, _MIN_FAULT_S)
        at += rng.uniform(_MIN_CHANGE_S, _MAX_CHANGE_S)


def _make_event(
    rng: random.Random, kind: Kind, at: float, for_s: float
) -> Event:
    """Return an event whose target and variant are drawn."""
    target_draw = rng.randrange(_DRAW_LIMIT)
    return Event(at, kind, for_s, target_draw, rng.randrange(_DRAW_LIMIT))


def _draw_event(rng: random.Random, latest_start: float) -> Event:
    kinds = list(_WEIGHTS)
    weights = list(_WEIGHTS.values())
    return Event(
        at=rng.uniform(_QUIET_S, latest_start),
        kind=rng.choices(kinds, weights)[0],
        for_s=rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S),
        target_draw=rng.randrange(_DRAW_LIMIT),
        shape=rng.randrange(_DRAW_LIMIT),
    )
