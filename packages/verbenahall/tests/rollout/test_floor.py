"""The capacity floor while changes end one after another."""

import pytest

from verbenahall.fleet import Role, Target
from verbenahall.rollout import EngineView, plan
from verbenahall.settings import (
    EffectiveSettings,
    ModelSettings,
    PoolSettings,
)

OLD = Target(Role.MIXED, (('drafter', '1'),))
NEW = Target(Role.MIXED, (('drafter', '2'),))


def find_orders(first_is_fresh):
    """Plan for two engines of which the first has just changed."""
    settings = EffectiveSettings()
    settings.models['drafter'] = ModelSettings('drafter', '2', 1, 10, 'desk')
    settings.pools['ain'] = PoolSettings(
        name='ain',
        data_centre='ain',
        engines=('e1', 'e2'),
        models=('drafter',),
        adapters=(),
        prefill=0,
        decode=0,
        automatic=False,
        team='desk',
    )
    views = (
        EngineView('e1', 'a', NEW, just_changed=first_is_fresh),
        EngineView('e2', 'b', OLD),
    )
    return [order.engine for order in plan(settings, 'ain', views).orders]


@pytest.mark.parametrize(
    ('first_is_fresh', 'orders'),
    [(True, []), (False, ['e2'])],
)
def test_next_engine_waits_until_all_know_of_the_first(first_is_fresh, orders):
    """One of two engines has just ended its change when the other goes.

    An instance that has not heard of the first one yet knows of no engine
    that holds the model, and turns its callers away with 503.
    """
    assert find_orders(first_is_fresh) == orders
