"""One queue for the requests of many instances."""

import dataclasses
import random

import pytest
from verbenahall import scheduling
from verbenahall.catalog import Service
from verbenahall.fleet import Role
from verbenahall.placement import Fleet, Part, PlacementState, Work
from verbenahall_standins.replay import TRAITS, make_entry

SOURCE = random.Random(7)
ENGINES = (
    make_entry('p0', Role.PREFILL),
    make_entry('d0', Role.DECODE),
)


@pytest.fixture
def state():
    """A scheduler that has not been asked yet."""
    return scheduling.SchedulerState(PlacementState(), since=0)


@pytest.fixture
def service():
    """The service whose engines it schedules."""
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


def ask(state, request, now=0.0, caller='10.0.0.1:7380'):
    """Have the scheduler take a request; return what it answers, by caller."""
    fleet = make_fleet(state)
    replies = scheduling.receive(state, request, caller, fleet, now, SOURCE)
    return [*replies, *scheduling.look(state, fleet, now, SOURCE)]


def kinds(replies):
    return [(reply.caller, type(reply.message)) for reply in replies]


def end(state, key, service, now):
    """End an assignment; return what the others are told."""
    scheduling.note(state, scheduling.Prefilled(key, 0.05), service, now)
    scheduling.note(state, scheduling.Released(key), service, now)
    return scheduling.look(state, make_fleet(state), now, SOURCE)


def test_first_request_is_assigned_at_once(state):
    reply = ask(state, make_request('a'))[0]

    assert reply.message.prefill == 'p0'
    assert reply.message.decode == 'd0'
    assert state.placement.ledger.local_totals('p0').reading == 3_000
    assert state.placement.ledger.local_totals('d0').streams == 1


def test_prompts_of_many_instances_wait_for_one_engine(state):
    """A hundred instances have a prompt each for the same engine.

    Each knowing only its own, they would send all of them at once, and every
    first event would come as late as the last one.
    """
    replies = [
        reply
        for number in range(100)
        for reply in ask(
            state,
            make_request(f'r{number}', due_s=9),
            caller=f'10.0.0.{number}:7380',
        )
    ]

    sent = [
        one for one in replies if isinstance(one.message, scheduling.Assignment)
    ]
    assert len(sent) < 4
    assert len(state.queue.waiting) == 100 - len(sent)


def test_urgent_request_of_another_instance_goes_first(state, service):
    """Both wait; the urgent one came last, through another instance."""
    ask(state, make_request('busy', due_s=9))
    while not state.queue.waiting:
        ask(state, make_request(f'busy-{len(state.assigned)}', due_s=9))
    ask(state, make_request('low', priority=2, due_s=9), caller='low')
    ask(state, make_request('high', priority=0, due_s=9), caller='high')
    told = []
    for key in tuple(state.assigned):
        told.extend(end(state, key, service, 0.1))

    callers = [one.caller for one in told]
    assert 'low' not in callers or callers.index('high') < callers.index('low')
    assert 'high' in callers


def test_copy_of_a_request_is_answered_and_not_counted_again(state):
    """An answer was lost, and the instance asks again."""
    first = ask(state, make_request('a'))
    again = ask(state, make_request('a'), now=0.25)

    assert list(again) == list(first)
    assert state.placement.ledger.local_totals('d0').streams == 1


def test_request_that_waits_is_told_so_each_time(state):
    """An instance learns by the answer that its scheduler still runs."""
    number = 0
    while not state.queue.waiting:
        ask(state, make_request(f'r{number}', due_s=9))
        number += 1
    key = state.queue.waiting[0].request
    replies = ask(state, make_request(key, due_s=9), now=0.25)

    assert kinds(replies) == [('10.0.0.1:7380', scheduling.Queued)]
    assert len(state.queue.waiting) == 1


def test_released_place_is_given_to_the_next(state, service):
    number = 0
    while not state.queue.waiting:
        ask(state, make_request(f'r{number}', due_s=9))
        number += 1
    told = [
        reply
        for key in tuple(state.assigned)
        for reply in end(state, key, service, 0.1)
    ]

    assert kinds(told) == [('10.0.0.1:7380', scheduling.Assignment)]


