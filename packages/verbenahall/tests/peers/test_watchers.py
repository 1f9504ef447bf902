"""Two of the instances that hear each other follow the store for the rest."""

import pytest
from returns.maybe import Nothing, Some

from verbenahall.peers import (
    News,
    PeerBook,
    decode_message,
    encode_news,
    find_furthest,
    greet,
    hear,
    is_relieved,
    split_news,
)
from verbenahall.routing import rank_by_rendezvous

TOPIC = 'keyed.servers'
NAMES = rank_by_rendezvous(TOPIC, [f'front-{n}' for n in range(5)])


def make_book(name, words, now=10):
    """Return a book that has heard words: name, what it follows."""
    book = PeerBook(name)
    for number, (peer, followed) in enumerate(words.items()):
        greet(book, peer, f'10.0.0.{number}:7380')
        hear(book, peer, 1, now, followed)
    return book


def follow(*names):
    """Return words of peers that are in touch with the store."""
    return {name: {TOPIC: 7} for name in names}


def test_third_instance_is_relieved_by_the_two_before_it():
    book = make_book(NAMES[2], follow(*NAMES[:2]))
    assert is_relieved(book, TOPIC, 10)


def test_first_two_instances_follow_whoever_else_does():
    # Were they relieved by those after them, and these by them, nobody would
    # follow the store, and a setting would take hold nowhere.
    for place in (0, 1):
        others = [name for name in NAMES if name != NAMES[place]]
        assert not is_relieved(
            make_book(NAMES[place], follow(*others)), TOPIC, 10
        )


def test_watcher_that_falls_silent_is_made_up_for():
    # A watcher is killed, frozen or cut off. Relying on it any longer, an
    # instance would serve an old manifest for as long as it is away.
    book = make_book(NAMES[2], follow(*NAMES[:2]))
    hear(book, NAMES[0], 2, 11, {TOPIC: 7})
    assert not is_relieved(book, TOPIC, 11.5)


def test_watcher_that_the_store_refuses_is_made_up_for():
    # The store answers some machines and not others. A watcher that it does
    # not answer is heard as well as ever, and learns of no change.
    words = {**follow(NAMES[0]), NAMES[1]: {}}
    assert not is_relieved(make_book(NAMES[2], words), TOPIC, 10)


def test_topics_are_followed_apart():
    words = {name: {'keyed.op': 3} for name in NAMES[:2]}
    assert not is_relieved(make_book(NAMES[2], words), TOPIC, 10)


def test_furthest_is_told_by_those_in_touch():
    words = {NAMES[0]: {TOPIC: 7}, NAMES[1]: {TOPIC: 9}, NAMES[3]: {}}
    book = make_book(NAMES[2], words)
    assert find_furthest(book, TOPIC, 10) == 9
    assert find_furthest(book, TOPIC, 12) == 0


def test_news_survive_the_wire():
    news = News(TOPIC, 4, [b'\x03i-1{}', b'\xff'], 6, cut=True)
    assert decode_message(encode_news(news)) == Some(news)


def test_news_are_split_to_fit_datagrams():
    records = [bytes([number]) * 300 for number in range(8)]
    parts = split_news(News(TOPIC, 5, records, 13))
    assert all(len(encode_news(part)) < 1400 for part in parts)
    assert [one for part in parts for one in part.records] == records
    starts = [part.start for part in parts]
    assert starts == [5, *(part.end for part in parts[:-1])]
    assert parts[-1].end == 13


def test_record_that_fits_no_datagram_is_told_by_its_end():
    parts = split_news(News(TOPIC, 5, [b'a', b'x' * 5000, b'c'], 8))
    assert [list(part.records) for part in parts] == [[b'a'], [], [b'c']]
    assert [part.end for part in parts] == [6, 7, 8]


@pytest.mark.parametrize(
    'datagram',
    [
        b'{"topic":"t","start":1,"records":["%"],"end":2,"cut":false}',
        b'{"topic":"t","start":1,"records":[5],"end":2,"cut":false}',
        b'{"topic":"t","start":"1","records":[],"end":2,"cut":false}',
        b'{"topic":"t","start":1,"records":[],"end":2}',
    ],
)
def test_odd_news_are_none(datagram):
    # Another version's news, taken in part, would skip records: the place of
    # the next one would be wrong from then on.
    assert decode_message(datagram) is Nothing
