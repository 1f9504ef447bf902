"""Admission: its order compared with a naive queue, and its limits."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.admission import (
    AdmissionLimits,
    AdmissionState,
    Ticket,
    WorkspaceBounds,
    expire,
    finish,
    resize,
    submit,
    withdraw,
)
from verbenahall.errors import ErrorKind, Ran

LARGE_LIMITS = AdmissionLimits(
    slots=2,
    flag_slots=1,
    queue_per_priority=1000,
    queue_per_workspace=1000,
    queue_total=4000,
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('ask'), st.integers(0, 3)),
        st.tuples(st.just('finish'), st.integers(0, 9)),
        st.tuples(st.just('withdraw'), st.integers(0, 9)),
    ),
    max_size=80,
)


def make_ticket(number, priority=2, workspace='w', deadline=1e9):
    return Ticket(f'r{number}', priority, workspace, deadline)


def get_only_rejected(effects):
    """Return the only rejected request, and its problem."""
    assert len(effects.rejected) == 1
    return effects.rejected[0]


class NaiveQueue:
    """Reference: scans all, sorts by priority and arrival."""

    def __init__(self):
        self.running = []
        self.waiting = []

    def fill(self):
        started = []
        for ticket in sorted(self.waiting, key=lambda row: row.priority):
            flags = sum(row.priority == 0 for row in self.running)
            room = 3 if ticket.priority == 0 else 2 + min(flags, 1)
            if len(self.running) < room:
                self.running.append(ticket)
                self.waiting.remove(ticket)
                started.append(ticket)
        return started


@given(STEPS)
def test_order_equals_the_naive_queue(steps):
    """Requests are submitted, end and are withdrawn in any order. Each must be
    admitted exactly when a naive queue that sorts everything would admit it.
    """
    state, naive = AdmissionState(LARGE_LIMITS), NaiveQueue()
    for number, (action, argument) in enumerate(steps):
        admitted = ()
        if action == 'ask':
            ticket = make_ticket(number, argument)
            naive.waiting.append(ticket)
            admitted = submit(state, ticket, 0).admitted
        elif action == 'finish' and naive.running:
            ticket = naive.running.pop(argument % len(naive.running))
            admitted = finish(state, ticket.request, 0).admitted
        elif action == 'withdraw' and naive.waiting:
            ticket = naive.waiting.pop(argument % len(naive.waiting))
            assert withdraw(state, ticket)
        assert list(admitted) == naive.fill()
        assert state.waiting == len(naive.waiting)


def drain(state, count):
    """End the running request ``count`` times; return the requests admitted."""
    started = []
    for _ in range(count):
        running = next(iter(state.running))
        started.extend(finish(state, running, 0).admitted)
    return started


def test_workspaces_share_by_weight_whatever_they_ask():
    """One workspace sends ten times as many requests as another and would
    starve it. Both must be served in proportion to their shares, each in
    order.
    """
    limits = AdmissionLimits(1, 0, 1000, 1000, 4000)
    state = AdmissionState(limits)
    state.workspaces = {'calm': WorkspaceBounds(share=2)}
    for number in range(200):
        submit(state, make_ticket(number, workspace='loud'), 0)
    for number in range(200, 220):
        submit(state, make_ticket(number, workspace='calm'), 0)
    started = drain(state, 30)
    served = collections.Counter(ticket.workspace for ticket in started)
    assert served['calm'] == 20
    for workspace in ('loud', 'calm'):
        own = [row for row in started if row.workspace == workspace]
        assert own == sorted(own, key=lambda row: int(row.request[1:]))


def fill(limits, *priorities):
    state = AdmissionState(limits)
    for number, priority in enumerate(priorities):
        submit(state, make_ticket(number, priority), 0)
    return state


def test_lowest_is_shed_first_at_once_with_a_hint():
    """The queues are full when a request of higher priority arrives. The
    newest of the lowest priority is rejected at once as not run, with a retry
    time.
    """
    limits = AdmissionLimits(1, 0, 10, 10, 3)
    state = fill(limits, 2, 3, 3, 2)
    effects = submit(state, make_ticket(9, 1), 0)
    shed, problem = get_only_rejected(effects)
    assert shed == make_ticket(2, 3)
    assert problem.kind is ErrorKind.OVERLOADED
    assert problem.answer.ran is Ran.NO
    assert problem.answer.retry_after_s > 0
    refused, _ = get_only_rejected(submit(state, make_ticket(10, 3), 0))
    assert refused == make_ticket(10, 3)


@pytest.mark.parametrize(
    ('limits', 'kind'),
    (
        (AdmissionLimits(1, 0, 2, 10, 10), ErrorKind.OVERLOADED),
        (AdmissionLimits(1, 0, 10, 2, 10), ErrorKind.QUOTA_EXCEEDED),
        (AdmissionLimits(1, 0, 10, 10, 2), ErrorKind.OVERLOADED),
    ),
)
def test_each_queue_is_bounded(limits, kind):
    """A caller floods one queue. Memory must not grow with it: requests beyond
    the limit are rejected, with the quota as reason where that is the limit.
    """
    state = fill(limits, 2, 2, 2)
    _, problem = get_only_rejected(submit(state, make_ticket(9), 0))
    assert problem.kind is kind
    assert state.waiting == 2


def test_flag_waits_only_for_flags():
    """All slots and queues are full of long requests when a flag arrives. It
    starts at once, in a slot that is reserved for flags.
    """
    limits = AdmissionLimits(1, 1, 2, 2, 2)
    state = fill(limits, 3, 3, 3)
    flag = make_ticket(9, 0)
    assert submit(state, flag, 0).admitted == (flag,)
    later = make_ticket(10, 0)
    assert later not in submit(state, later, 0).admitted
    assert finish(state, 'r0', 0).admitted == (later,)


def test_hint_follows_the_drain_rate():
    """The retry time of a rejected request must be the time in which the queue
    ahead of it drains at the measured rate, not a constant.
    """
    limits = AdmissionLimits(1, 0, 5, 100, 100)
    state = fill(limits, 2, 2, 2, 2, 2, 2)
    for number in range(40):
        finish(state, next(iter(state.running)), 0.25 * (number + 1))
        submit(state, make_ticket(100 + number), 0.25 * (number + 1))
    _, problem = get_only_rejected(submit(state, make_ticket(999), 10))
    assert problem.retry_after_s == pytest.approx(6 / 4, rel=0.05)


def measure_hint(resized, pause_s):
    """Drain 4 a second, idle, reject one request; return its retry time."""
    state = fill(AdmissionLimits(2, 0, 5, 100, 100), 2, 2, 2, 2, 2, 2, 2)
    for number in range(40):
        now = 0.25 * (number + 1)
        finish(state, next(iter(state.running)), now)
        submit(state, make_ticket(100 + number), now)
    if pause_s:
        waiting = [state.queues[2].pop({}) for _ in range(5)]
        assert waiting
        assert not state.waiting
        finish(state, next(iter(state.running)), now + pause_s)
    if resized:
        resize(state, AdmissionLimits(resized, 0, 5, 100, 100))
    for number in range(20):
        effects = submit(state, make_ticket(200 + number), now + pause_s)
        if effects.rejected:
            return get_only_rejected(effects)[1].retry_after_s
    return None


@pytest.mark.parametrize(
    ('resized', 'pause_s', 'hint_s'),
    ((0, 0, 6 / 4), (0, 60, 6 / 4), (8, 0, 6 / 16)),
)
def test_drain_rate_is_measured_under_load(resized, pause_s, hint_s):
    """A lane has drained four a second and was then idle for a minute, or got
    four times the engines. A burst must not be rejected because of the low
    rate of the idle time or of the fewer engines before.
    """
    hint = measure_hint(resized, pause_s)
    assert hint == pytest.approx(hint_s, rel=0.1)


def test_expiring_request_is_rejected_on_arrival():
    """The queue takes 1.5 s and a caller waits for 1 s only. It must be
    rejected at once, not at its deadline; one with a later deadline may wait.
    """
    limits = AdmissionLimits(1, 0, 100, 100, 100)
    state = fill(limits, 2, 2, 2, 2, 2, 2)
    for number in range(40):
        finish(state, next(iter(state.running)), 0.25 * (number + 1))
        submit(state, make_ticket(100 + number), 0.25 * (number + 1))
    expiring = make_ticket(997, deadline=11)
    rejected, problem = get_only_rejected(submit(state, expiring, 10))
    assert (rejected, problem.answer.ran) == (expiring, Ran.NO)
    assert not submit(state, make_ticket(998, deadline=12), 10).rejected


def test_expired_request_is_rejected_as_not_run():
    """A deadline passes while a request waits. It is rejected as not run, and
    it never starts afterwards.
    """
    state = AdmissionState(AdmissionLimits(1, 0, 9, 9, 9))
    submit(state, make_ticket(0), 0)
    submit(state, make_ticket(1, deadline=5), 0)
    assert not expire(state, 4.9).rejected
    _, problem = get_only_rejected(expire(state, 5))
    assert problem.kind is ErrorKind.DEADLINE_EXCEEDED
    assert problem.answer.ran is Ran.NO
    assert not finish(state, 'r0', 6).admitted


def test_starved_queue_is_rejected():
    """Requests of higher priority begin to arrive as fast as the lane drains,
    which starves the lowest priority. Its requests are rejected early, long
    before their deadlines; the first ones may still be served.
    """
    state = fill(AdmissionLimits(1, 0, 100, 100, 100), 3, 3, 3, 3, 3, 3)
    rejected = []
    for number in range(40):
        now = 0.25 * (number + 1)
        submit(state, make_ticket(100 + number, 1, deadline=now + 60), now)
        finish(state, next(iter(state.running)), now)
        rejected += expire(state, now).rejected
    assert {ticket.priority for ticket, _ in rejected} <= {3}
    assert not rejected
    late = make_ticket(999, 3, deadline=30)
    assert get_only_rejected(submit(state, late, 10))[0] == late
