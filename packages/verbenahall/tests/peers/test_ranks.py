"""Who does first what one instance has to do for all."""

import pytest

from verbenahall.peers import PeerBook, find_rank, greet, hear

CENTRES = ('ain', 'fes', 'sidi')


def make_book(own, names, heard, now=10):
    """Return what an instance knows and whom it hears."""
    centre, _, _ = own.partition('-')
    book = PeerBook(own, centre)
    for number, name in enumerate(names):
        peer_centre, _, _ = name.partition('-')
        greet(book, name, f'10.0.0.{number}:7380', peer_centre)
        if name in heard:
            hear(book, name, 1, now)
    return book


def rank_all(per_centre):
    """Return the ranks of all instances of a fleet."""
    names = [
        f'{centre}-{number}'
        for centre in CENTRES
        for number in range(per_centre)
    ]
    sampled = len(names) > 21
    return [
        find_rank(
            make_book(
                own,
                names,
                [name for name in names if not sampled or name[:3] == own[:3]],
            ),
            'roles',
            10,
        )
        for own in names
    ]


@pytest.mark.parametrize('per_centre', [2, 20])
def test_ranks_are_all_different(per_centre):
    """In a large fleet the data centres do not hear each other.

    With a first instance in each, as many would order engines at once as
    there are data centres, and read the lease for it three times a second.
    """
    assert sorted(rank_all(per_centre)) == list(range(3 * per_centre))


def test_silent_instance_stands_before_nobody():
    """The first one of the own data centre died."""
    names = [f'ain-{number}' for number in range(4)]
    ranks = {
        own: find_rank(make_book(own, names, names), 'roles', 10)
        for own in names
    }
    first = min(names, key=ranks.get)
    second = min(set(names) - {first}, key=ranks.get)
    heard = set(names) - {first}

    assert find_rank(make_book(second, names, heard), 'roles', 10) == 0
