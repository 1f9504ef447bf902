"""Leases with clocks that run at different rates."""

from hypothesis import given
from hypothesis import strategies as st

from verbenahall.authority import (
    AuthorityState,
    Idle,
    LeaseCandidate,
    LeaseTiming,
    apply_record,
    choose_step,
    find_deadline,
    record_sent,
)
from verbenahall.records import AUTHORITY_STREAM, Record

TIMING = LeaseTiming(lease_s=600, margin_s=0, clock_rate=0.005)
CLAIM = Record(
    1,
    AUTHORITY_STREAM,
    '',
    {
        'kind': 'claim',
        'scope': 'fes',
        'holder': 'a',
        'after': 0,
        'lease_s': 600,
    },
)
#: Extreme rates; random ones would hardly ever combine them.
rates = st.sampled_from((1 - 0.0049, 1, 1 + 0.0049))
offsets = st.floats(-1000, 1000)
delays = st.sampled_from((0, 0.01, 30))


@given(rates, rates, offsets, offsets, delays, delays)
def test_lease_ends_before_anyone_may_claim(
    rate,
    other_rate,
    offset,
    other_offset,
    sending,
    reading,
):
    """The holder's clock is slow and another instance's is fast.

    Without allowance for the rates both would hold the scope for some
    seconds of a long lease, and each would order engines by its own plan.
    """
    state = AuthorityState()
    holder = LeaseCandidate('fes', 'a', 0)
    record_sent(holder, 0, offset)
    apply_record(state, CLAIM, offset + rate * sending)
    ends_at = (find_deadline(state, holder, TIMING) - offset) / rate

    other = AuthorityState()
    read_at = other_offset + other_rate * (sending + reading)
    apply_record(other, CLAIM, read_at)
    step = choose_step(other, LeaseCandidate('fes', 'b', 0), TIMING, read_at)

    assert isinstance(step, Idle)
    assert ends_at <= (step.until - other_offset) / other_rate
