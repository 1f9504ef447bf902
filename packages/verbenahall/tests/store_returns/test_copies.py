"""Copies, updates and confirmations of two eras, side by side."""

import random

import pytest

from verbenahall.peers import (
    PeerTable,
    add_peer,
    find_confirmation,
    record_heartbeat,
)
from verbenahall.peers._state import ConfirmedPosition
from verbenahall.platform import (
    KeyedRecord,
    StoreEra,
    encode_keyed,
    get_era,
    get_offset,
    make_position,
)
from verbenahall.roster import Entry, Roster, apply_list
from verbenahall.routing import rank_by_rendezvous
from verbenahall.store_relay import (
    Freshness,
    LocalTopic,
    Reason,
    Standby,
    StoreReachability,
    StoreSpacing,
    TopicHandler,
    TopicState,
    find_reason,
)

TOPIC = 'keyed.servers'
NEVER = -float('inf')
NAMES = rank_by_rendezvous(TOPIC, [f'front-{n}' for n in range(8)])
LAST = NAMES[-1]


class Instance:
    """An instance's copy of a topic, whose content is kept by key."""

    def __init__(self, name=LAST, end=None):
        self.applied = {}
        self.seconds = 10.0
        self.peer_table = PeerTable(name)
        self.store_era = StoreEra(self.read_clock)
        freshness = Freshness(1.5)
        self.roster = Roster()
        self.local = LocalTopic(
            TopicHandler(TOPIC, self.apply_record, self.apply_all, 0),
            freshness,
            StoreReachability(
                TOPIC,
                freshness,
                self.roster,
                StoreSpacing(random.Random(1)),
                self.read_clock,
            ),
            Standby(self.peer_table, TOPIC),
            self.read_clock,
        )
        if end is not None:
            self.local.apply_all({'a': b'1'}, end, 'store')

    def read_clock(self):
        return self.seconds

    def apply_record(self, keyed, _received):
        self.applied[keyed.key] = keyed.content

    def apply_all(self, items, received):
        self.applied = dict(items)
        self.received = received

    def receive(self, peer, position, at=None):
        """Receive the heartbeat of a peer that follows the topic."""
        add_peer(self.peer_table, peer, '10.0.0.1:7380')
        confirmed = {TOPIC: ConfirmedPosition(position, at)} if at else {}
        followed = {TOPIC: position}
        number = len(self.peer_table.peers) + int(self.seconds * 100)
        record_heartbeat(
            self.peer_table, peer, number, self.seconds, followed, confirmed
        )


def make_state(position, *records, **whole):
    content = [encode_keyed(KeyedRecord(*one)) for one in records]
    return TopicState(content, position, position + len(content), **whole)


@pytest.mark.parametrize(
    'earlier, later',
    [((1, 900), (2, 0)), ((0, 5), (1, 0)), ((7, 2**39), (8, 3))],
)
def test_positions_rise_over_eras(earlier, later):
    assert make_position(*earlier) < make_position(*later)
    assert get_era(make_position(*later)) == later[0]
    assert get_offset(make_position(*later) + 4) == later[1] + 4


def test_confirmation_of_an_earlier_era_covers_no_later_position():
    # Instances that were behind counted as current by a confirmation of lower
    # offsets.
    one = Instance(end=make_position(2, 3))
    one.receive('front-0', make_position(1, 2), at=9)
    table = one.peer_table
    assert find_confirmation(table, TOPIC, make_position(2, 3)) == (NEVER, '')
    assert find_confirmation(table, TOPIC, make_position(1, 3))[0] == 9


def test_higher_offset_of_an_earlier_era_is_superseded():
    # Instances skipped what followed the return as known.
    one = Instance(end=make_position(1, 900))
    one.receive('front-0', make_position(2, 4))
    view = one.local.describe()
    assert find_reason(view) is Reason.RETURNED
    whole = make_state(make_position(2, 4), ('a', b'2'), is_whole=True)
    assert one.local.apply_state(whole, None)
    assert one.applied == {'a': b'2'}
    assert find_reason(one.local.describe()) is None
    # Missing entries are written again within seconds.
    assert one.received.has_returned
    assert one.received.before is None


@pytest.mark.parametrize('is_whole', [True, False])
def test_topic_of_an_earlier_era_changes_nothing(is_whole):
    # A peer that is cut off from the store still sends its older copy.
    one = Instance(end=make_position(2, 4))
    old = make_state(make_position(1, 900), ('a', b'0'), is_whole=is_whole)
    assert not one.local.apply_state(old, None)
    one.local.apply_records(old.records, old.start, 'peer')
    one.local.copy.discard()
    assert not one.local.apply_state(old, None)
    assert one.applied == {'a': b'1'}


def test_update_of_a_later_era_does_not_touch_an_earlier_copy():
    one = Instance(end=make_position(1, 4))
    update = make_state(make_position(2, 4), ('a', b'2'))
    assert not one.local.apply_state(update, None)
    assert one.applied == {'a': b'1'}


@pytest.mark.parametrize('rank, waits', [(0, 0), (1, 0), (2, 5), (7, 15)])
def test_only_two_instances_read_the_new_era_at_once(rank, waits):
    # All instances would read all topics in the moment of the return.
    one = Instance(NAMES[rank], make_position(1, 9))
    for peer in NAMES:
        one.receive(peer, make_position(1, 9))
    one.store_era.read('1', 0)
    one.store_era.read('2', 1)
    steps = 0
    while one.local.may_await_copy(one.store_era):
        one.seconds += 0.1
        steps += 1
        for peer in NAMES:
            one.receive(peer, make_position(1, 9))
    assert abs(steps - waits) <= 1


def test_instance_without_a_return_awaits_no_copy():
    one = Instance(end=make_position(3, 9))
    one.store_era.read('3', 0)
    assert not one.local.may_await_copy(one.store_era)


def test_endpoint_of_an_older_copy_is_not_used_at_once():
    # An endpoint that had been removed was listed again, and used although it
    # had left.
    entry = Entry('e-1', 'pages', '10.0.0.9:80', 'lampeter', False, change=4)
    roster = Roster()
    apply_list(roster, [entry], [], 10)
    roster.remove('e-1')
    apply_list(roster, [entry], [], 11, has_returned=True)
    assert not roster.is_live('e-1', 12)
    assert roster.is_live('e-1', 17)
