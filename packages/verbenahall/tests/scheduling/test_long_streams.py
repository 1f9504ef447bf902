"""Long streams that hold all slots of the decode engines of a group."""

from verbenahall import scheduling

from .stream_fleet import (
    ABANDON_S,
    LONG,
    SHORT,
    STEP_S,
    StreamFleet,
    count_outcomes,
    list_unserved,
    make_engines,
    make_work,
)

SUBJECTS = [f'form-{number}' for number in range(12)]
#: Output tokens of streams that hold their slots for the whole test.
HOLDING = 40_000


def fill_group(fleet, group, count=6, output=HOLDING):
    """Start streams whose prompts belong to a group."""
    names = (f'holding-{number}' for number in range(1000))
    belonging = [
        name
        for name in names
        if scheduling.rank_groups(make_work(name), fleet.entries, 'a')[0]
        == group
    ]
    for number, name in enumerate(belonging[:count]):
        fleet.add(LONG, name, 0.5 + 0.01 * number, output)


def send_steadily(fleet, kind, subjects, end, every_s, start=1):
    """Add a request of each subject per interval; return the requests."""
    first = len(fleet.requests)
    count = int((end - start) / every_s)
    for number in range(count):
        for index, subject in enumerate(subjects):
            at = start + every_s * (number + index / len(subjects))
            fleet.add(kind, subject, at)
    return fleet.requests[first:]


def test_subjects_of_a_full_group_are_served_by_another():
    # All slots of one data centre are taken for long. The callers whose prompt
    # belongs there leave each time, while another data centre has free slots.
    fleet = StreamFleet(make_engines({'a': 5, 'b': 5}, {'a': 1, 'b': 3}))
    fill_group(fleet, 'a/0')
    sent = send_steadily(fleet, LONG, SUBJECTS, 11, 2.5)
    fleet.run(18)
    assert not list_unserved(sent)
    assert count_outcomes(sent)['served'] > 0.95 * len(sent)


def test_request_without_a_slot_in_time_is_refused_at_once():
    # No slot becomes free before its caller leaves, so waiting for one at the
    # engine costs the caller two seconds and can't succeed.
    fleet = StreamFleet(make_engines({'a': 5}, {'a': 1}))
    fill_group(fleet, 'a/0')
    sent = send_steadily(fleet, LONG, SUBJECTS, 6, 2.5)
    fleet.run(9)
    assert count_outcomes(sent) == {'refused': len(sent)}
    assert max(one.ended_at - one.at for one in sent) < 0.1


def test_request_with_a_slot_in_time_waits_for_it():
    # The slots are full, but the first stream ends before the caller leaves.
    # Streams before have shown how long a token takes.
    fleet = StreamFleet(make_engines({'a': 5}, {'a': 1}))
    send_steadily(fleet, SHORT, SUBJECTS, 0.2, 0.2, start=0)
    fill_group(fleet, 'a/0', output=int(1.5 / STEP_S))
    fleet.add(LONG, 'form', 1)
    fleet.run(4)
    request = fleet.requests[-1]
    assert 0 < request.first_at - request.at < ABANDON_S


def test_short_urgent_streams_do_not_count_as_full():
    # More streams than slots are open at an engine, but each is so short that
    # the next one starts in time.
    fleet = StreamFleet(make_engines({'a': 5}, {'a': 1}))
    sent = send_steadily(fleet, SHORT, SUBJECTS, 6, 0.2)
    fleet.run(9)
    assert count_outcomes(sent)['served'] == len(sent)


def list_belonging(fleet, group, count):
    """Return subjects whose prompts belong to a group."""
    names = (f'check-{number}' for number in range(1000))
    belonging = [
        name
        for name in names
        if scheduling.rank_groups(make_work(name, SHORT), fleet.entries, 'a')[0]
        == group
    ]
    return belonging[:count]


def test_urgent_streams_that_take_all_slots_do_not_cut_long_ones():
    # Urgent streams follow each other so fast that a less urgent one gets no
    # slot, or loses it again and again. Its caller leaves, while another data
    # centre has free slots.
    fleet = StreamFleet(make_engines({'a': 5, 'b': 5}, {'a': 1, 'b': 3}))
    urgent = list_belonging(fleet, 'a/0', 12)
    send_steadily(fleet, SHORT, urgent, 14, 12 / 68, start=0)
    sent = send_steadily(fleet, LONG, SUBJECTS, 11, 2.5)
    fleet.run(18)
    assert not list_unserved(sent)
    assert count_outcomes(sent)['left'] < 0.1 * len(sent)
