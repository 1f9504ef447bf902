"""The capacity floor while changes end one after the other."""

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


def find_orders(first_just_changed):
    """Plan for two engines, of which the first has the new model."""
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
        EngineView('e1', 'a', NEW, just_changed=first_just_changed),
        EngineView('e2', 'b', OLD),
    )
    return [order.engine for order in plan(settings, 'ain', views).orders]


@pytest.mark.parametrize(
    ('first_just_changed', 'orders'),
    [(True, []), (False, ['e2'])],
)
def test_next_engine_waits_until_all_know_of_the_first(
    first_just_changed, orders
):
    """The second of two engines changes just after the first one.

    An instance that has not read the end of the first change would have no
    engine for the model, and respond to its callers with 503.
    """
    assert find_orders(first_just_changed) == orders
