"""The stand-in of the store loses what was written since a copy."""

from verbenahall_standins.platform import StoreStandIn


def test_return_loses_writes_and_gives_offsets_again():
    store = StoreStandIn()
    store.put('keyed.leases', 'a', b'1')
    copy = store.take_copy()
    lost = store.put('keyed.leases', 'b', b'2')
    store.return_from(copy)
    assert store.era == 2
    assert store.newest('keyed.leases') == {'a': b'1'}
    assert store.put('keyed.leases', 'c', b'3') == lost


def test_writes_of_others_come_again():
    # A soak in which an endpoint's leaving stayed lost would find faults that
    # the platform does not have.
    store = StoreStandIn()
    for key, content in (('a', b'1'), ('b', b'1'), ('c', b'1')):
        store.put('keyed.servers', key, content)
    copy = store.take_copy()
    store.put('keyed.servers', 'a', b'2')
    store.put('keyed.servers', 'b', b'')
    store.put('keyed.servers', 'c', b'2')
    store.put('keyed.servers', 'd', b'1')
    lost = store.take_copy()
    store.return_from(copy)
    store.put('keyed.servers', 'c', b'3')
    store.write_again(lost)
    assert store.newest('keyed.servers') == {'a': b'2', 'c': b'3', 'd': b'1'}
