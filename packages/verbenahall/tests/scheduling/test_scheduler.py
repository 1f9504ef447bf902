"""One queue for the requests of many instances."""

import dataclasses
import random

import pytest
from verbenahall import scheduling
from verbenahall.catalog import Service
from verbenahall.fleet import Role
from verbenahall.placement import Fleet, Part, PlacementState, Work
from verbenahall_standins.replay import TRAITS, make_entry

RNG = random.Random(7)
ENGINES = (
    make_entry('p0', Role.PREFILL),
    make_entry('d0', Role.DECODE),
)


@pytest.fixture
def state():
    """A scheduler without requests."""
    return scheduling.SchedulerState(PlacementState(), started_at=0)


@pytest.fixture
def service():
    """The service whose engines are scheduled."""
    return Service('reader', TRAITS)


def make_request(key, *, priority=0, due_s=0.5, **changes):
    work = Work((Part('form', 6_000), Part(key, 3_000)), 9_000, 2)
    return scheduling.ScheduleRequest(
        key=key,
        service='reader',
        group='a/0',
        work=work,
        gap_s=0.2,
        priority=priority,
        due_s=due_s,
        objective_s=0.5,
        leaves_s=due_s + 1.5,
        deadline_s=due_s + 2,
        **changes,
    )


def make_fleet(state):
    return Fleet(state.placement, ENGINES, TRAITS, len(state.queue.waiting))


def submit(state, request, now=0.0, sender='10.0.0.1:7380'):
    """Send a request to the scheduler; return its replies."""
    fleet = make_fleet(state)
    replies = scheduling.receive_request(
        state, request, sender, fleet, now, RNG
    )
    return [*replies, *scheduling.assign_waiting(state, fleet, now, RNG)]


def list_types(replies):
    return [(reply.sender, type(reply.message)) for reply in replies]


def finish(state, key, service, now):
    """End an assignment; return the replies to the requests that wait."""
    scheduling.record_progress(
        state, scheduling.Prefilled(key, 0.05), service, now
    )
    scheduling.record_progress(state, scheduling.Released(key), service, now)
    return scheduling.assign_waiting(state, make_fleet(state), now, RNG)


def test_first_request_is_assigned_at_once(state):
    reply = submit(state, make_request('a'))[0]

    assert reply.message.prefill == 'p0'
    assert reply.message.decode == 'd0'
    assert state.placement.load_table.local_totals('p0').prefill_tokens == 3_000
    assert state.placement.load_table.local_totals('d0').streams == 1


def test_prompts_of_many_instances_are_queued_together(state):
    """A hundred instances have a prompt each for the same engine.

    If each knew only its own, they would send all of them at once, and every
    first event would come as late as the last one.
    """
    replies = [
        reply
        for number in range(100)
        for reply in submit(
            state,
            make_request(f'r{number}', due_s=9),
            sender=f'10.0.0.{number}:7380',
        )
    ]

    sent = [
        one for one in replies if isinstance(one.message, scheduling.Assignment)
    ]
    assert len(sent) < 4
    assert len(state.queue.waiting) == 100 - len(sent)


def test_urgent_request_of_another_instance_goes_first(state, service):
    """Both are queued; the urgent one came last, through another instance."""
    submit(state, make_request('busy', due_s=9))
    while not state.queue.waiting:
        submit(state, make_request(f'busy-{len(state.assigned)}', due_s=9))
    submit(state, make_request('low', priority=2, due_s=9), sender='low')
    submit(state, make_request('high', priority=0, due_s=9), sender='high')
    replies_sent = []
    for key in tuple(state.assigned):
        replies_sent.extend(finish(state, key, service, 0.1))

    senders = [one.sender for one in replies_sent]
    assert 'low' not in senders or senders.index('high') < senders.index('low')
    assert 'high' in senders


def test_repeated_request_is_answered_and_counted_once(state):
    """A reply was lost, and the instance repeats its request."""
    first = submit(state, make_request('a'))
    again = submit(state, make_request('a'), now=0.25)

    assert list(again) == list(first)
    assert state.placement.load_table.local_totals('d0').streams == 1


