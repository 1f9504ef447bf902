"""Sections of snapshots: folds are unchanged by a dump and a load."""

import json

from hypothesis import given
from hypothesis import strategies as st

from verbenahall.authority import AuthorityState
from verbenahall.claims import Claims
from verbenahall.instance._foldables import (
    AuthorityFold,
    ClaimsFold,
    OrdersFold,
)
from verbenahall.orders import OrdersState
from verbenahall.records import Record

scopes = st.just('lampeter')
holders = st.sampled_from(('entry-1', 'entry-2'))
offsets = st.integers(0, 6)
leases = st.fixed_dictionaries(
    {
        'kind': st.sampled_from(('claim', 'claim', 'renew', 'release')),
        'scope': scopes,
        'holder': holders,
        'after': offsets,
        'lease_s': st.just(5),
    },
)
targets = st.fixed_dictionaries(
    {
        'role': st.sampled_from(('mixed', 'prefill')),
        'models': st.dictionaries(st.just('drafter'), st.just('3')),
        'adapters': st.just([]),
    },
)
batches = st.fixed_dictionaries(
    {
        'scope': scopes,
        'token': st.just(1),
        'orders': st.lists(
            st.fixed_dictionaries(
                {
                    'engine': st.sampled_from(('e1', 'e2')),
                    'incarnation': st.just('i'),
                    'target': targets,
                },
            ),
            max_size=2,
        ),
    },
)
claimed = st.fixed_dictionaries(
    {
        'holder': holders,
        'keys': st.lists(st.sampled_from(('w:1', 'w:2')), max_size=2),
        'freed': st.just([]),
    },
)
records = st.one_of(
    st.tuples(st.just('authority'), leases),
    st.tuples(st.just('orders'), batches),
    st.tuples(st.just('claims'), claimed),
)


def make_folds():
    """Return the folds of a new instance, authority before orders."""
    authority = AuthorityState()
    return (
        AuthorityFold(authority),
        OrdersFold(OrdersState(authority)),
        ClaimsFold(Claims(None, 'entry-1')),
    )


def apply(folds, bodies, start):
    """Apply bodies as records, starting at offset ``start``."""
    for offset, (stream, body) in enumerate(bodies, start):
        for fold in folds:
            fold.apply_record(Record(offset, stream, f'i{offset}', body))


@given(st.lists(records, max_size=12), st.integers(0, 12))
def test_fold_from_a_snapshot_goes_on_as_the_whole(bodies, cut):
    """An instance starts from a snapshot after older records have expired.

    If grants were lost, two instances could hold a scope; lost orders would be
    given twice; and lost claims would allow a call to run again.
    """
    claim = {
        'kind': 'claim',
        'scope': 'lampeter',
        'holder': 'entry-1',
        'after': 0,
        'lease_s': 5,
    }
    bodies = [('authority', claim), *bodies]
    whole, first, second = make_folds(), make_folds(), make_folds()
    apply(whole, bodies, 1)
    apply(first, bodies[:cut], 1)
    for dumping, loading in zip(first, second, strict=True):
        loading.load(json.loads(json.dumps(dumping.dump())))
    apply(second, bodies[cut:], cut + 1)

    for expected, found in zip(whole, second, strict=True):
        assert found.dump() == expected.dump()


def test_late_second_copy_of_orders_changes_nothing():
    """The log was paused with an append in its socket, and a retry succeeded.

    After the pause the log also stores the first attempt, after a newer order.
    Applied again, it would set the engine back to its previous model.
    """
    folds = make_folds()
    claim = ('claim', 'authority', {'after': 0, 'lease_s': 5, 'kind': 'claim'})
    for offset, (identity, stream, body) in enumerate(
        (
            claim,
            ('old', 'orders', build_batch('1')),
            ('new', 'orders', build_batch('2')),
            ('old', 'orders', build_batch('1')),
        ),
        start=1,
    ):
        whole = {'scope': 'lampeter', 'holder': 'entry-1', **body}
        for fold in folds:
            fold.apply_record(Record(offset, stream, identity, whole))

    assert folds[1].dump()['orders']['e1']['target']['models'] == {
        'drafter': '2'
    }


def build_batch(version):
    """Return a batch that orders a version of the model on engine e1."""
    target = {'role': 'mixed', 'models': {'drafter': version}, 'adapters': []}
    order = {'engine': 'e1', 'incarnation': 'i', 'target': target}
    return {'token': 1, 'orders': [order]}
