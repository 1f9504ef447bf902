"""An instance's copy of a topic, and what it accepts from peers."""

import math
import random

import pytest
from returns.maybe import Nothing, Some

from verbenahall.peers import PeerTable
from verbenahall.platform import KeyedRecord, encode_keyed
from verbenahall.roster import Roster
from verbenahall.store_relay import (
    Confirmation,
    Freshness,
    LocalTopic,
    Standby,
    StoreReachability,
    StoreSpacing,
    TopicCopy,
    TopicHandler,
    TopicState,
    decode_state,
    encode_body,
    encode_head,
)

TOPIC = 'keyed.servers'
UNREADABLE = b'?'


class RecordedTopic:
    """A local topic whose handlers record the content by key.

    ``changes`` holds the content of each changed record; a record whose content
    is ``UNREADABLE`` is not applied.
    """

    def __init__(self, *, newest_only=False):
        self.applied = {}
        self.changes = []
        freshness = Freshness(1.5)
        spacing = StoreSpacing(random.Random(1))
        now = self.read_clock
        self.local = LocalTopic(
            TopicHandler(
                TOPIC, self.apply_record, self.apply_all, 0, newest_only
            ),
            freshness,
            StoreReachability(TOPIC, freshness, Roster(), spacing, now),
            Standby(PeerTable('front-0'), TOPIC),
            now,
        )

    def read_clock(self):
        return 10.0

    def apply_record(self, keyed, _received):
        self.changes.append(keyed.content)
        is_readable = keyed.content != UNREADABLE
        if is_readable:
            self.applied[keyed.key] = keyed.content
        return is_readable

    def apply_all(self, items, _received):
        self.applied = dict(items)


def make_record(key, content=b'x'):
    return encode_keyed(KeyedRecord(key, content))


def make_whole(end, **items):
    records = [make_record(key, content) for key, content in items.items()]
    return TopicState(records, 0, end, is_whole=True)


@pytest.fixture
def topic():
    """Return a topic that was read whole up to offset 5."""
    found = RecordedTopic()
    found.local.apply_all({'a': b'1'}, 5, 'store')
    return found


def test_missing_records_are_applied_once(topic):
    # The answer overlaps with an update that arrived meanwhile.
    records = [make_record('a', b'2'), make_record('b', b'3')]
    topic.local.apply_records(records[:1], 5, 'peer')
    assert topic.local.apply_state(TopicState(records, 5, 7), None)
    assert (topic.applied, topic.local.position) == ({'a': b'2', 'b': b'3'}, 7)


def test_only_the_newest_of_many_manifests_is_applied():
    # Large manifests that were written in a row were all decoded, one after
    # the other, while the event loop stood still.
    topic = RecordedTopic(newest_only=True)
    topic.local.apply_all({}, 5, 'store')
    contents = (b'1', b'2', b'3', UNREADABLE)
    records = [make_record('a', content) for content in contents]
    topic.local.apply_records(records, 5, 'store')
    assert topic.changes == [UNREADABLE, b'3']
    assert (topic.applied, topic.local.position) == ({'a': b'3'}, 9)


@pytest.mark.parametrize('end', [3, 5])
def test_whole_topic_of_a_peer_that_lags_behind_is_ignored(topic, end):
    # It would bring back an older manifest, and keys that were revoked since.
    assert not topic.local.apply_state(make_whole(end, a=b'0'), None)
    assert (topic.applied, topic.local.position) == ({'a': b'1'}, 5)


def test_older_topic_is_ignored_after_the_store_has_deleted_history(topic):
    # Without a position, the first answer of any peer would be applied.
    topic.local.copy.discard()
    assert not topic.local.apply_state(make_whole(4, a=b'0'), None)
    assert topic.applied == {'a': b'1'}
    assert topic.local.apply_state(make_whole(6, a=b'2'), None)
    assert (topic.applied, topic.local.position) == ({'a': b'2'}, 6)


def test_records_after_a_gap_are_ignored(topic):
    state = TopicState([make_record('b')], 6, 7)
    assert not topic.local.apply_state(state, Confirmation(9.5))
    assert topic.local.position == 5


def test_confirmation_of_records_that_are_missing_here_does_not_count(topic):
    # An old list must not look new because a peer has a newer one.
    state = TopicState((), 7, 7)
    assert not topic.local.apply_state(state, Confirmation(9.5))
    assert not topic.local.freshness.is_known
    assert topic.local.apply_state(TopicState((), 5, 5), Confirmation(9.5))
    assert topic.local.freshness.confirmed_at == 9.5


def test_older_confirmation_does_not_count(topic):
    for at, is_newer in ((9, True), (8, False)):
        state = TopicState((), 5, 5)
        found = topic.local.apply_state(state, Confirmation(at))
        assert found == is_newer
    assert topic.local.freshness.confirmed_at == 9


def test_copy_holds_the_newest_record_of_each_key():
    copy = TopicCopy()
    copy.replace({'a': b'1', 'b': b'2'}, 4)
    for key, content in (('a', b'3'), ('b', b'')):
        record = make_record(key, content)
        copy.append(record, KeyedRecord(key, content))
    assert (dict(copy.items), copy.first, copy.end) == ({'a': b'3'}, 4, 6)
    assert list(copy.list_from(5)) == [make_record('b', b'')]


def test_copy_stays_bounded():
    copy = TopicCopy()
    copy.replace({}, 0)
    for _ in range(60):
        copy.append(bytes(50_000), None)
    assert (copy.end, copy.end - copy.first) == (60, 20)


def test_state_is_the_same_after_the_wire():
    records = (make_record('a'), make_record('b', bytes(5000)))
    for state in (
        TopicState(records, 4, 6, age_s=0.25, origin='front-1', hops=1),
        TopicState(records, 0, 9, is_whole=True, origin='front-1'),
    ):
        found = decode_state(encode_head(state), encode_body(state))
        assert found == Some(state)


@pytest.mark.parametrize(
    ('head', 'body'),
    [
        ('{}', encode_body(TopicState((), 0, 1))),
        (encode_head(TopicState((), 0, 1)), b''),
        (encode_head(TopicState((), 0, 1)), b'no zlib'),
        (
            encode_head(TopicState((), 0, 1)),
            encode_body(TopicState((), 0, 1))[:-3],
        ),
        (
            '{"whole": true, "ageMs": -1, "origin": "a", "hops": 0}',
            encode_body(TopicState((), 0, 1)),
        ),
        (
            '{"whole": true, "ageMs": 1, "origin": "a", "hops": -1}',
            encode_body(TopicState((), 0, 1)),
        ),
    ],
)
def test_malformed_answer_is_no_state(head, body):
    # A peer of another version, or a truncated answer.
    assert decode_state(head, body) == Nothing


def test_unknown_age_confirms_nothing():
    state = TopicState((), 0, 1, age_s=math.inf)
    assert math.isinf(
        decode_state(encode_head(state), encode_body(state)).unwrap().age_s
    )
