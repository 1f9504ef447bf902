"""Orders: which are valid, when they are sent, how failures are handled."""

import dataclasses

import pytest

from verbenahall.authority import AuthorityState, Grant
from verbenahall.authority import apply_record as apply_authority
from verbenahall.fleet import Endpoint, EndpointKind, Role, Target
from verbenahall.orders import (
    Dispatch,
    EngineReport,
    OrdersState,
    OrderTiming,
    Outcome,
    PlannedOrder,
    apply_record,
    encode_batch,
    export_state,
    is_changing,
    list_outstanding,
    list_withdrawals,
    may_send,
    record_failed_change,
    record_outcome,
    record_report,
    record_sending,
    restore_state,
    update_grant,
)
from verbenahall.records import AUTHORITY_STREAM, ORDERS_STREAM, Record

SCOPE = 'casablanca-ain'
TIMING = OrderTiming(order_timeout_s=2, longest_pause_s=10)
TARGET = Target(Role.MIXED, (('reader', '2'),))
OTHER = Target(Role.DECODE, (('reader', '2'),))
HOLDING = Target(Role.MIXED, (('reader', '1'),))
REPORT = EngineReport('e1', 'i1', HOLDING, '', 0, False, 0, False)


def claim(offset, holder, after):
    """Return the record of a claim."""
    body = {
        'kind': 'claim',
        'scope': SCOPE,
        'holder': holder,
        'after': after,
        'lease_s': 5,
    }
    return Record(offset, AUTHORITY_STREAM, '', body)


def order(offset, token, target=TARGET, incarnation='i1'):
    """Return an orders record for engine e1."""
    planned = [PlannedOrder('e1', incarnation, target)]
    body = encode_batch(SCOPE, token, planned)
    return Record(offset, ORDERS_STREAM, '', body)


def fold(*records):
    """Fold records into leases and orders."""
    authority = AuthorityState()
    state = OrdersState(authority)
    for record in records:
        apply_authority(authority, record, 0)
        apply_record(state, record)
    return state


def lead(state, now=0):
    """Return a dispatch with the scope's grant, held since ``now``."""
    dispatch = Dispatch(TIMING)
    update_grant(dispatch, state.authority.find_grant(SCOPE), now)
    return dispatch


def engine(*, checks=True):
    """Return the endpoint of engine e1."""
    return Endpoint(
        'e1',
        EndpointKind.ENGINE,
        '127.0.0.1:1',
        SCOPE,
        'i1',
        checks_fencing=checks,
    )


@pytest.mark.parametrize(
    ('records', 'number'),
    [
        ([order(1, 1)], None),
        ([claim(1, 'a', 0), order(2, 1)], '2.0'),
        ([claim(1, 'a', 0), order(2, 7)], None),
        # The successor claimed while the order was in transit to the log.
        ([claim(1, 'a', 0), claim(2, 'b', 1), order(3, 1)], None),
        ([claim(1, 'a', 0), order(2, 1), order(3, 1, OTHER)], '3.0'),
        ([claim(1, 'a', 0), Record(2, ORDERS_STREAM, '', {'token': 1})], None),
    ],
)
def test_only_the_holder_s_orders_count(records, number):
    """A holder is paused, loses its scope, and then records an order.

    Every instance must drop that order; otherwise engines would get targets
    from settings that have changed since.
    """
    valid = fold(*records).orders.get('e1')

    assert (valid and valid.number) == number


@pytest.mark.parametrize(
    ('checks', 'clean', 'reads', 'when'),
    [
        (True, False, [100], 100),
        (False, True, [101.9, 102, 102.5], 102.5),
        (False, False, [100, 111.9, 112, 112.4, 112.5], 112.5),
    ],
)
def test_new_holder_waits_before_its_first_order(checks, clean, reads, when):
    """The previous holder was paused between its lease check and its write.

    Its late order would override that of the new holder on an engine that
    ignores tokens, and callers would get an old model again.
    """
    state = fold(claim(1, 'a', 0), order(2, 1))
    dispatch = Dispatch(TIMING)
    update_grant(dispatch, Grant('b', 1, 1, 0, 5, clean), 100)
    sent = []
    for now in reads:
        record_report(state, REPORT, now)
        if may_send(
            dispatch,
            state,
            state.orders['e1'],
            engine(checks=checks),
            now,
        ):
            sent.append(now)

    assert sent[:1] == [when]


