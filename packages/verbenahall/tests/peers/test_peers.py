"""Instances hear each other's open work, and are told at a bounded rate."""

import pytest
from returns.maybe import Nothing, Some

from verbenahall.peers import (
    PeerBook,
    Heartbeat,
    choose_due,
    decode_message,
    encode_heartbeat,
    greet,
    hear,
)
from verbenahall.peers import _state as state
from verbenahall.placement import Ledger, Totals


def test_word_survives_the_wire():
    word = Heartbeat(
        'front-1',
        7,
        {'engine-1': Totals(5, 600, 2)},
        followed={'keyed.op': 4},
    )
    assert decode_message(encode_heartbeat(word)) == Some(word)


@pytest.mark.parametrize(
    'datagram',
    [b'', b'\xff\xfe', b'[]', b'{"from":"a"}', b'{"from":"a","n":1,"load":3}'],
)
def test_other_datagrams_are_no_words(datagram):
    assert decode_message(datagram) is Nothing


@pytest.mark.parametrize(
    'field',
    [
        b'"load":{"e":[1,2,3,4]}',
        b'"load":{"e":["x",2,3]}',
        b'"speed":["fast"]',
        b'"speed":[null]',
        b'"changing":[["engine-1"]]',
        b'"changing":[5]',
        b'"followed":{"keyed.op":"4"}',
        b'"followed":[]',
    ],
)
def test_word_with_an_odd_field_is_no_word(field):
    # An instance of another version sends a field of another form. Raised in
    # the receiving socket's callback, the error would end up in no line of
    # ours, with half of the word believed.
    given = field.split(b':')[0]
    others = (
        b'"load":{}',
        b'"changing":[]',
        b'"speed":[]',
        b'"followed":{}',
    )
    kept = [one for one in others if not one.startswith(given)]
    start = [b'"from":"a"', b'"n":1', b'"dc":"z"']
    datagram = b'{%b}' % b','.join([*start, *kept, field])
    assert decode_message(datagram) is Nothing


def test_known_peer_moves_when_no_more_are_remembered(monkeypatch):
    # As many peers as are remembered are known, and the machine of one is
    # replaced. Told at its old address, it would never hear this instance
    # again.
    monkeypatch.setattr(state, '_MAX_PEERS', 1)
    book = PeerBook('front-1')
    greet(book, 'front-2', '10.0.0.2:7380')
    greet(book, 'front-3', '10.0.0.3:7380')
    greet(book, 'front-2', '10.0.0.9:7380')
    assert list(choose_due(book, 0)) == ['10.0.0.9:7380']


def test_overtaken_word_is_dropped():
    # Two datagrams swap places on the way. Believing the older one, an
    # instance thinks an engine idle that has just been given a long prompt.
    book = PeerBook('front-1')
    greet(book, 'front-2', '10.0.0.2:7380')
    assert hear(book, 'front-2', 5, 1)
    assert not hear(book, 'front-2', 4, 1.1)


def test_restarted_peer_is_heard_again():
    # A peer starts again and counts from zero. Held against its old count it
    # would not be heard for as long as it had run before.
    book = PeerBook('front-1')
    greet(book, 'front-2', '10.0.0.2:7380')
    hear(book, 'front-2', 500, 1)
    assert hear(book, 'front-2', 0, 1.5)
    assert hear(book, 'front-2', 1, 1.6)


def test_own_name_is_no_peer():
    book = PeerBook('front-1')
    greet(book, 'front-1', '10.0.0.1:7380')
    assert not book.peers


def test_replaced_machine_is_told_at_its_new_address():
    book = PeerBook('front-1')
    greet(book, 'front-2', '10.0.0.2:7380')
    greet(book, 'front-2', '10.0.0.9:7380')
    assert list(choose_due(book, 0)) == ['10.0.0.9:7380']


def test_silent_peer_is_told_seldom():
    # A machine is gone for good. Told as often as the others it would cost
    # datagrams for ever; never told, it could not be found again after a cut.
    book = PeerBook('front-1')
    greet(book, 'gone', '10.0.0.2:7380')
    greet(book, 'there', '10.0.0.3:7380')
    told = []
    for tick in range(100):
        hear(book, 'there', tick + 1, tick / 10)
        told.extend(choose_due(book, tick / 10))
    assert told.count('10.0.0.2:7380') <= 6
    assert told.count('10.0.0.3:7380') >= 80


def test_rate_is_bounded_with_many_peers():
    book = PeerBook('front-1')
    for number in range(90):
        greet(book, f'p{number}', f'10.0.0.{number}:7380')
        hear(book, f'p{number}', 0, 0)
    told = 0
    for tick in range(1, 21):
        for number in range(90):
            hear(book, f'p{number}', tick, tick / 10)
        told += len(list(choose_due(book, tick / 10)))
    assert told <= 90 * 5


def test_silent_peers_word_is_forgotten():
    # An instance is killed with much work open. Its last word would keep
    # engines looking busy that have long been idle.
    ledger = Ledger()
    ledger.hear('front-2', {'engine-1': Totals(9000)}, now=1)
    assert ledger.totals('engine-1').reading == 9000
    ledger.forget_silent(3)
    assert not ledger.totals('engine-1').reading


def test_ledger_counts_own_sends_until_they_end():
    ledger = Ledger()
    flight = ledger.open('engine-1', Totals(100, 200, 1))
    ledger.hear('front-2', {'engine-1': Totals(10, 20, 1)}, now=1)
    assert ledger.totals('engine-1') == Totals(110, 220, 2)
    ledger.close(flight)
    ledger.close(flight)
    assert ledger.totals('engine-1') == Totals(10, 20, 1)
    assert not ledger.own()
