"""Ages of store topics in heartbeats, converted to the receiver's clock."""

from returns.maybe import Nothing, Some

from verbenahall import journal
from verbenahall.peers import (
    ConfirmedPosition,
    Heartbeat,
    PeerTable,
    add_peer,
    decode_message,
    encode_heartbeat,
    find_confirmation,
    record_heartbeat,
)
from verbenahall.peers._arrivals import ArrivalClock

TOPIC = 'keyed.servers'


def make_heartbeat(age_s=0.5):
    """Return a heartbeat of an instance that follows the topic."""
    return Heartbeat(
        'front-2', 1, {}, followed_positions={TOPIC: 7}, ages={TOPIC: age_s}
    )


def make_peer_table(confirmed):
    """Return a peer table with one peer, with the confirmed offset given."""
    peer_table = PeerTable('front-1')
    add_peer(peer_table, 'front-2', '10.0.0.2:7380')
    record_heartbeat(
        peer_table, 'front-2', 1, 10, {TOPIC: 7}, {TOPIC: confirmed}
    )
    return peer_table


def test_ages_are_encoded_and_decoded():
    assert decode_message(encode_heartbeat(make_heartbeat())) == Some(
        make_heartbeat()
    )


def test_heartbeat_with_an_invalid_age_is_rejected():
    """A peer of another version sends ages that are not numbers."""
    datagram = encode_heartbeat(make_heartbeat())
    assert decode_message(datagram.replace(b'0.5', b'"x"')) is Nothing
    assert decode_message(datagram.replace(b'0.5', b'null')) is Nothing


def test_heartbeat_of_an_earlier_version_confirms_nothing():
    """A release replaces instances one by one; the old ones send no ages."""
    heartbeat = Heartbeat('front-2', 1, {}, followed_positions={TOPIC: 7})
    assert not ArrivalClock(0.1).find_confirmations(heartbeat)


def test_age_counts_from_the_confirmation_and_not_from_the_arrival():
    """Otherwise a recent heartbeat would make an old list look new."""
    clock = ArrivalClock(0.1)
    for tick in (9.9, 10.0):
        clock.record_tick(tick)
    assert clock.find_confirmations(make_heartbeat(0.5)) == {
        TOPIC: ConfirmedPosition(7, 9.4),
    }


def test_heartbeat_that_waited_for_a_stalled_process_is_old():
    """A frozen process resumes and reads datagrams that arrived long before."""
    clock = ArrivalClock(0.1)
    for tick in (9.9, 10.0, 15.0):
        clock.record_tick(tick)
    assert clock.find_confirmations(make_heartbeat(0.5)) == {
        TOPIC: ConfirmedPosition(7, 9.5),
    }
    assert journal.recent[-1]['event'] == 'stalled'


def test_offset_before_the_confirmed_one_is_not_confirmed():
    """An update got lost: the peer has read records that are missing here."""
    peer_table = make_peer_table(ConfirmedPosition(7, 9))
    name = next(iter(peer_table.peers))
    assert find_confirmation(peer_table, TOPIC, 6) == (-float('inf'), '')
    assert find_confirmation(peer_table, TOPIC, 7) == (9, name)
    assert find_confirmation(peer_table, TOPIC, 8) == (9, name)