def test_repeated_request_that_waits_is_answered_queued(state):
    """The reply shows an instance that its scheduler still runs."""
    number = 0
    while not state.queue.waiting:
        submit(state, make_request(f'r{number}', due_s=9))
        number += 1
    key = state.queue.waiting[0].request_id
    replies = submit(state, make_request(key, due_s=9), now=0.25)

    assert list_types(replies) == [('10.0.0.1:7380', scheduling.Queued)]
    assert len(state.queue.waiting) == 1


def test_release_admits_the_next_request(state, service):
    number = 0
    while not state.queue.waiting:
        submit(state, make_request(f'r{number}', due_s=9))
        number += 1
    replies_sent = [
        reply
        for key in tuple(state.assigned)
        for reply in finish(state, key, service, 0.1)
    ]

    assert list_types(replies_sent) == [
        ('10.0.0.1:7380', scheduling.Assignment)
    ]


def test_released_request_leaves_the_queue(state, service):
    """Its caller closed the connection while it was queued."""
    number = 0
    while not state.queue.waiting:
        submit(state, make_request(f'r{number}', due_s=9))
        number += 1
    key = state.queue.waiting[0].request_id
    scheduling.record_progress(state, scheduling.Released(key), service, 0.1)

    assert not state.queue.waiting
    assert not state.waiting


def test_assignments_of_a_dead_instance_expire(state):
    """It was killed with requests open, and reports no end of them.

    If they counted for ever, the engines would stay idle.
    """
    submit(state, make_request('a'))
    scheduling.expire_assignments(state, 2)
    assert state.assigned

    scheduling.expire_assignments(state, 3.1)
    assert not state.assigned
    assert not state.placement.load_table.local_loads()


def test_first_event_ends_the_prefill(state, service):
    """The message about the prefill itself was lost."""
    submit(state, make_request('a'))
    event = scheduling.FirstEvent('a', 0.1, 0.01)
    scheduling.record_progress(state, event, service, 0.1)

    assert not state.placement.load_table.local_totals('p0').prefill_tokens
    assert state.placement.load_table.local_totals('d0').streams == 1


def test_late_message_of_an_ended_assignment_changes_nothing(state, service):
    """Datagrams can arrive out of order."""
    submit(state, make_request('a'))
    finish(state, 'a', service, 0.1)
    scheduling.record_progress(
        state, scheduling.Prefilled('a', 0.1), service, 0.2
    )
    scheduling.record_progress(state, scheduling.Released('a'), service, 0.2)

    assert not state.placement.load_table.local_loads()


def test_request_that_cannot_be_served_in_time_is_rejected_at_once(state):
    """The queue takes longer than the caller waits."""
    for number in range(200):
        submit(state, make_request(f'r{number}', due_s=9))
    hurried = make_request('hurried', due_s=-1)
    hurried = dataclasses.replace(hurried, leaves_s=0.01)
    reply = submit(state, hurried, sender='hurried')[0]

    assert isinstance(reply.message, scheduling.Rejection)
    assert reply.message.kind == 'overloaded'
    assert reply.message.retry_after_s > 0


def test_speed_estimate_uses_all_instances(state, service):
    """Each instance has timed one prefill; the scheduler records all."""
    before = state.placement.prefill_speed.samples
    for number in range(20):
        key = f'r{number}'
        submit(state, make_request(key), now=number)
        finish(state, key, service, number + 0.1)

    assert state.placement.prefill_speed.samples == before + 20


def test_new_prefix_counts_as_prefill(state, service):
    """A prefix that was not requested before is prefilled whole.

    If it were assumed to be cached, the prompt would look short. Others would
    be queued behind it, and their first events delayed by the time of the
    prefix.
    """
    submit(state, make_request('first'), now=100)
    finish(state, 'first', service, 100.5)
    known = submit(state, make_request('second'), now=101)[0]
    finish(state, 'second', service, 101.5)
    new = make_request('third')
    work = Work((Part('new', 6_000), Part('own', 3_000)), 9_000, 2)
    unknown = submit(state, dataclasses.replace(new, work=work), now=102)[0]

    assert known.message.missing == 3_000
    assert unknown.message.missing == 9_000


