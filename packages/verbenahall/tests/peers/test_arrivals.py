"""How old what a peer tells of the store is, by the hearer's own clock."""

from returns.maybe import Nothing, Some

from verbenahall import journal
from verbenahall.peers import (
    ConfirmedOffset,
    PeerBook,
    Heartbeat,
    decode_message,
    encode_heartbeat,
    find_confirmed_at,
    greet,
    hear,
)
from verbenahall.peers._arrivals import ArrivalClock

TOPIC = 'keyed.servers'


def make_word(age_s=0.5):
    """Return a follower's word."""
    return Heartbeat('front-2', 1, {}, followed={TOPIC: 7}, ages={TOPIC: age_s})


def make_book(confirmed):
    """Return a book with one peer that has told this."""
    book = PeerBook('front-1')
    greet(book, 'front-2', '10.0.0.2:7380')
    hear(book, 'front-2', 1, 10, {TOPIC: 7}, {TOPIC: confirmed})
    return book


def test_ages_survive_the_wire():
    assert decode_message(encode_heartbeat(make_word())) == Some(make_word())


def test_word_with_an_odd_age_is_none():
    """A peer of another version writes what is no age."""
    datagram = encode_heartbeat(make_word())
    assert decode_message(datagram.replace(b'0.5', b'"x"')) is Nothing
    assert decode_message(datagram.replace(b'0.5', b'null')) is Nothing


def test_word_of_an_earlier_version_confirms_nothing():
    """A release replaces instances one by one; the old ones tell no age."""
    word = Heartbeat('front-2', 1, {}, followed={TOPIC: 7})
    assert not ArrivalClock(0.1).find_confirmations(word)


def test_age_counts_from_the_store_and_not_from_the_hearing():
    """A heartbeat in time would otherwise make an old list look new."""
    clock = ArrivalClock(0.1)
    for tick in (9.9, 10.0):
        clock.record_tick(tick)
    assert clock.find_confirmations(make_word(0.5)) == {
        TOPIC: ConfirmedOffset(7, 9.4)
    }


def test_word_that_waited_for_a_stalled_process_is_old():
    """A frozen process reads, once it goes on, what came long before."""
    clock = ArrivalClock(0.1)
    for tick in (9.9, 10.0, 15.0):
        clock.record_tick(tick)
    assert clock.find_confirmations(make_word(0.5)) == {
        TOPIC: ConfirmedOffset(7, 9.5)
    }
    assert journal.recent[-1]['event'] == 'stalled'


def test_place_that_is_not_reached_is_not_confirmed():
    """News of a change got lost: what the peer knows is not known here."""
    book = make_book(ConfirmedOffset(7, 9))
    assert find_confirmed_at(book, TOPIC, 6) == -float('inf')
    assert find_confirmed_at(book, TOPIC, 7) == 9
    assert find_confirmed_at(book, TOPIC, 8) == 9
