"""Leases and orders compared with naive folds over the whole log."""

import functools
import itertools
import json

from hypothesis import given
from hypothesis import strategies as st

from verbenahall.authority import AuthorityState, export_state, restore_state
from verbenahall.authority import apply_record as apply_authority
from verbenahall.orders import OrdersState, apply_record
from verbenahall.records import AUTHORITY_STREAM, ORDERS_STREAM, Record

SCOPES = ('ain', 'sidi')
leases = st.fixed_dictionaries(
    {
        'kind': st.sampled_from(
            ('claim', 'claim', 'renew', 'renew', 'release', 'x')
        ),
        'scope': st.sampled_from(SCOPES),
        'holder': st.sampled_from(('a', 'b')),
        'after': st.integers(0, 6),
        'lease_s': st.sampled_from((5, 5, 5, 5, None)),
    },
)
batches = st.builds(
    lambda scope, token: {
        'scope': scope,
        'token': token,
        'orders': [
            {
                'engine': scope,
                'incarnation': 'i1',
                'target': {'role': 'mixed', 'models': {}, 'adapters': []},
            },
        ],
    },
    st.sampled_from(SCOPES),
    st.integers(0, 6),
)
records = st.one_of(
    st.tuples(st.just(AUTHORITY_STREAM), leases),
    st.tuples(st.just(ORDERS_STREAM), batches),
)


@st.composite
def logs(draw):
    """Draw a log; in half of the records the author has read the last one."""
    log = []
    for stream, body in draw(st.lists(records, max_size=12)):
        if draw(st.booleans()):
            token, _, last = find_lease(log, body['scope'])
            known = {'after': last, 'token': token}
            body = {key: known.get(key, body[key]) for key in body}
        log.append(Record(len(log) + 1, stream, '', body))
    return log


def accept(lease, record):
    """Return token, holder and last record after one more record."""
    token, holder, last = lease
    body = record.body
    if body['lease_s'] != 5 or body['after'] != last:
        return lease
    by_holder = token and body['holder'] == holder
    following = {
        'claim': (record.offset, body['holder'], record.offset),
        'renew': by_holder and (token, holder, record.offset),
        'release': by_holder and (0, '', record.offset),
    }
    return following.get(body['kind']) or lease


def find_lease(log, scope):
    """Return token, holder and last record of a scope, from the start."""
    mine = [
        record
        for record in log
        if record.stream == AUTHORITY_STREAM and record.body['scope'] == scope
    ]
    return functools.reduce(accept, mine, (0, '', 0))


def find_order(log, scope):
    """Return the offset of the last order that was valid when appended."""
    valid = [
        record.offset
        for record in log
        if record.stream == ORDERS_STREAM
        and record.body['scope'] == scope
        and record.body['token']
        and record.body['token'] == find_lease(log[: record.offset], scope)[0]
    ]
    return valid[-1] if valid else None


@given(logs(), st.integers(0, 12), st.booleans())
def test_folds_agree_with_the_naive_ones(log, restart, doubled):
    """Instances read the same log, some twice, some from a snapshot.

    If they folded it into different leases, two would send orders to engines.
    """
    authority = AuthorityState()
    state = OrdersState(authority)
    for record in log:
        for copy in itertools.repeat(record, 1 + doubled):
            apply_authority(authority, copy, 0)
            apply_record(state, copy)
        if record.offset == restart:
            exported = json.loads(json.dumps(export_state(authority)))
            restore_state(authority, exported, record.offset, 9)

    for scope in SCOPES:
        grant = authority.find_grant(scope)
        order = state.orders.get(scope)
        assert (grant.token, grant.holder, grant.last) == find_lease(log, scope)
        assert (order and order.offset) == find_order(log, scope)
