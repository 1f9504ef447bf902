"""State and processor time of the folds, at growing sizes."""

import functools
import gc
import itertools
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final

from verbenahall import wire
from verbenahall.authority import AuthorityState
from verbenahall.authority import apply_record as apply_authority
from verbenahall.claims import Claims
from verbenahall.fleet import (
    Endpoint,
    EndpointKind,
    Role,
    Standing,
    Target,
)
from verbenahall.load import LoadState, Report, observe_report
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    StandingChange,
    all_endpoints,
    apply_list,
    standing_of,
)
from verbenahall.records import (
    AUTHORITY_STREAM,
    CLAIMS_STREAM,
    SETTINGS_STREAM,
    Record,
)
from verbenahall.rollout import EngineView, plan
from verbenahall.routing import Candidate, Question, RoutingState, choose
from verbenahall.settings import (
    EffectiveSettings,
    ModelSettings,
    PoolSettings,
    SettingsFold,
    SettingsState,
)
from verbenahall_standins.capacity._report import Point, Series

_WORKSPACES: Final = (100, 1000, 4000, 16_000)
_ENDPOINTS: Final = (10, 100, 1000, 3000)
_KEY_LETTERS: Final = 32
_CLAIMS: Final = (100, 1000, 10_000)
_SCOPES: Final = (15, 150, 1500)
_REPEATS: Final = 200
_MICRO: Final = 1e6
_BATCH: Final = 50
_FIRST_PORT: Final = 8000
_PROMPT_TOKENS: Final = 900
_OUTPUT_TOKENS: Final = 100

_HELD: Final = Target(Role.MIXED, (('draft', '1'),))

#: A size and what was measured at it.
_Row = tuple[int, tuple[float, ...]]


def measure_folds() -> Iterator[Series]:
    """Yield every series of the folds."""
    yield from _measure_settings()
    yield from _measure_membership()
    yield from _measure_routing()
    yield _measure_authority()
    yield _measure_plan()
    yield _measure_claims()
    yield _measure_standings()


def _measure_settings() -> Iterator[Series]:
    rows = [_measure_tree(size) for size in _WORKSPACES]
    for name, column in (
        ('settings memory (B)', 0),
        ('settings apply (us)', 1),
        ('settings snapshot (B)', 2),
    ):
        yield _take_column(name, 'workspaces', rows, column)


def _measure_tree(size: int) -> _Row:
    """Publish workspaces one by one; time the last changes of the tree."""
    fold = SettingsFold(SettingsState())
    used = _trace(functools.partial(_publish, fold, size))
    offsets = itertools.count(size + 1)
    bases = itertools.chain((1,), itertools.count(size + 1))
    changes = (
        _publication(offset, [_workspace(0, base=base, share=2)])
        for offset, base in zip(offsets, bases, strict=False)
    )
    spent = _time_us(lambda: fold.apply_record(next(changes)))
    return size, (used, spent, len(wire.encode(fold.dump())))


def _take_column(
    name: str,
    per: str,
    rows: Sequence[_Row],
    column: int,
) -> Series:
    points = [Point(size, measured[column]) for size, measured in rows]
    return Series(name, per, points)


def _publish(fold: SettingsFold, size: int) -> None:
    for start in range(0, size, _BATCH):
        changes = [_workspace(start + step) for step in range(_BATCH)]
        fold.apply_record(_publication(start + 1, changes))


def _workspace(number: int, base: int = 0, share: int = 1) -> dict[str, Any]:
    return {
        'path': f'desk/workspaces/club-{number}',
        'base': base,
        'value': {'share': share, 'queue': 64},
    }


def _publication(offset: int, changes: list[dict[str, Any]]) -> Record:
    body = {'team': 'desk', 'author': 'meinir', 'changes': changes}
    return Record(offset, SETTINGS_STREAM, f'id-{offset}', body)


def _measure_membership() -> Iterator[Series]:
    rows = [_measure_list(size) for size in _ENDPOINTS]
    for name, column in (
        ('membership memory (B)', 0),
        ('membership list fold (us)', 1),
        ('membership list message (B)', 2),
    ):
        yield _take_column(name, 'endpoints', rows, column)


def _measure_list(size: int) -> _Row:
    state = MembershipState(notify=_ignore)
    entries = [ListEntry(_engine(number)) for number in range(size)]
    used = _trace(functools.partial(apply_list, state, entries, 0))
    spent = _time_us(functools.partial(apply_list, state, entries, 1))
    return size, (used, spent, len(wire.encode(entries)))


def _measure_routing() -> Iterator[Series]:
    rows = [_measure_choice(size) for size in _ENDPOINTS]
    yield _take_column('load memory (B)', 'endpoints', rows, 0)
    yield _take_column('routing choice (us)', 'endpoints', rows, 1)


