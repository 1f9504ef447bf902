"""Admission against a naive queue, its bounds and its order."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.admission import (
    AdmissionLimits,
    AdmissionState,
    Ticket,
    WorkspaceBounds,
    ask,
    expire,
    finish,
    resize,
    withdraw,
)
from verbenahall.errors import ErrorKind, Ran

ROOMY = AdmissionLimits(
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


def find_only(effects):
    """Return the one request given up, and why."""
    assert len(effects.given_up) == 1
    return effects.given_up[0]


class NaiveQueue:
    """Scan all, sort by priority and arrival, first come first served."""

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
    """Requests come, end and are taken back in any order. A caller must be
    served just when a naive queue that sorts everything would serve it.
    """
    state, naive = AdmissionState(ROOMY), NaiveQueue()
    for number, (act, argument) in enumerate(steps):
        admitted = ()
        if act == 'ask':
            ticket = make_ticket(number, argument)
            naive.waiting.append(ticket)
            admitted = ask(state, ticket, 0).admitted
        elif act == 'finish' and naive.running:
            ticket = naive.running.pop(argument % len(naive.running))
            admitted = finish(state, ticket.request, 0).admitted
        elif act == 'withdraw' and naive.waiting:
            ticket = naive.waiting.pop(argument % len(naive.waiting))
            assert withdraw(state, ticket)
        assert list(admitted) == naive.fill()
        assert state.waiting == len(naive.waiting)


def drain(state, count):
    """End the running request ``count`` times; return who started."""
    started = []
    for _ in range(count):
        running = next(iter(state.running))
        started.extend(finish(state, running, 0).admitted)
    return started


def test_workspaces_share_by_weight_whatever_they_ask():
    """One workspace asks ten times as much as another one and would starve
    it. Both must be served in proportion to their shares, each in order.
    """
    limits = AdmissionLimits(1, 0, 1000, 1000, 4000)
    state = AdmissionState(limits)
    state.workspaces = {'calm': WorkspaceBounds(share=2)}
    for number in range(200):
        ask(state, make_ticket(number, workspace='loud'), 0)
    for number in range(200, 220):
        ask(state, make_ticket(number, workspace='calm'), 0)
    started = drain(state, 30)
    served = collections.Counter(ticket.workspace for ticket in started)
    assert served['calm'] == 20
    for workspace in ('loud', 'calm'):
        own = [row for row in started if row.workspace == workspace]
        assert own == sorted(own, key=lambda row: int(row.request[1:]))


def fill(limits, *priorities):
    state = AdmissionState(limits)
    for number, priority in enumerate(priorities):
        ask(state, make_ticket(number, priority), 0)
    return state


def test_lowest_is_shed_first_at_once_with_a_hint():
    """The queues are full and a higher request comes. The newest of the
    lowest priority hears at once that nothing ran and when to come back.
    """
    limits = AdmissionLimits(1, 0, 10, 10, 3)
    state = fill(limits, 2, 3, 3, 2)
    effects = ask(state, make_ticket(9, 1), 0)
    shed, problem = find_only(effects)
    assert shed == make_ticket(2, 3)
    assert problem.kind is ErrorKind.OVERLOADED
    assert problem.answer.ran is Ran.NO
    assert problem.answer.retry_after_s > 0
    refused, _ = find_only(ask(state, make_ticket(10, 3), 0))
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
    """A caller floods one queue. Memory must not grow with it; what goes
    beyond the bound is refused, by its own quota where that is the bound.
    """
    state = fill(limits, 2, 2, 2)
    _, problem = find_only(ask(state, make_ticket(9), 0))
    assert problem.kind is kind
    assert state.waiting == 2


def test_flag_waits_for_nothing_but_flags():
    """Every slot and queue is full of long work when an inspector's flag
    comes. It starts at once, in a slot that is kept for it.
    """
    limits = AdmissionLimits(1, 1, 2, 2, 2)
    state = fill(limits, 3, 3, 3)
    flag = make_ticket(9, 0)
    assert ask(state, flag, 0).admitted == (flag,)
    later = make_ticket(10, 0)
    assert later not in ask(state, later, 0).admitted
    assert finish(state, 'r0', 0).admitted == (later,)


def test_hint_follows_the_drain_rate():
    """A caller is refused and told when to come back. The hint must be the
    time that the queue before it needs at the measured rate, not a guess.
    """
    limits = AdmissionLimits(1, 0, 5, 100, 100)
    state = fill(limits, 2, 2, 2, 2, 2, 2)
    for number in range(40):
        finish(state, next(iter(state.running)), 0.25 * (number + 1))
        ask(state, make_ticket(100 + number), 0.25 * (number + 1))
    _, problem = find_only(ask(state, make_ticket(999), 10))
    assert problem.retry_after_s == pytest.approx(6 / 4, rel=0.05)


def measure_hint(resized, pause_s):
    """Drain at 4 a second, leave the lane idle, refuse one; return its hint."""
    state = fill(AdmissionLimits(2, 0, 5, 100, 100), 2, 2, 2, 2, 2, 2, 2)
    for number in range(40):
        now = 0.25 * (number + 1)
        finish(state, next(iter(state.running)), now)
        ask(state, make_ticket(100 + number), now)
    if pause_s:
        waiting = [state.queues[2].pop({}) for _ in range(5)]
        assert waiting
        assert not state.waiting
        finish(state, next(iter(state.running)), now + pause_s)
    if resized:
        resize(state, AdmissionLimits(resized, 0, 5, 100, 100))
    for number in range(20):
        effects = ask(state, make_ticket(200 + number), now + pause_s)
        if effects.given_up:
            return find_only(effects)[1].retry_after_s
    return None


@pytest.mark.parametrize(
    ('resized', 'pause_s', 'hint_s'),
    ((0, 0, 6 / 4), (0, 60, 6 / 4), (8, 0, 6 / 16)),
)
def test_rate_is_that_of_a_busy_lane(resized, pause_s, hint_s):
    """A lane has drained four a second and then lay idle for a minute, or
    got four times the engines. A rush must not be refused on account of what
    was drained while nobody came, or of engines that were few before.
    """
    hint = measure_hint(resized, pause_s)
    assert hint == pytest.approx(hint_s, rel=0.1)


def test_hopeless_request_is_refused_on_arrival():
    """The queue needs 1.5 s and a caller waits for 1 s only. It must hear
    that at once and not when its time is over; a patient one may wait.
    """
    limits = AdmissionLimits(1, 0, 100, 100, 100)
    state = fill(limits, 2, 2, 2, 2, 2, 2)
    for number in range(40):
        finish(state, next(iter(state.running)), 0.25 * (number + 1))
        ask(state, make_ticket(100 + number), 0.25 * (number + 1))
    hopeless = make_ticket(997, deadline=11)
    given_up, problem = find_only(ask(state, hopeless, 10))
    assert (given_up, problem.answer.ran) == (hopeless, Ran.NO)
    assert not ask(state, make_ticket(998, deadline=12), 10).given_up


def test_late_request_is_given_up_as_not_run():
    """A deadline passes while a request waits. Its caller learns that it
    did not run, and it never starts afterwards.
    """
    state = AdmissionState(AdmissionLimits(1, 0, 9, 9, 9))
    ask(state, make_ticket(0), 0)
    ask(state, make_ticket(1, deadline=5), 0)
    assert not expire(state, 4.9).given_up
    _, problem = find_only(expire(state, 5))
    assert problem.kind is ErrorKind.DEADLINE_EXCEEDED
    assert problem.answer.ran is Ran.NO
    assert not finish(state, 'r0', 6).admitted


def test_queue_that_higher_ones_cut_off_is_given_up():
    """Higher requests begin to come as fast as the lane drains, so those of
    the lowest priority have no chance any more. They hear so soon, long
    before their deadlines, and the first of them may still hope.
    """
    state = fill(AdmissionLimits(1, 0, 100, 100, 100), 3, 3, 3, 3, 3, 3)
    given_up = []
    for number in range(40):
        now = 0.25 * (number + 1)
        ask(state, make_ticket(100 + number, 1, deadline=now + 60), now)
        finish(state, next(iter(state.running)), now)
        given_up += expire(state, now).given_up
    assert {ticket.priority for ticket, _ in given_up} <= {3}
    assert not given_up
    late = make_ticket(999, 3, deadline=30)
    assert find_only(ask(state, late, 10))[0] == late