def test_new_scheduler_assumes_cached_prefixes(state):
    """It has replaced another one, and has no record of cached prefixes.

    If it assumed that none is cached, it would refuse callers with short
    prompts.
    """
    reply = submit(state, make_request('first'), now=1)[0]

    assert reply.message.missing == 3_000


def test_concurrent_requests_share_a_dispatch(state):
    """Hundreds of requests a second arrive at peak load.

    One pass over the queue for each of them took all of a processor. Replies
    came late, and instances tried other schedulers, which don't know the load.
    """
    fleet = make_fleet(state)
    answered = [
        scheduling.receive_request(
            state, make_request(f'r{number}', due_s=9), 'x', fleet, 0, RNG
        )
        for number in range(30)
    ]
    replies_sent = scheduling.assign_waiting(state, fleet, 0, RNG)

    assert not any(answered)
    assert len(replies_sent) == 30
    assert {type(one.message) for one in replies_sent} == {
        scheduling.Assignment,
        scheduling.Queued,
    }
    assert not scheduling.assign_waiting(state, fleet, 0.01, RNG)


def test_engine_that_failed_one_instance_is_avoided_for_all(service):
    """A silent engine has no load, so it would get each next request."""
    engines = (
        make_entry('p0', Role.PREFILL),
        make_entry('d0', Role.DECODE),
        make_entry('d1', Role.DECODE),
    )
    state = scheduling.SchedulerState(PlacementState(), started_at=0)

    def assign(key, now):
        fleet = Fleet(state.placement, engines, TRAITS)
        scheduling.receive_request(
            state, make_request(key), 'sender', fleet, now, RNG
        )
        replies = scheduling.assign_waiting(state, fleet, now, RNG)
        return replies[0].message.decode

    silent = assign('a', 0)
    for number in range(5):
        now = 2 + number
        scheduling.record_progress(
            state, scheduling.Released('a', failed=silent), service, now
        )
        key = f'b{number}'
        assert assign(key, now) != silent
        scheduling.record_progress(
            state, scheduling.Released(key), service, now
        )


def make_pair_fleet(state):
    """Return a fleet with two decode engines."""
    engines = (*ENGINES, make_entry('d1', Role.DECODE))
    return Fleet(state.placement, engines, TRAITS, len(state.queue.waiting))


@pytest.mark.parametrize(
    ('unavailable', 'assigned'), [('d0', 'd1'), ('d1', 'd0')]
)
def test_backoff_binds_only_the_instance_that_was_refused(
    state, unavailable, assigned
):
    """The scheduler assigned engines that its client might not use."""
    fleet = make_pair_fleet(state)
    for key, names in (('a', (unavailable,)), ('b', (assigned,))):
        request = make_request(key, unavailable=names, due_s=9)
        scheduling.receive_request(state, request, '', fleet, 0, RNG)
    replies = scheduling.assign_waiting(state, fleet, 0, RNG)
    engines = {
        reply.message.key: reply.message.decode
        for reply in replies
        if isinstance(reply.message, scheduling.Assignment)
    }
    assert engines['a'] == assigned
    assert engines.get('b', unavailable) == unavailable


def test_request_is_rejected_at_once_if_no_engine_accepts_its_instance(state):
    """In the queue it would wait until its caller leaves."""
    request = make_request('a', unavailable=('d0',))
    assert list_types(submit(state, request)) == [
        ('10.0.0.1:7380', scheduling.Rejection)
    ]


def test_queued_request_is_rejected_when_its_last_engine_backs_off(state):
    submit(state, make_request('busy', due_s=9))
    while not state.queue.waiting:
        submit(state, make_request(f'r{len(state.assigned)}', due_s=9))
    key = state.queue.waiting[0].request_id
    request = make_request(key, due_s=9, unavailable=('d0',))
    assert list_types(submit(state, request, sender='other')) == [
        ('other', scheduling.Rejection)
    ]
    assert not state.queue.waiting


def test_unavailable_engines_are_sent_to_the_scheduler():
    request = make_request('a', unavailable=('d0',))
    decoded = scheduling.decode(scheduling.encode(request)).unwrap()
    assert decoded.unavailable == ('d0',)
