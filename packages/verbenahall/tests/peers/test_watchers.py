"""Two of the instances that hear each other follow the store for the rest."""

import base64
import json
import random
import zlib

import pytest
from returns.maybe import Nothing, Some

from verbenahall.peers import (
    TopicUpdate,
    PeerBook,
    decode_message,
    encode_update,
    find_latest_offset,
    greet,
    hear,
    is_covered_by_peers,
    split_update,
)
from verbenahall.routing import rank_by_rendezvous

TOPIC = 'keyed.servers'
#: A record that no compression makes shorter.
LONG = random.Random(1).randbytes(9000)
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
    assert is_covered_by_peers(book, TOPIC, 10)


def test_first_two_instances_follow_whoever_else_does():
    # Were they relieved by those after them, and these by them, nobody would
    # follow the store, and a setting would take hold nowhere.
    for place in (0, 1):
        others = [name for name in NAMES if name != NAMES[place]]
        assert not is_covered_by_peers(
            make_book(NAMES[place], follow(*others)), TOPIC, 10
        )


def test_watcher_that_falls_silent_is_made_up_for():
    # A watcher is killed, frozen or cut off. Relying on it any longer, an
    # instance would serve an old manifest for as long as it is away.
    book = make_book(NAMES[2], follow(*NAMES[:2]))
    hear(book, NAMES[0], 2, 11, {TOPIC: 7})
    assert not is_covered_by_peers(book, TOPIC, 11.5)


def test_watcher_that_the_store_refuses_is_made_up_for():
    # The store answers some machines and not others. A watcher that it does
    # not answer is heard as well as ever, and learns of no change.
    words = {**follow(NAMES[0]), NAMES[1]: {}}
    assert not is_covered_by_peers(make_book(NAMES[2], words), TOPIC, 10)


def test_topics_are_followed_apart():
    words = {name: {'keyed.op': 3} for name in NAMES[:2]}
    assert not is_covered_by_peers(make_book(NAMES[2], words), TOPIC, 10)


def test_furthest_is_told_by_those_in_touch():
    words = {NAMES[0]: {TOPIC: 7}, NAMES[1]: {TOPIC: 9}, NAMES[3]: {}}
    book = make_book(NAMES[2], words)
    assert find_latest_offset(book, TOPIC, 10) == 9
    assert find_latest_offset(book, TOPIC, 12) == 0


def test_news_survive_the_wire():
    news = TopicUpdate(TOPIC, 4, [b'\x03i-1{}', b'\xff'], 6, after_outage=True)
    assert decode_message(encode_update(news)) == Some(news)


def test_news_are_split_to_fit_datagrams():
    source = random.Random(2)
    records = [source.randbytes(300) for _ in range(8)]
    parts = split_update(TopicUpdate(TOPIC, 5, records, 13))
    assert all(len(encode_update(part)) < 1400 for part in parts)
    assert [one for part in parts for one in part.records] == records
    starts = [part.start for part in parts]
    assert starts == [5, *(part.end for part in parts[:-1])]
    assert parts[-1].end == 13


def test_record_that_fits_no_datagram_is_told_by_its_end():
    parts = split_update(TopicUpdate(TOPIC, 5, [b'a', LONG, b'c'], 8))
    assert [list(part.records) for part in parts] == [[b'a'], [], [b'c']]
    assert [part.end for part in parts] == [6, 7, 8]


def test_manifest_is_told_whole():
    """The operators change a manifest of some kilobytes.

    Told only that there is a new one, each instance of a large fleet would
    read it from the store.
    """
    manifest = random.Random(3).randbytes(4000)
    parts = split_update(TopicUpdate(TOPIC, 5, [b'a', manifest, b'c'], 8))
    assert [one for part in parts for one in part.records] == [
        b'a',
        manifest,
        b'c',
    ]


@pytest.mark.parametrize(
    'datagram',
    [
        b'{"topic":"t","start":1,"records":["%"],"end":2,"cut":false}',
        b'{"topic":"t","start":1,"records":[5],"end":2,"cut":false}',
        b'{"topic":"t","start":1,"records":"%","end":2,"cut":false}',
        b'{"topic":"t","start":1,"records":"AAAA","end":2,"cut":false}',
        b'{"topic":"t","start":"1","records":[],"end":2,"cut":false}',
        b'{"topic":"t","start":1,"records":[],"end":2}',
    ],
)
def test_odd_news_are_none(datagram):
    # Another version's news, taken in part, would skip records: the place of
    # the next one would be wrong from then on.
    assert decode_message(datagram) is Nothing


def pack(framed):
    """Return a datagram of news with records framed by hand."""
    records = base64.b64encode(zlib.compress(framed)).decode()
    table = {'topic': 't', 'start': 1, 'end': 2, 'cut': False}
    return json.dumps({**table, 'records': records}).encode()


def test_record_that_is_cut_short_is_no_news():
    assert decode_message(pack(b'\0\0\0\x05abc')) is Nothing


def test_datagram_that_would_fill_the_memory_is_no_news():
    """A broken or hostile datagram unpacks to a thousand times its size."""
    assert decode_message(pack(bytes(50_000_000))) is Nothing


def make_entry(number):
    """Return an engine's record as the platform writes it."""
    port = 8000 + 37 * number
    entry = {
        'service': 'drafting-llm',
        'address': f'10.1.64.{number}:{port}',
        'zone': 'lampeter',
        'version': 'v1',
        'slots': 12,
        'state': 'ready',
        'coldLeftMs': 0,
        'born': 1_796_275_730_806 + 211 * number,
        'seq': 1,
        'stage': 'decode',
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    }
    return b'\x0ci-%010x' % (number * 7919) + json.dumps(entry).encode()


def test_engines_that_start_together_are_few_datagrams():
    """A large fleet starts, and forty engines are listed within a second.

    Followers tell each peer of all of them. In ten datagrams for each they
    filled the link, got lost, and every peer read them from the store.
    """
    records = [make_entry(number) for number in range(40)]
    parts = split_update(TopicUpdate(TOPIC, 0, records, 40))

    assert len(parts) <= 3
    assert [one for part in parts for one in part.records] == records
