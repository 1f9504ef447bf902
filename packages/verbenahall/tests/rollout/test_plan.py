"""Properties of the plan for random settings and fleets."""

import collections
import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from verbenahall.fleet import Role, Target
from verbenahall.rollout import (
    EngineView,
    RolloutLimits,
    find_targets,
    plan,
)
from verbenahall.settings import (
    DrainSettings,
    EffectiveSettings,
    ModelSettings,
    PoolSettings,
)

SITE = 'sidi'
MODELS = ('reader', 'flagger', 'summary')
ENGINES = ('e1', 'e2', 'e3', 'e4', 'e5')

names = st.lists(st.sampled_from(MODELS), unique=True, max_size=3).map(tuple)
versions = st.sampled_from(('1', '2'))
targets = st.builds(
    Target,
    role=st.sampled_from(Role),
    models=st.dictionaries(st.sampled_from(MODELS), versions).map(
        lambda given_models: tuple(sorted(given_models.items())),
    ),
)
views = st.builds(
    EngineView,
    name=st.just(''),
    incarnation=st.just('i1'),
    holding=targets,
    reachable=st.booleans(),
    pending=st.none() | targets,
    running=st.booleans(),
    resting=st.booleans(),
)


@st.composite
def fleets(draw):
    """Draw settings and the states of five engines."""
    settings = EffectiveSettings()
    for name in MODELS:
        settings.models[name] = ModelSettings(
            name,
            draw(versions),
            draw(st.integers(0, 2)),
            draw(st.sampled_from((1.0, 5.0))),
            'atlas',
        )
    for number, members in enumerate((ENGINES[:3], ENGINES[3:])):
        settings.pools[f'pool-{number}'] = PoolSettings(
            name=f'pool-{number}',
            data_centre=SITE,
            engines=members,
            models=draw(names),
            adapters=(),
            prefill=draw(st.integers(0, 2)),
            decode=draw(st.integers(0, 2)),
            automatic=draw(st.booleans()),
            team='atlas',
        )
    for drained in draw(st.sets(st.sampled_from(ENGINES), max_size=2)):
        settings.drains[drained] = DrainSettings(drained, '', 'atlas')
    engines = [
        dataclasses.replace(draw(views), name=engine) for engine in ENGINES
    ]
    return settings, engines


def count_serving(settings, engines, without=()):
    """Count the engines that serve each model, naively."""
    unavailable = {*settings.drains, *without}
    free = [view for view in engines if view.reachable and not view.changing]
    return collections.Counter(
        model
        for view in free
        if view.name not in unavailable
        for model, _ in view.holding.models
    )


@given(fleets(), st.integers(1, 3), st.integers(1, 3))
def test_plan_keeps_its_bounds(fleet, loads, changes):
    """Many changes are due; engines are unreachable, resting or draining.

    A model under its floor, or more changing engines than the limit, would
    slow down or fail requests for that model.
    """
    settings, engines = fleet
    limits = RolloutLimits(loads, changes)
    rollout = plan(settings, SITE, engines, limits=limits)
    by_name = {view.name: view for view in engines}
    wanted = find_targets(settings, SITE, engines)
    ordered = [order.engine for order in rollout.orders]
    fresh = [name for name in ordered if by_name[name].pending is None]
    before = count_serving(settings, engines)
    after = count_serving(settings, engines, ordered)
    used = {model for target in wanted.values() for model, _ in target.models}

    assert len(ordered) == len(set(ordered))
    assert len(fresh) <= changes
    for order in rollout.orders:
        view = by_name[order.engine]
        assert order.target == wanted[order.engine]
        assert view.reachable
        assert not view.running
        assert not view.resting
        assert view.name not in settings.drains
    for model in used:
        if after[model] < before[model]:
            assert after[model] >= settings.models[model].floor


@given(fleets())
def test_every_engine_is_accounted_for(fleet):
    """A due change is ordered, or is listed with a reason to wait."""
    settings, engines = fleet
    rollout = plan(settings, SITE, engines)
    wanted = find_targets(settings, SITE, engines)
    due = {
        view.name
        for view in engines
        if view.name in wanted
        and wanted[view.name] != (view.pending or view.holding)
    }
    listed = [order.engine for order in rollout.orders]
    listed += [entry.engine for entry in rollout.waiting]

    assert sorted(listed) == sorted(due)


@given(fleets())
def test_settled_engines_are_left_alone(fleet):
    """Nothing is ordered once every engine holds its target."""
    settings, engines = fleet
    wanted = find_targets(settings, SITE, engines)
    settled = [
        EngineView(view.name, 'i1', wanted.get(view.name, view.holding))
        for view in engines
    ]

    assert not plan(settings, SITE, settled).orders


@given(fleets(), st.sampled_from((Role.PREFILL, Role.DECODE)))
def test_roles_do_not_wander(fleet, role):
    """A pool has enough engines of a role already.

    Moving the role would make two engines unavailable for seconds.
    """
    settings, engines = fleet
    wanted = find_targets(settings, SITE, engines)
    now = {view.name: (view.pending or view.holding).role for view in engines}
    for pool in settings.pools.values():
        members = set(pool.engines).difference(settings.drains)
        having = {name for name in members if now[name] is role}
        getting = {name for name in members if wanted[name].role is role}
        needed = min(getattr(pool, role.value), len(members))
        if len(having) >= needed:
            assert getting <= having
