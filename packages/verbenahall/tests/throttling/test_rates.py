"""Rates that endpoints name: what is read, kept, permitted and told."""

import pytest
from returns.maybe import Nothing, Some

from verbenahall.peers import PeerBook, greet, hear
from verbenahall.throttling import (
    Denial,
    Permit,
    PermitRequest,
    RateNotice,
    RateTable,
    choose_limiter,
    decode,
    encode,
    find_share,
    note_no_rate,
    note_rate,
    permit,
    read_rate,
    take_notice,
)

START = 'e/1'


@pytest.mark.parametrize(
    ('texts', 'rate'),
    [
        (['2.5'], Some(2.5)),
        ([' 3 '], Some(3)),
        (['4', '2.5'], Some(2.5)),
        (['x', '2.5'], Some(2.5)),
        (['0.0001'], Some(0.2)),
        (['1e300'], Some(1e6)),
        ([], Nothing),
        ([''], Nothing),
        (['0'], Nothing),
        (['-1'], Nothing),
        (['nan'], Nothing),
        (['inf'], Nothing),
        (['two'], Nothing),
    ],
)
def test_rate_that_makes_no_sense_neither_stops_nor_frees(texts, rate):
    assert read_rate(texts) == rate


def test_answer_to_an_older_request_does_not_end_a_rate():
    """An answer from before the naming may come after it."""
    table = RateTable()
    note_rate(table, START, 2, 10)
    assert not note_no_rate(table, START, 9.9)
    assert START in table.rates
    assert note_no_rate(table, START, 10.1)
    assert START not in table.rates


def test_rate_that_is_told_again_is_as_old_as_before():
    """Else each notice would put off the end of a rate."""
    table = RateTable()
    note_rate(table, START, 2, 10)
    assert not take_notice(table, RateNotice(START, 2), 20)
    assert note_no_rate(table, START, 11)


def test_permits_are_spaced_and_not_saved_up():
    """An endpoint that was idle for a minute gets sixty requests at once."""
    table = RateTable()
    permits = 0
    for step in range(1000):
        request = PermitRequest(step, START, 2, 0)
        now = 100 + step * 0.01
        permits += isinstance(permit(table, request, 1, now), Permit)
    assert permits in {19, 20}
    assert isinstance(
        permit(table, PermitRequest(0, START, 2, 0), 1, 200), Permit
    )
    denied = permit(table, PermitRequest(0, START, 2, 0), 1, 200)
    assert denied == Denial(0, 0.5)


def test_waiting_requests_take_turns():
    table = RateTable()
    waits = [
        permit(table, PermitRequest(key, START, 2, 2.2), 1, 10).wait_s
        for key in range(6)
    ]
    assert waits == [0.5, 1, 1.5, 2, 2.5, 2.5]


def make_book(name, heard, now, count=4):
    """Return a book of so many instances, some of them heard."""
    names = [f'front-{number}' for number in range(count)]
    book = PeerBook(name, 'here')
    for number, other in enumerate(names):
        greet(book, other, f'10.0.0.{number}:1', 'here')
        if other in heard and other != name:
            hear(book, other, 1, now)
    return book


def test_instances_that_hear_each_other_agree_who_permits():
    names = [f'front-{number}' for number in range(4)]
    chosen = {
        choose_limiter(RateTable(), make_book(name, names, 9), START, '', 10)
        for name in names
    }
    assert len(chosen) == 1


def test_heard_instance_is_not_passed_over_for_a_lost_answer():
    """The next one would give permits beside it."""
    names = [f'front-{number}' for number in range(4)]
    book = make_book('front-0', names, 9.5)
    first = choose_limiter(RateTable(), book, START, '', 10).unwrap()
    table = RateTable()
    table.silent[first] = 9.9
    assert choose_limiter(table, book, START, '', 10) == Some(first)


def test_instance_that_is_heard_no_more_is_passed_over():
    names = [f'front-{number}' for number in range(4)]
    book = make_book('front-0', names, 9.5)
    first = choose_limiter(RateTable(), book, START, '', 10).unwrap()
    for number, name in enumerate(names):
        if name not in {first, 'front-0'}:
            hear(book, name, 10 + number, 11)
    assert choose_limiter(RateTable(), book, START, '', 11) != Some(first)


def test_far_instance_that_does_not_answer_is_passed_over():
    """Instances of other data centres are not heard in a large fleet."""
    book = make_book('front-0', (), 0, count=30)
    for name in ('far-1', 'far-2'):
        greet(book, name, '10.9.0.1:1', 'there')
    first = choose_limiter(RateTable(), book, START, 'there', 10).unwrap()
    table = RateTable()
    table.silent[first] = 9.9
    second = choose_limiter(table, book, START, 'there', 10).unwrap()
    assert {first, second} == {'far-1', 'far-2'}


def test_part_that_is_cut_off_permits_a_part():
    """Two parts that each permit all send twice what the endpoint takes."""
    names = [f'front-{number}' for number in range(4)]
    whole = make_book('front-0', names, 9.5)
    part = make_book('front-0', names, 5)
    hear(part, 'front-1', 2, 9.5)
    assert find_share(part, 10) == find_share(whole, 10) / 2


def test_far_data_centre_permits_nothing_itself():
    """Many instances that hear nobody of the endpoint's data centre."""
    book = make_book('front-0', (), 0, count=30)
    assert choose_limiter(RateTable(), book, START, 'there', 10) is Nothing


@pytest.mark.parametrize(
    'message',
    [
        PermitRequest(1, START, 2.5, 0.5),
        Permit(2, 0.25),
        Denial(3, 1.5),
        RateNotice(START, 2.5),
        RateNotice(START, 0),
    ],
)
def test_message_survives_its_encoding(message):
    assert decode(encode(message)) == Some(message)


@pytest.mark.parametrize(
    'datagram',
    [
        b'',
        b'{"from":"front-1"}',
        b'{"throttle":"rate"}',
        b'{"throttle":"other","key":1}',
        b'{"throttle":"rate","endpoint":"e","rate":-1}',
        b'{"throttle":"ask","key":1,"endpoint":"e","rate":0,"longest_s":1}',
        b'{"throttle":"permit","key":"x","wait_s":1}',
        b'{"throttle":["ask"]}',
    ],
)
def test_unreadable_message_is_not_believed(datagram):
    assert decode(datagram) is Nothing
