"""Which engines form a group, and who schedules it."""

import collections

import pytest
from verbenahall.fleet import Role
from verbenahall.peers import PeerBook, greet, hear
from verbenahall.placement import Part, Work
from verbenahall.roster import Entry
from verbenahall.scheduling import (
    SchedulerHealth,
    list_group,
    rank_groups,
    rank_schedulers,
)

CENTRES = ('ain', 'sidi', 'fes')


def make_engine(name, data_centre, role=Role.PREFILL):
    return Entry(
        name, 'reader', '10.0.0.1:80', data_centre, leaving=False, role=role
    )


def make_engines(centres=CENTRES, prefill=6, decode=3):
    return [
        make_engine(
            f'{centre}-{number}',
            centre,
            Role.PREFILL if number < prefill else Role.DECODE,
        )
        for centre in centres
        for number in range(prefill + decode)
    ]


def make_work(prefix='aa'):
    return Work((Part(prefix, 800), Part('own', 200)), 1000, 50)


def test_small_data_centre_is_one_group():
    engines = make_engines()

    sizes = {len(list_group(f'{one}/0', engines)) for one in CENTRES}

    assert sizes == {9}


def test_few_engines_are_one_group(book):
    """Two engines in each data centre are needed by the callers of all.

    Any instance may schedule them.
    """
    engines = make_engines(prefill=1, decode=1)

    assert rank_groups(make_work(), engines) == ['/0']
    assert len(list_group('/0', engines)) == 6
    assert len(rank_schedulers('/0', book, 0)) == 8


def test_large_data_centre_is_split():
    """A scheduler that chose among all of them would be too slow."""
    engines = make_engines(('ain',), 160, 80)
    sizes = [len(list_group(f'ain/{one}', engines)) for one in range(8)]

    assert sum(sizes) == 240
    assert max(sizes) < 60


def test_requests_of_a_prefix_go_to_one_group_and_prefixes_spread():
    """Each group keeps its share of the prefixes."""
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

    Sent there all the same, every third request would be told that nothing
    serves it.
    """
    engines = [
        *make_engines(('ain', 'sidi')),
        *make_engines(('fes',), decode=0),
    ]
    for number in range(50):
        groups = rank_groups(make_work(f'prefix-{number}'), engines)
        assert sorted(groups) == ['ain/0', 'sidi/0']


def test_own_data_centre_is_the_last_resort():
    """The own data centre is cut off, and both groups by prefix are outside.

    Its own engines are the only ones that its callers can reach.
    """
    engines = make_engines()
    for number in range(30):
        groups = rank_groups(make_work(f'prefix-{number}'), engines, 'fes')
        assert 'fes/0' in groups
        assert len(groups) == len(set(groups))
        assert groups[:2] == rank_groups(make_work(f'prefix-{number}'), engines)


def test_group_that_only_decodes_may_serve():
    """No engine prefills apart; decode engines read prompts themselves."""
    engines = make_engines(('ain',), prefill=0, decode=6)

    assert rank_groups(make_work(), engines) == ['ain/0']


@pytest.fixture
def book():
    """What an instance of one data centre knows of all instances."""
    book = PeerBook('ain-0', 'ain')
    for centre in CENTRES:
        for number in range(8):
            name = f'{centre}-{number}'
            greet(book, name, f'10.0.0.{number}:7380', centre)
            if centre == 'ain':
                hear(book, name, 1, 0)
    return book


def test_scheduler_is_of_the_group_s_data_centre(book):
    for centre in CENTRES:
        ranked = rank_schedulers(f'{centre}/0', book, 0)
        assert len(ranked) == 8
        assert {name.partition('-')[0] for name in ranked} == {centre}


def test_fast_machine_schedules_before_slow_ones(book):
    """Two of eight machines have four times the processor of the others.

    On a slow one the decisions of a burst take all of it; its answers come
    late, and its own callers wait.
    """
    for name in ('ain-3', 'fes-5'):
        greet(book, name, book.peers[name].address, name[:3], 2.15)
    for name in ('ain-4', 'fes-4'):
        greet(book, name, book.peers[name].address, name[:3], 0.52)

    assert rank_schedulers('ain/0', book, 0)[0] == 'ain-3'
    assert rank_schedulers('fes/0', book, 0)[0] == 'fes-5'


def test_peer_that_is_not_heard_schedules_nothing(book):
    """A peer of the own data centre died; the next one takes its place."""
    first, second, *_ = rank_schedulers('ain/0', book, 0)
    for name in set(book.peers) - {first}:
        hear(book, name, 2, 2)
    if first == book.name:
        return

    assert rank_schedulers('ain/0', book, 2)[0] == second


def test_silent_scheduler_is_left_out_for_longer_and_longer(book):
    """An instance of another data centre is gone for good.

    Asked for each request, it would cost each of them a wait.
    """
    health = SchedulerHealth()
    first, second, *_ = rank_schedulers('fes/0', book, 0)
    health.note_silence(first, 0)

    silent = health.list_silent(1)
    assert rank_schedulers('fes/0', book, 1, silent)[0] == second
    assert not health.list_silent(2)

    health.note_silence(first, 2)
    assert health.list_silent(5)
    assert not health.list_silent(6)


def test_requests_that_met_one_silence_count_once():
    """Ten requests were waiting when the scheduler died."""
    health = SchedulerHealth()
    for _ in range(10):
        health.note_silence('front-1', 0)

    assert not health.list_silent(2)


def test_silence_of_a_group_is_soon_forgotten():
    """A data centre is cut off for some seconds; then its engines are back."""
    health = SchedulerHealth(4.0)
    for moment in (0, 10, 20, 30):
        health.note_silence('ain/0', moment)

    assert health.list_silent(33)
    assert not health.list_silent(34)


def test_scheduler_that_answers_again_is_trusted_again():
    """It was frozen for a while."""
    health = SchedulerHealth()
    health.note_silence('front-1', 0)
    health.note_answer('front-1')

    assert not health.list_silent(0.5)
    health.note_silence('front-1', 10)
    assert not health.list_silent(12)
