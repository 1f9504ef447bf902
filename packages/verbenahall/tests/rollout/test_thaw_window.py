"""Many changes are released at once: floors, and the time to apply them.

Run as a script, it prints the figures of each way to publish them.
"""

import collections
import dataclasses
import functools
import sys
from types import MappingProxyType

import pytest

from verbenahall.fleet import Role, Target
from verbenahall.rollout import (
    EngineView,
    Reason,
    RolloutLimits,
    find_targets,
    plan,
)
from verbenahall.settings import (
    AdapterSettings,
    DrainSettings,
    EffectiveSettings,
    ModelSettings,
    PoolSettings,
)

SITE = 'aberystwyth'
#: Rate of the weight store in gigabytes a second for all engines together,
#: seconds for an engine to drain and to switch models, and length of a step.
STORE_RATE = 2.0
EMPTYING_S = 10.0
SWITCH_S = 2.0
STEP_S = 0.25
WEIGHTS = MappingProxyType(
    {'drafter': 40.0, 'checker': 20.0, 'caption': 10.0, 'archive': 30.0},
)
FLOORS = MappingProxyType(
    {'drafter': 3, 'checker': 2, 'caption': 1, 'archive': 1},
)
ENGINES = tuple('e{0:02}'.format(number) for number in range(1, 12))
ADDED = tuple('style-{0:02}'.format(number) for number in range(20))
TEAMS = ('desk', 'proofs', 'archive', 'captions')


def build_settings():
    """Return the settings before the changes."""
    settings = EffectiveSettings()
    for name in ('drafter', 'checker', 'caption'):
        put_model(settings, name, '1')
    put_pool(settings, 'north', ENGINES[:5], ('drafter', 'caption'))
    put_pool(settings, 'south', ENGINES[5:10], ('drafter', 'checker'))
    return settings


def put_model(settings, name, version):
    """Publish a model's version."""
    settings.models[name] = ModelSettings(
        name,
        version,
        FLOORS[name],
        WEIGHTS[name],
        TEAMS[0],
    )


def put_pool(settings, name, engines, models):
    """Publish a pool."""
    settings.pools[name] = PoolSettings(
        name=name,
        data_centre=SITE,
        engines=engines,
        models=models,
        adapters=(),
        prefill=0,
        decode=0,
        automatic=False,
        team=TEAMS[0],
    )


def change_pool(settings, name, **changes):
    """Publish a pool with some values changed."""
    pool = settings.pools[name]
    settings.pools[name] = dataclasses.replace(pool, **changes)


def put_adapter(settings, name):
    """Publish an adapter for the north pool."""
    settings.adapters[name] = AdapterSettings(name, 'drafter', '1', TEAMS[1])
    known = settings.pools['north'].adapters
    change_pool(settings, 'north', adapters=(*known, name))


def drain(settings, engine):
    """Publish a drain."""
    settings.drains[engine] = DrainSettings(engine, 'replaced', TEAMS[2])


def list_changes():
    """Return the 40 changes in the order in which they are published."""
    south = ENGINES[5:]
    models = ('drafter', 'checker', 'archive')
    versions = (('drafter', '234'), ('checker', '2345'), ('caption', '23456'))
    changes = [
        *(functools.partial(put_adapter, name=name) for name in ADDED),
        *(
            functools.partial(put_model, name=name, version=version)
            for name, given in versions
            for version in given
        ),
        functools.partial(put_model, name='archive', version='1'),
        functools.partial(change_pool, name='south', engines=south),
        functools.partial(change_pool, name='south', models=models),
        functools.partial(drain, engine='e05'),
        functools.partial(drain, engine='e10'),
        functools.partial(change_pool, name='south', prefill=1),
        functools.partial(change_pool, name='south', prefill=2),
        functools.partial(change_pool, name='north', decode=1),
    ]
    # Four teams publish in turn.
    return [change for team in range(4) for change in changes[team::4]]