def _measure_choice(size: int) -> _Row:
    load = LoadState()
    candidates = [
        Candidate(_engine(number), Role.MIXED) for number in range(size)
    ]
    used = _trace(functools.partial(_report, load, candidates))
    state = RoutingState('entry', 'aber', random.Random(1))
    question = Question('r', _PROMPT_TOKENS, _OUTPUT_TOKENS)
    spent = _time_us(
        functools.partial(choose, state, question, candidates, load, 1),
    )
    return size, (used, spent)


def _measure_authority() -> Series:
    points = []
    for size in _SCOPES:
        state = AuthorityState()
        for number in range(size):
            apply_authority(state, _claim(number + 1, f'dc-{number}', 0), 0)
        offsets = itertools.count(size + 1)
        spent = _time_us(
            functools.partial(_apply_next, state, offsets),
        )
        points.append(Point(size, spent))
    return Series('authority record (us)', 'scopes', points)


def _measure_plan() -> Series:
    points = []
    for size in _ENDPOINTS:
        settings = _publish_pool(size)
        views = [
            EngineView(f'engine-{number}', str(number), _HELD)
            for number in range(size)
        ]
        spent = _time_us(functools.partial(plan, settings, 'aber', views))
        points.append(Point(size, spent))
    return Series('rollout plan (us)', 'engines', points)


def _measure_standings() -> Series:
    points = []
    for size in _ENDPOINTS:
        state = MembershipState(notify=_ignore)
        entries = [ListEntry(_engine(number)) for number in range(size)]
        apply_list(state, entries, 0)
        spent = _time_us(functools.partial(_read_standings, state))
        points.append(Point(size, spent))
    return Series('standings of a step (us)', 'endpoints', points)


def _read_standings(state: MembershipState) -> list[Standing]:
    return [
        standing_of(state, endpoint.name, 1)
        for endpoint in all_endpoints(state)
    ]


def _publish_pool(size: int) -> EffectiveSettings:
    settings = EffectiveSettings()
    settings.models['draft'] = ModelSettings('draft', '1', 1, 1, 'desk')
    settings.pools['all'] = PoolSettings(
        name='all',
        data_centre='aber',
        engines=tuple(f'engine-{number}' for number in range(size)),
        models=('draft',),
        adapters=(),
        prefill=0,
        decode=0,
        automatic=False,
        team='desk',
    )
    return settings


def _measure_claims() -> Series:
    points = []
    for size in _CLAIMS:
        fold = Claims(None, 'entry')
        used = _trace(functools.partial(_apply_claims, fold, size))
        points.append(Point(size, used))
    return Series('claims memory (B)', 'claims', points)


def _apply_claims(fold: Claims, size: int) -> None:
    for number in range(1, size + 1):
        fold.apply_record(_claim_key(number))


def _claim_key(number: int) -> Record:
    body = {'holder': 'entry-2', 'keys': [str(number).zfill(_KEY_LETTERS)]}
    return Record(number, CLAIMS_STREAM, f'id-{number}', body)


def _apply_next(state: AuthorityState, offsets: Iterator[int]) -> None:
    offset = next(offsets)
    apply_authority(state, _claim(offset, f'new-{offset}', 0), 0)


def _claim(offset: int, scope: str, after: int) -> Record:
    body = {
        'kind': 'claim',
        'scope': scope,
        'holder': 'entry-1.a1b2',
        'after': after,
        'lease_s': 5,
    }
    return Record(offset, AUTHORITY_STREAM, f'id-{offset}', body)


def _engine(number: int) -> Endpoint:
    port = _FIRST_PORT + number
    return Endpoint(
        name=f'engine-{number}',
        kind=EndpointKind.ENGINE,
        address=f'127.0.0.1:{port}',
        data_centre='aber',
        incarnation=str(number),
    )


def _report(load: LoadState, candidates: list[Candidate]) -> None:
    for candidate in candidates:
        report = Report(running=3, queued=0, kv_free_share=1)
        observe_report(load, candidate.endpoint.name, report, 0)


def _ignore(change: StandingChange) -> None:
    """Write no decision line; the fold alone is measured."""


def _trace(work: Callable[[], None]) -> float:
    """Return the bytes that the work has left allocated."""
    gc.collect()
    tracemalloc.start()
    work()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def _time_us(work: Callable[[], object]) -> float:
    """Return the least of several timings, which noise can only raise."""
    return min(_time_once_us(work) for _ in range(_REPEATS))


def _time_once_us(work: Callable[[], object]) -> float:
    started = time.perf_counter()
    work()
    return (time.perf_counter() - started) * _MICRO
