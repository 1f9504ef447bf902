"""Verdicts on publications: a case for each refusal kind, and races."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.records import Record
from verbenahall.settings import (
    RefusalKind,
    SettingsState,
    apply_record,
    effective,
)

DESK_MODEL = 'desk/models/drafter'
DESK_POOL = 'desk/pools/main'


def publish(state, changes, team='desk', identity=None):
    """Apply one record made of ``(path, base, value)`` triples."""
    offset = state.position + 1
    rows = [
        {'path': path, 'base': base, 'value': value}
        for path, base, value in changes
    ]
    body = {'team': team, 'author': 'ann', 'changes': rows}
    record = Record(offset, 'settings', identity or f'i{offset}', body)
    return apply_record(state, record)


def pool(engines, models=('drafter',), **more):
    """Return a pool's value."""
    return {
        'data_centre': 'lampeter',
        'engines': list(engines),
        'models': list(models),
        **more,
    }


@pytest.fixture
def state():
    """A model with a floor of one, its adapter and a pool of two engines."""
    fresh = SettingsState()
    assert publish(
        fresh,
        [
            (DESK_MODEL, 0, {'version': '1', 'floor': 1}),
            ('desk/adapters/welsh', 0, {'model': 'drafter', 'version': '1'}),
            (DESK_POOL, 0, pool(['e1', 'e2'], adapters=['welsh'])),
        ],
    ).accepted
    return fresh


@pytest.mark.parametrize(
    ('changes', 'team', 'kind', 'winner'),
    [
        ([('nowhere', 0, {})], 'desk', RefusalKind.MALFORMED, 0),
        ([], 'desk', RefusalKind.MALFORMED, 0),
        ([(DESK_MODEL, True, None)], 'desk', RefusalKind.MALFORMED, 0),
        (
            [(DESK_MODEL, 1, {'version': '2'})],
            'atlas',
            RefusalKind.OUTSIDE_SUBTREE,
            0,
        ),
        (
            [(DESK_MODEL, 0, {'version': '2'})],
            'desk',
            RefusalKind.STALE_BASE,
            1,
        ),
        (
            [(DESK_MODEL, 1, {'verison': '2'})],
            'desk',
            RefusalKind.INVALID_VALUE,
            0,
        ),
        (
            [('atlas/models/drafter', 0, {'version': '2'})],
            'atlas',
            RefusalKind.NAME_TAKEN,
            1,
        ),
        (
            [('atlas/adapters/logs', 0, {'model': 'x', 'version': '1'})],
            'atlas',
            RefusalKind.MISSING_REFERENCE,
            0,
        ),
        ([(DESK_MODEL, 1, None)], 'desk', RefusalKind.IN_USE, 1),
        (
            [('desk/adapters/welsh', 1, None)],
            'desk',
            RefusalKind.IN_USE,
            1,
        ),
        (
            [('atlas/pools/trips', 0, pool(['e2']))],
            'atlas',
            RefusalKind.ENGINE_CLAIMED,
            1,
        ),
        (
            [(DESK_POOL, 1, pool(['e1', 'e2'], prefill=2, decode=1))],
            'desk',
            RefusalKind.TOO_MANY_ROLES,
            0,
        ),
        (
            [('atlas/drains/e1', 0, {})],
            'atlas',
            RefusalKind.FOREIGN_ENGINE,
            1,
        ),
        (
            [(DESK_MODEL, 1, {'version': '1', 'floor': 3})],
            'desk',
            RefusalKind.BELOW_FLOOR,
            1,
        ),
        (
            [('desk/drains/e1', 0, {}), ('desk/drains/e2', 0, {})],
            'desk',
            RefusalKind.BELOW_FLOOR,
            1,
        ),
        (
            [('desk/defaults/pools', 0, {'prefill': 3})],
            'desk',
            RefusalKind.TOO_MANY_ROLES,
            0,
        ),
        (
            [('desk/planner/other', 0, {})],
            'desk',
            RefusalKind.INVALID_VALUE,
            0,
        ),
        (
            [('desk/services/proofs', 0, {'repeatable': ['get']})],
            'desk',
            RefusalKind.INVALID_VALUE,
            0,
        ),
    ],
)
def test_refusal_names_the_reason_and_the_winner(
    state,
    changes,
    team,
    kind,
    winner,
):
    """An operator publishes something that is refused.

    The refusal names the broken rule and the change with which the record
    conflicts. None of the record's changes is applied.
    """
    verdict = publish(
        state,
        [*changes, (f'{team}/workspaces/new', 0, {})] if changes else [],
        team,
    )

    assert verdict.refusal.kind is kind
    assert verdict.refusal.winner == winner
    assert 'new' not in effective(state).workspaces