class Site:
    """Engines that drain, load at a shared rate, and switch models."""

    def __init__(self, settings):
        self.settings = settings
        self.now = 0
        self.loaded_gb = 0
        self.lowest = collections.Counter()
        self.holding = dict.fromkeys(
            ENGINES,
            Target(Role.MIXED),
        )
        self.holding.update(
            find_targets(settings, SITE, self.list_views({})),
        )
        self.changes = {}

    def list_views(self, changes):
        """Return the planner's views of the engines."""
        return [
            EngineView(
                name,
                'i1',
                holding,
                pending=changes[name][0] if name in changes else None,
                running=name in changes,
            )
            for name, holding in self.holding.items()
        ]

    def settle(self, limits):
        """Plan and change until every engine holds its target."""
        waiting = True
        while waiting or self.changes:
            views = self.list_views(self.changes)
            rollout = plan(self.settings, SITE, views, limits=limits)
            for order in rollout.orders:
                self.start(order)
            self.watch()
            waiting = rollout.waiting or rollout.orders
            if not self.changes:
                assert not rollout.waiting, rollout.waiting
            self.pass_time()

    def start(self, order):
        """Start the change of an engine."""
        missing = set(order.target.models) - set(
            self.holding[order.engine].models,
        )
        weight_gb = sum(WEIGHTS[name] for name, _ in missing)
        self.loaded_gb += weight_gb
        self.changes[order.engine] = [
            order.target,
            EMPTYING_S,
            weight_gb,
            SWITCH_S,
        ]

    def watch(self):
        """Record the fewest engines that served each model."""
        serving = collections.Counter(
            name
            for engine, holding in self.holding.items()
            if engine not in self.changes and engine not in self.settings.drains
            for name, _ in holding.models
        )
        for name in ('drafter', 'checker', 'caption'):
            least = self.lowest.get(name, serving[name])
            self.lowest[name] = min(least, serving[name])

    def pass_time(self):
        """Advance all changes by one step."""
        self.now += STEP_S
        loading = [
            change
            for change in self.changes.values()
            if change[1] <= 0 < change[2]
        ]
        for engine, change in list(self.changes.items()):
            if change[1] > 0:
                change[1] -= STEP_S
            elif change[2] > 0:
                change[2] -= STORE_RATE * STEP_S / len(loading)
            else:
                change[3] -= STEP_S
            if change[3] <= 0:
                self.holding[engine] = change[0]
                self.changes.pop(engine)


def run_window(limits):
    """Publish all changes, then apply them."""
    site = Site(build_settings())
    for change in list_changes():
        change(site.settings)
    site.settle(limits)
    return site


def run_one_by_one():
    """Publish each change once the previous one has been applied."""
    site = Site(build_settings())
    for change in list_changes():
        change(site.settings)
        site.settle(RolloutLimits(loads=1, changes=1))
    return site


def find_bound(site):
    """Return the least time: all loads at the store's full rate."""
    return site.loaded_gb / STORE_RATE + EMPTYING_S + SWITCH_S


@pytest.fixture(scope='module')
def window():
    """Apply all changes at once, for all tests."""
    return run_window(RolloutLimits())


def test_floors_hold_throughout(window):
    """All changes are released together.

    If too many engines changed at once, a model would have no engine.
    """
    assert len(list_changes()) == 40
    for name, least in window.lowest.items():
        assert least >= FLOORS[name], name


def test_window_is_near_the_bound(window):
    """The time is bounded by the weight store's rate, not by the plan."""
    assert window.now <= 1.25 * find_bound(window)


def test_window_beats_one_by_one(window):
    """One by one, each engine would become unavailable for each change."""
    assert window.now * 5 <= run_one_by_one().now


def test_floor_holds_a_change_back():
    """With a floor as high as the pool's size no engine may change."""
    settings = build_settings()
    floor = dataclasses.replace(settings.models['checker'], floor=5)
    site = Site(settings)
    settings.models['checker'] = dataclasses.replace(floor, version='2')
    rollout = plan(settings, SITE, site.list_views({}))
    held = {(entry.reason, entry.model) for entry in rollout.waiting}

    assert not rollout.orders
    assert held == {(Reason.FLOOR, 'checker')}


def print_ways():
    """Print one line for each way to publish the changes."""
    ways = {'one by one': run_one_by_one()}
    for loads in (1, 2, 3, 6):
        ways[f'loads {loads}'] = run_window(RolloutLimits(loads, 6))
    for name, site in ways.items():
        row = (name, site.now, site.loaded_gb, find_bound(site), site.lowest)
        sys.stdout.write(' | '.join(map(str, row)))
        sys.stdout.write('\n')


if __name__ == '__main__':
    print_ways()