def test_newer_order_waits_for_an_unheard_one():
    """An order was written and never answered; then the settings change.

    An engine that ignores order numbers could carry out the old order after
    the new one, so the new one waits until the old connection has timed out.
    """
    state = fold(claim(1, 'a', 0), order(2, 1))
    dispatch = lead(state)
    dispatch.find_sends('e1').cleared = True
    first = state.orders['e1']
    record_sending(dispatch, first)
    record_outcome(dispatch, first, Outcome.UNKNOWN, 10)
    apply_record(state, order(3, 1, OTHER))
    sent = []
    for now in (11, 12, 12.5, 13):
        record_report(state, REPORT, now)
        second = state.orders['e1']
        if may_send(dispatch, state, second, engine(checks=False), now):
            sent.append(now)

    assert sent == [12.5, 13]


@pytest.mark.parametrize(
    'change',
    [
        # Another process has started under the name.
        {'incarnation': 'i2'},
        # The engine holds the target already.
        {'order': '2.0', 'holding': TARGET},
        {'order': '2.0', 'changing': True},
    ],
)
def test_no_order_to_an_engine_that_is_not_meant(change):
    """The engine was replaced at its address, or has accepted the order."""
    state = fold(claim(1, 'a', 0), order(2, 1))
    record_report(state, dataclasses.replace(REPORT, **change), 1)

    assert not may_send(lead(state), state, state.orders['e1'], engine(), 1)


def test_engine_gets_no_new_work_until_the_order_is_done():
    """A change starts with nothing in flight, or it would abort requests."""
    state = fold(claim(1, 'a', 0), order(2, 1))
    seen = []
    for change in (
        {},
        {'order': '2.0', 'changing': True},
        {'order': '2.0', 'holding': TARGET},
    ):
        record_report(state, dataclasses.replace(REPORT, **change), 1)
        seen.append(
            (is_changing(state, 'e1'), len(list_outstanding(state, SCOPE)))
        )

    assert seen == [(True, 1), (True, 1), (False, 0)]


@pytest.mark.parametrize('outcome', [Outcome.REFUSED, Outcome.UNKNOWN])
def test_refused_order_is_withdrawn(outcome):
    """An engine rejects each attempt, or never responds to the order.

    It would get no requests any more; an order for the state that it already
    has ends this.
    """
    state = fold(claim(1, 'a', 0), order(2, 1))
    dispatch = lead(state)
    record_report(state, REPORT, 1)
    for now in (1, 2):
        record_outcome(dispatch, state.orders['e1'], outcome, now)
    early = list_withdrawals(dispatch, state, SCOPE, 3)
    record_outcome(dispatch, state.orders['e1'], outcome, 3)
    stay = list_withdrawals(dispatch, state, SCOPE, 3)
    apply_record(state, order(4, 1, stay[0].target))

    assert not early
    assert stay == (PlannedOrder('e1', 'i1', HOLDING),)
    assert not is_changing(state, 'e1')


def test_failed_change_is_not_repeated_at_once():
    """A version is missing in the weight store, so that each change fails."""
    state = fold(claim(1, 'a', 0), order(2, 1))
    dispatch = lead(state)
    pauses = []
    for offset in range(2, 14):
        apply_record(state, order(offset, 1))
        failed = dataclasses.replace(REPORT, order=f'{offset}.0')
        record_report(state, failed, 100)
        record_failed_change(dispatch, state, 'e1', 100)
        record_failed_change(dispatch, state, 'e1', 100.1)
        pauses.append(dispatch.find_sends('e1').retry_at - 100)

    assert pauses[:3] == [0.5, 1, 2]
    assert pauses[-1] == 20
    assert not list_outstanding(state, SCOPE)


def test_restored_order_is_still_seen_to():
    """An instance starts from a snapshot while an order is outstanding."""
    before = fold(claim(1, 'a', 0), order(2, 1))
    after = OrdersState(before.authority)
    restore_state(after, export_state(before), 2)

    assert list_outstanding(after, SCOPE) == list_outstanding(before, SCOPE)