def test_drains_race_for_the_last_engine(state):
    """Two operators each drain one of the two engines of a model.

    Both saw two serving engines. The second drain is refused, since it would
    break the floor, and the refusal names the first drain.
    """
    first = publish(state, [('desk/drains/e1', 0, {})])
    second = publish(state, [('desk/drains/e2', 0, {})])

    assert first.accepted
    assert second.refusal.kind is RefusalKind.BELOW_FLOOR
    assert second.refusal.winner == first.offset


def test_duplicate_append_gets_no_verdict(state):
    """An append's answer is lost, and the record is in the log twice.

    If the copy were checked again, it would be refused for its stale base,
    and the operator would see an accepted change reported as refused.
    """
    change = [('desk/workspaces/club', 0, {'share': 2})]

    assert publish(state, change, identity='same').accepted
    assert publish(state, change, identity='same') is None
    assert effective(state).workspaces['club'].share == 2


def test_entries_inherit_defaults_unless_overridden(state):
    """A team's defaults apply to entries that omit the member."""
    publish(state, [('desk/workspaces/a', 0, {'share': 5})])
    publish(state, [('desk/workspaces/b', 0, {})])
    publish(state, [('desk/defaults/workspaces', 0, {'share': 3})])
    publish(state, [('atlas/workspaces/c', 0, {})], team='atlas')
    shares = {
        name: workspace.share
        for name, workspace in effective(state).workspaces.items()
    }

    assert shares == {'a': 5, 'b': 3, 'c': 1}


def test_engine_moves_between_pools_in_one_record(state):
    """Rules are checked after all changes of a record, not between them."""
    verdict = publish(
        state,
        [
            ('desk/pools/other', 0, pool(['e2'])),
            (DESK_POOL, 1, pool(['e1'])),
        ],
    )

    assert verdict.accepted


def test_base_after_removal_is_the_removal(state):
    """A change based on the entry before its removal is refused."""
    publish(state, [('desk/workspaces/a', 0, {})])
    removal = publish(state, [('desk/workspaces/a', 2, None)])
    stale = publish(state, [('desk/workspaces/a', 2, {})])
    fresh = publish(state, [('desk/workspaces/a', removal.offset, {})])

    assert stale.refusal.winner == removal.offset
    assert fresh.accepted


json_bodies = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(('desk', DESK_MODEL, DESK_POOL, 'desk/drains/e1', '')),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                (
                    'team',
                    'author',
                    'changes',
                    'path',
                    'base',
                    'value',
                    'engines',
                ),
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)
rows = st.fixed_dictionaries(
    {
        'path': st.sampled_from((DESK_MODEL, DESK_POOL, 'desk/services/s')),
        'base': st.just(0),
        'value': st.dictionaries(
            st.sampled_from(
                ('version', 'floor', 'engines', 'repeatable', 'data_centre'),
            ),
            json_bodies,
        ),
    },
)


@given(st.lists(rows | json_bodies, max_size=3) | json_bodies)
def test_any_body_gets_a_verdict(changes):
    """A faulty tool appends something, and every instance reads it.

    A fold that raised would stop there, or skip the record on some.
    """
    body = {'team': 'desk', 'author': 'ann', 'changes': changes}
    verdict = apply_record(SettingsState(), Record(1, 'settings', 'i', body))

    assert verdict is not None