def test_caller_that_left_the_queue_is_not_assigned(state, service):
    """Its caller closed the connection while it waited."""
    number = 0
    while not state.queue.waiting:
        ask(state, make_request(f'r{number}', due_s=9))
        number += 1
    key = state.queue.waiting[0].request
    scheduling.note(state, scheduling.Released(key), service, 0.1)

    assert not state.queue.waiting
    assert not state.waiting


def test_instance_that_dies_gives_its_places_back_by_time(state):
    """It was killed with requests open, and tells nothing of their ends.

    Counted for ever, they would leave the engines idle.
    """
    ask(state, make_request('a'))
    scheduling.expire(state, 2)
    assert state.assigned

    scheduling.expire(state, 3.1)
    assert not state.assigned
    assert not state.placement.ledger.own()


def test_first_event_tells_that_the_prompt_is_read(state, service):
    """The message on the prefill itself was lost."""
    ask(state, make_request('a'))
    event = scheduling.FirstEvent('a', 0.1, 0.01)
    scheduling.note(state, event, service, 0.1)

    assert not state.placement.ledger.local_totals('p0').reading
    assert state.placement.ledger.local_totals('d0').streams == 1


def test_late_message_of_an_ended_assignment_changes_nothing(state, service):
    """Datagrams overtake each other."""
    ask(state, make_request('a'))
    end(state, 'a', service, 0.1)
    scheduling.note(state, scheduling.Prefilled('a', 0.1), service, 0.2)
    scheduling.note(state, scheduling.Released('a'), service, 0.2)

    assert not state.placement.ledger.own()


def test_request_that_cannot_be_served_in_time_is_rejected_at_once(state):
    """The queue is longer than the caller's patience."""
    for number in range(200):
        ask(state, make_request(f'r{number}', due_s=9))
    hurried = make_request('hurried', due_s=-1)
    hurried = dataclasses.replace(hurried, leaves_s=0.01)
    reply = ask(state, hurried, caller='hurried')[0]

    assert isinstance(reply.message, scheduling.Rejection)
    assert reply.message.kind == 'overloaded'
    assert reply.message.retry_after_s > 0


def test_learned_speed_comes_from_all_instances(state, service):
    """Each instance has timed one prefill; the scheduler knows of all."""
    before = state.placement.read_speed.samples
    for number in range(20):
        key = f'r{number}'
        ask(state, make_request(key), now=number)
        end(state, key, service, number + 0.1)

    assert state.placement.read_speed.samples == before + 20


def test_prefix_that_is_new_counts_as_work(state, service):
    """A prefix that nobody has asked for yet is prefilled whole.

    Taken for kept, the prompt looks short. Others are sent behind it, and
    their first events are late by the time of the prefix.
    """
    ask(state, make_request('first'), now=100)
    end(state, 'first', service, 100.5)
    known = ask(state, make_request('second'), now=101)[0]
    end(state, 'second', service, 101.5)
    new = make_request('third')
    work = Work((Part('new', 6_000), Part('own', 3_000)), 9_000, 2)
    unknown = ask(state, dataclasses.replace(new, work=work), now=102)[0]

    assert known.message.missing == 3_000
    assert unknown.message.missing == 9_000


def test_new_scheduler_takes_prefixes_for_kept(state):
    """It has followed another one, and does not know what engines keep.

    Taking all for new, it would refuse callers whose prompts are short.
    """
    reply = ask(state, make_request('first'), now=1)[0]

    assert reply.message.missing == 3_000


def test_requests_that_come_together_share_a_look(state):
    """Hundreds of requests a second come at the worst load.

    One look at the queue for each of them took all of a processor; answers
    came late, and instances asked other schedulers, who know no load.
    """
    fleet = make_fleet(state)
    answered = [
        scheduling.receive(
            state, make_request(f'r{number}', due_s=9), 'x', fleet, 0, SOURCE
        )
        for number in range(30)
    ]
    told = scheduling.look(state, fleet, 0, SOURCE)

    assert not any(answered)
    assert len(told) == 30
    assert {type(one.message) for one in told} == {
        scheduling.Assignment,
        scheduling.Queued,
    }
    assert not scheduling.look(state, fleet, 0.01, SOURCE)
