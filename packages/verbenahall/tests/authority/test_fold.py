"""The fold of leases: the order of the log decides who holds a scope."""

import pytest

from verbenahall.authority import (
    AuthorityState,
    Claim,
    Idle,
    LeaseCandidate,
    LeaseTiming,
    Renew,
    apply_record,
    choose_step,
    current_token,
    export_state,
    find_token,
    record_sent,
    restore_state,
)
from verbenahall.records import AUTHORITY_STREAM, Record

SCOPE = 'lampeter'
TIMING = LeaseTiming(lease_s=6, margin_s=0.5, clock_rate=0)


def write(offset, kind, holder, after, **changes):
    """Return an authority record."""
    body = {
        'kind': kind,
        'scope': SCOPE,
        'holder': holder,
        'after': after,
        'lease_s': 6,
        **changes,
    }
    return Record(offset, AUTHORITY_STREAM, f'id-{offset}', body)


def fold(*records, now=0):
    """Fold records, all read at ``now``."""
    state = AuthorityState()
    for record in records:
        apply_record(state, record, now)
    return state


@pytest.mark.parametrize(
    ('records', 'holder', 'token', 'last'),
    [
        ([], '', 0, 0),
        ([write(3, 'claim', 'a', 0)], 'a', 3, 3),
        # Two claims in a race: the first in the log wins.
        ([write(3, 'claim', 'a', 0), write(4, 'claim', 'b', 0)], 'a', 3, 3),
        # The same claim twice after a lost answer.
        ([write(3, 'claim', 'a', 0), write(4, 'claim', 'a', 0)], 'a', 3, 3),
        ([write(3, 'claim', 'a', 0), write(5, 'renew', 'a', 3)], 'a', 3, 5),
        ([write(3, 'claim', 'a', 0), write(5, 'renew', 'b', 3)], 'a', 3, 3),
        # A renewal in transit when a successor claims.
        (
            [
                write(3, 'claim', 'a', 0),
                write(7, 'claim', 'b', 3),
                write(8, 'renew', 'a', 3),
            ],
            'b',
            7,
            7,
        ),
        ([write(3, 'claim', 'a', 0), write(4, 'release', 'a', 3)], '', 0, 4),
        ([write(3, 'claim', 'a', 0), write(4, 'release', 'b', 3)], 'a', 3, 3),
        ([write(3, 'claim', 'a', 0, lease_s='long')], '', 0, 0),
        ([write(3, 'claim', 'a', 0, lease_s=1e9)], '', 0, 0),
        ([write(3, 'claim', 'a', 0, lease_s=float('nan'))], '', 0, 0),
        ([write(3, 'claim', 'a', False)], '', 0, 0),
        ([write(3, 'seize', 'a', 0)], '', 0, 0),
        ([write(3, 'claim', '', 0)], '', 0, 0),
    ],
)
def test_fold_follows_the_log(records, holder, token, last):
    """Two instances claim or renew at once, or a response was lost.

    If instances disagreed on the holder, two of them would order the same
    engines, and callers would see models being loaded and removed in turn.
    """
    grant = fold(*records).find_grant(SCOPE)

    assert (grant.holder, grant.token, grant.last) == (holder, token, last)


def test_holder_counts_from_before_it_sent():
    """The log is slow: the holder reads its own claim 4 s after sending it.

    If the lease were counted from the reading, it would end after the wait of
    the other instances, and two would hold the scope at once.
    """
    candidate = LeaseCandidate(SCOPE, 'a', 0)
    record_sent(candidate, 0, now=100)
    state = fold(write(1, 'claim', 'a', 0), now=104)

    assert find_token(state, candidate, TIMING, 105.9) == 1
    assert find_token(state, candidate, TIMING, 106) is None


def test_second_copy_does_not_lengthen_the_lease():
    """The response to a claim is lost and the claim is resent 5 s later.

    The log may have accepted the first copy, so the lease starts with it.
    """
    candidate = LeaseCandidate(SCOPE, 'a', 0)
    record_sent(candidate, 0, now=100)
    record_sent(candidate, 0, now=105)
    state = fold(write(1, 'claim', 'a', 0), now=105)

    assert find_token(state, candidate, TIMING, 106.5) is None


def test_others_wait_out_the_lease():
    """The holder is killed; another instance waits for lease and margin."""
    state = fold(write(1, 'claim', 'a', 0), now=100)
    other = LeaseCandidate(SCOPE, 'b', 0)

    assert choose_step(state, other, TIMING, 100) == Idle(106.5)
    assert choose_step(state, other, TIMING, 106.5) == Claim(1)


def test_holder_renews_in_time():
    """A holder renews when a third of its lease has passed."""
    candidate = LeaseCandidate(SCOPE, 'a', 0)
    record_sent(candidate, 0, now=100)
    state = fold(write(1, 'claim', 'a', 0), now=100)

    assert choose_step(state, candidate, TIMING, 101) == Idle(102)
    assert choose_step(state, candidate, TIMING, 102) == Renew(1)


def test_snapshot_keeps_the_last_record():
    """The claim's record expires from the log while the lease is renewed.

    An instance that started from the remaining records alone would treat the
    scope as free and grant it a second time.
    """
    before = fold(write(1, 'claim', 'a', 0), write(9, 'renew', 'a', 1))
    after = AuthorityState()
    restore_state(after, export_state(before), 9, now=50)
    apply_record(after, write(12, 'claim', 'b', 0), 60)

    assert current_token(after, SCOPE) == 1
    assert choose_step(
        after, LeaseCandidate(SCOPE, 'b', 0), TIMING, 51
    ) == Idle(
        56.5,
    )
