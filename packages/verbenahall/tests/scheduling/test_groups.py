"""Groups of engines, and the instances that schedule them."""

import collections

import pytest
from verbenahall.fleet import Role
from verbenahall.peers import PeerTable, add_peer, record_heartbeat
from verbenahall.placement import Part, Work
from verbenahall.roster import Entry
from verbenahall.scheduling import (
    SchedulerHealth,
    list_group_engines,
    rank_groups,
    rank_schedulers,
)

DATA_CENTRES = ('ain', 'sidi', 'fes')


def make_engine(name, data_centre, role=Role.PREFILL):
    return Entry(
        name, 'reader', '10.0.0.1:80', data_centre, leaving=False, role=role
    )


def make_engines(data_centres=DATA_CENTRES, prefill=6, decode=3):
    return [
        make_engine(
            f'{data_centre}-{number}',
            data_centre,
            Role.PREFILL if number < prefill else Role.DECODE,
        )
        for data_centre in data_centres
        for number in range(prefill + decode)
    ]


def make_work(prefix='aa'):
    return Work((Part(prefix, 800), Part('own', 200)), 1000, 50)


def test_small_data_centre_is_one_group():
    engines = make_engines()

    sizes = {
        len(list_group_engines(f'{one}/0', engines)) for one in DATA_CENTRES
    }

    assert sizes == {9}


def test_few_engines_are_one_group(peer_table):
    """Two engines in each data centre are needed by the callers of all.

    Any instance may schedule them.
    """
    engines = make_engines(prefill=1, decode=1)

    assert rank_groups(make_work(), engines) == ['/0']
    assert len(list_group_engines('/0', engines)) == 6
    assert len(rank_schedulers('/0', peer_table, 0)) == 8


def test_large_data_centre_is_split():
    """A scheduler that chooses among 240 engines would be too slow."""
    engines = make_engines(('ain',), 160, 80)
    sizes = [len(list_group_engines(f'ain/{one}', engines)) for one in range(8)]

    assert sum(sizes) == 240
    assert max(sizes) < 60


def test_requests_of_a_prefix_go_to_one_group_and_prefixes_spread():
    """Each group caches its share of the prefixes."""
    engines = make_engines()
    firsts = collections.Counter(
        rank_groups(make_work(f'prefix-{number}'), engines)[0]
        for number in range(600)
    )

    assert rank_groups(make_work(), engines) == rank_groups(
        make_work(), list(reversed(engines))
    )
    assert set(firsts) == {'ain/0', 'sidi/0', 'fes/0'}
    assert min(firsts.values()) > 140


def test_group_without_a_decode_engine_is_left_out():
    """All decode engines of a data centre crashed.

    If requests were sent there, every third one would be answered that no
    engine serves it.
    """
    engines = [
        *make_engines(('ain', 'sidi')),
        *make_engines(('fes',), decode=0),
    ]
    for number in range(50):
        groups = rank_groups(make_work(f'prefix-{number}'), engines)
        assert sorted(groups) == ['ain/0', 'sidi/0']


def test_local_data_centre_is_the_last_candidate():
    """The local data centre is cut off; both groups by prefix are outside.

    Its own engines are the only ones that its callers can reach.
    """
    engines = make_engines()
    for number in range(30):
        groups = rank_groups(make_work(f'prefix-{number}'), engines, 'fes')
        assert 'fes/0' in groups
        assert len(groups) == len(set(groups))
        assert groups[:2] == rank_groups(make_work(f'prefix-{number}'), engines)


def test_group_without_prefill_engines_may_serve():
    """Decode engines prefill as well if there are no prefill engines."""
    engines = make_engines(('ain',), prefill=0, decode=6)

    assert rank_groups(make_work(), engines) == ['ain/0']


@pytest.fixture
def peer_table():
    """The peers as known to an instance of one data centre."""
    peer_table = PeerTable('ain-0', 'ain')
    for data_centre in DATA_CENTRES:
        for number in range(8):
            name = f'{data_centre}-{number}'
            add_peer(peer_table, name, f'10.0.0.{number}:7380', data_centre)
            if data_centre == 'ain':
                record_heartbeat(peer_table, name, 1, 0)
    return peer_table


def test_scheduler_is_of_the_group_s_data_centre(peer_table):
    for data_centre in DATA_CENTRES:
        ranked = rank_schedulers(f'{data_centre}/0', peer_table, 0)
        assert len(ranked) == 8
        assert {name.partition('-')[0] for name in ranked} == {data_centre}


def test_faster_instances_schedule_first(peer_table):
    """Two of eight machines have four times the processor of the others.

    On a slow one, scheduling a burst takes all processor time; its answers
    come late, and its own callers wait.
    """
    for name in ('ain-3', 'fes-5'):
        add_peer(
            peer_table, name, peer_table.peers[name].address, name[:3], 2.15
        )
    for name in ('ain-4', 'fes-4'):
        add_peer(
            peer_table, name, peer_table.peers[name].address, name[:3], 0.52
        )

    assert rank_schedulers('ain/0', peer_table, 0)[0] == 'ain-3'
    assert rank_schedulers('fes/0', peer_table, 0)[0] == 'fes-5'


def test_peer_without_heartbeats_schedules_nothing(peer_table):
    """A peer of the local data centre died; the next one replaces it."""
    first, second, *_ = rank_schedulers('ain/0', peer_table, 0)
    for name in set(peer_table.peers) - {first}:
        record_heartbeat(peer_table, name, 2, 2)
    if first == peer_table.name:
        return

    assert rank_schedulers('ain/0', peer_table, 2)[0] == second


def test_unresponsive_scheduler_is_skipped_with_growing_backoff(peer_table):
    """An instance of another data centre is gone for good.

    If each request were sent to it first, each would wait for a timeout.
    """
    health = SchedulerHealth()
    first, second, *_ = rank_schedulers('fes/0', peer_table, 0)
    health.record_timeout(first, 0)

    unresponsive = health.list_unresponsive(1)
    assert rank_schedulers('fes/0', peer_table, 1, unresponsive)[0] == second
    assert not health.list_unresponsive(2)

    health.record_timeout(first, 2)
    assert health.list_unresponsive(5)
    assert not health.list_unresponsive(6)


def test_concurrent_timeouts_count_once():
    """Ten requests were waiting when the scheduler died."""
    health = SchedulerHealth()
    for _ in range(10):
        health.record_timeout('front-1', 0)

    assert not health.list_unresponsive(2)


def test_backoff_of_a_group_is_bounded():
    """A data centre is cut off for some seconds; then its engines are back."""
    health = SchedulerHealth(4.0)
    for time_s in (0, 10, 20, 30):
        health.record_timeout('ain/0', time_s)

    assert health.list_unresponsive(33)
    assert not health.list_unresponsive(34)


def test_answer_resets_the_backoff():
    """The scheduler was frozen for a while."""
    health = SchedulerHealth()
    health.record_timeout('front-1', 0)
    health.record_answer('front-1')

    assert not health.list_unresponsive(0.5)
    health.record_timeout('front-1', 10)
    assert not health.list_unresponsive(12)
