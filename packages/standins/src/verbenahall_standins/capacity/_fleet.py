"""Memory and processor time of fleet state and decisions, by fleet size."""

import functools
import random
from collections.abc import Iterator
from typing import Final

from verbenahall import wire
from verbenahall.fleet import (
    Endpoint,
    EndpointKind,
    Role,
    EndpointStatus,
    Target,
)
from verbenahall.load import LoadState, Report, record_report
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    StatusChange,
    list_endpoints,
    apply_list,
    get_status,
)
from verbenahall.rollout import EngineView, plan
from verbenahall.routing import (
    Candidate,
    RoutingRequest,
    RoutingState,
    choose_endpoint,
)
from verbenahall.settings import (
    EffectiveSettings,
    ModelSettings,
    PoolSettings,
)
from verbenahall_standins.capacity._report import Point, Series
from verbenahall_standins.capacity._timing import (
    Row,
    make_series,
    measure_bytes,
    time_us,
)

_ENDPOINTS: Final = (10, 100, 1000, 3000)
_FIRST_PORT: Final = 8000
_PROMPT_TOKENS: Final = 900
_OUTPUT_TOKENS: Final = 100
_TARGET: Final = Target(Role.MIXED, (('draft', '1'),))


def measure_fleet() -> Iterator[Series]:
    """Yield the series of membership, routing, rollout and endpoint status."""
    yield from _measure_membership()
    yield from _measure_routing()
    yield _measure_plan()
    yield _measure_statuses()


def _measure_membership() -> Iterator[Series]:
    rows = [_measure_list(size) for size in _ENDPOINTS]
    for name, column in (
        ('membership memory (B)', 0),
        ('membership list fold (us)', 1),
        ('membership list message (B)', 2),
    ):
        yield make_series(name, 'endpoints', rows, column)


def _measure_list(size: int) -> Row:
    state = MembershipState(notify=_ignore)
    entries = [ListEntry(_build_engine(number)) for number in range(size)]
    used_bytes = measure_bytes(functools.partial(apply_list, state, entries, 0))
    spent_us = time_us(functools.partial(apply_list, state, entries, 1))
    return size, (used_bytes, spent_us, len(wire.encode(entries)))


def _measure_routing() -> Iterator[Series]:
    rows = [_measure_choice(size) for size in _ENDPOINTS]
    yield make_series('load memory (B)', 'endpoints', rows, 0)
    yield make_series('routing choice (us)', 'endpoints', rows, 1)


def _measure_choice(size: int) -> Row:
    load = LoadState()
    candidates = [
        Candidate(_build_engine(number), Role.MIXED) for number in range(size)
    ]
    used_bytes = measure_bytes(
        functools.partial(_record_reports, load, candidates)
    )
    state = RoutingState('entry', 'aber', random.Random(1))
    routing_request = RoutingRequest('r', _PROMPT_TOKENS, _OUTPUT_TOKENS)
    spent_us = time_us(
        functools.partial(
            choose_endpoint, state, routing_request, candidates, load, 1
        ),
    )
    return size, (used_bytes, spent_us)


def _measure_plan() -> Series:
    points = []
    for size in _ENDPOINTS:
        settings = _build_settings(size)
        views = [
            EngineView(f'engine-{number}', str(number), _TARGET)
            for number in range(size)
        ]
        spent_us = time_us(functools.partial(plan, settings, 'aber', views))
        points.append(Point(size, spent_us))
    return Series('rollout plan (us)', 'engines', points)


def _measure_statuses() -> Series:
    points = []
    for size in _ENDPOINTS:
        state = MembershipState(notify=_ignore)
        entries = [ListEntry(_build_engine(number)) for number in range(size)]
        apply_list(state, entries, 0)
        spent_us = time_us(functools.partial(_list_statuses, state))
        points.append(Point(size, spent_us))
    return Series('standings of a step (us)', 'endpoints', points)


def _list_statuses(state: MembershipState) -> list[EndpointStatus]:
    return [
        get_status(state, endpoint.name, 1)
        for endpoint in list_endpoints(state)
    ]


def _build_settings(size: int) -> EffectiveSettings:
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


def _build_engine(number: int) -> Endpoint:
    port = _FIRST_PORT + number
    return Endpoint(
        name=f'engine-{number}',
        kind=EndpointKind.ENGINE,
        address=f'127.0.0.1:{port}',
        data_centre='aber',
        incarnation=str(number),
    )


def _record_reports(load: LoadState, candidates: list[Candidate]) -> None:
    for candidate in candidates:
        report = Report(running=3, queued=0, kv_free_share=1)
        record_report(load, candidate.endpoint.name, report, 0)


def _ignore(change: StatusChange) -> None:
    """Write no decision line: only the state change is measured."""
