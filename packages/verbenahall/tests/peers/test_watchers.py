"""Two of the instances that exchange heartbeats follow each store topic."""

import base64
import json
import random
import zlib

import pytest
from returns.maybe import Nothing, Some

from verbenahall.peers import (
    PeerTable,
    TopicUpdate,
    add_peer,
    decode_message,
    encode_update,
    find_latest_position,
    is_covered_by_peers,
    record_heartbeat,
    split_update,
)
from verbenahall.routing import rank_by_rendezvous

TOPIC = 'keyed.servers'
#: A record that doesn't compress.
LONG = random.Random(1).randbytes(9000)
NAMES = rank_by_rendezvous(TOPIC, [f'front-{n}' for n in range(5)])


def make_peer_table(name, heartbeats, now=10):
    """Return a peer table with heartbeats: name -> followed topics."""
    peer_table = PeerTable(name)
    for number, (peer, followed_positions) in enumerate(heartbeats.items()):
        add_peer(peer_table, peer, f'10.0.0.{number}:7380')
        record_heartbeat(peer_table, peer, 1, now, followed_positions)
    return peer_table


def follow(*names):
    """Return heartbeats of peers that follow the topic."""
    return {name: {TOPIC: 7} for name in names}


def test_third_instance_is_covered_by_the_two_before_it():
    peer_table = make_peer_table(NAMES[2], follow(*NAMES[:2]))
    assert is_covered_by_peers(peer_table, TOPIC, 10)


def test_first_two_instances_always_follow():
    # If they relied on lower-ranked instances, and those on them, no instance
    # would follow the store, and no change of a setting would take effect.
    for place in (0, 1):
        others = [name for name in NAMES if name != NAMES[place]]
        assert not is_covered_by_peers(
            make_peer_table(NAMES[place], follow(*others)), TOPIC, 10
        )


def test_unresponsive_follower_is_replaced():
    # A follower is killed, frozen or cut off. An instance that still relied on
    # it would serve by an old manifest until the follower is back.
    peer_table = make_peer_table(NAMES[2], follow(*NAMES[:2]))
    record_heartbeat(peer_table, NAMES[0], 2, 11, {TOPIC: 7})
    assert not is_covered_by_peers(peer_table, TOPIC, 11.5)


def test_follower_without_answers_of_the_store_is_replaced():
    # The store answers some machines and not others. A follower that gets no
    # answers still sends heartbeats, but receives no changes.
    heartbeats = {**follow(NAMES[0]), NAMES[1]: {}}
    assert not is_covered_by_peers(
        make_peer_table(NAMES[2], heartbeats), TOPIC, 10
    )


def test_each_topic_has_its_own_followers():
    heartbeats = {name: {'keyed.op': 3} for name in NAMES[:2]}
    assert not is_covered_by_peers(
        make_peer_table(NAMES[2], heartbeats), TOPIC, 10
    )


def test_latest_offset_is_that_of_live_followers():
    heartbeats = {NAMES[0]: {TOPIC: 7}, NAMES[1]: {TOPIC: 9}, NAMES[3]: {}}
    peer_table = make_peer_table(NAMES[2], heartbeats)
    assert find_latest_position(peer_table, TOPIC, 10) == 9
    assert find_latest_position(peer_table, TOPIC, 12) == 0


def test_update_is_encoded_and_decoded():
    update = TopicUpdate(
        TOPIC,
        4,
        [b'\x03i-1{}', b'\xff'],
        6,
        after_outage=True,
    )
    assert decode_message(encode_update(update)) == Some(update)


def test_update_is_split_to_fit_datagrams():
    source = random.Random(2)
    records = [source.randbytes(300) for _ in range(8)]
    parts = split_update(TopicUpdate(TOPIC, 5, records, 13))
    assert all(len(encode_update(part)) < 1400 for part in parts)
    assert [one for part in parts for one in part.records] == records
    starts = [part.start for part in parts]
    assert starts == [5, *(part.end for part in parts[:-1])]
    assert parts[-1].end == 13


def test_record_that_fits_no_datagram_is_counted_in_the_end():
    parts = split_update(TopicUpdate(TOPIC, 5, [b'a', LONG, b'c'], 8))
    assert [list(part.records) for part in parts] == [[b'a'], [], [b'c']]
    assert [part.end for part in parts] == [6, 7, 8]


def test_manifest_is_sent_whole():
    """The operators change a manifest of some kilobytes.

    If peers were only informed of the new offset, each instance of a large
    fleet would read the manifest from the store.
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
def test_invalid_update_is_rejected(datagram):
    # An update of another version that is applied in part would skip records:
    # the next offset would be wrong from then on.
    assert decode_message(datagram) is Nothing


def pack(framed):
    """Return an update as a datagram, with records framed by the caller."""
    records = base64.b64encode(zlib.compress(framed)).decode()
    table = {'topic': 't', 'start': 1, 'end': 2, 'cut': False}
    return json.dumps({**table, 'records': records}).encode()


def test_update_with_a_truncated_record_is_rejected():
    assert decode_message(pack(b'\0\0\0\x05abc')) is Nothing


def test_datagram_that_decompresses_to_too_much_is_rejected():
    """A broken or hostile datagram grows a thousandfold when decompressed."""
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


def test_engines_that_start_together_take_few_datagrams():
    """A large fleet starts, and forty engines are listed within a second.

    Followers send all of them to each peer. In ten datagrams per peer they
    saturated the link, got lost, and every peer read them from the store.
    """
    records = [make_entry(number) for number in range(40)]
    parts = split_update(TopicUpdate(TOPIC, 0, records, 40))

    assert len(parts) <= 3
    assert [one for part in parts for one in part.records] == records
