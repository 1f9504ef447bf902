"""The engines that the control loops see."""

import pytest

from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.instance._dependencies import Surroundings
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    apply_list,
    observe_word,
)


def make_entry(name, data_centre='ain', incarnation='1'):
    """Build an engine's entry of the list."""
    endpoint = Endpoint(
        name,
        EndpointKind.ENGINE,
        f'127.0.0.1:{len(name)}',
        data_centre,
        incarnation,
    )
    return ListEntry(endpoint)


def replace_by_list(state):
    """The list shows another life of the engine."""
    apply_list(state, [make_entry('e', incarnation='2')], 1)


def replace_by_word(state):
    """The engine itself tells of another life."""
    observe_word(state, 'e', '2', leaving=False, now=1)


@pytest.mark.parametrize('replace', [replace_by_list, replace_by_word])
def test_replaced_engine_is_seen_at_once(replace):
    """An engine is replaced under its name between two steps.

    Kept too long, the old entry would send orders to a process that is gone.
    """
    members = MembershipState()
    surroundings = Surroundings('ain', None, members)
    apply_list(members, [make_entry('e')], 0)
    assert [one.incarnation for one in surroundings.own_engines()] == ['1']

    replace(members)

    assert [one.incarnation for one in surroundings.own_engines()] == ['2']


def test_few_engines_of_other_data_centres_are_watched():
    """Requests spill over when the own engines are all gone."""
    members = MembershipState()
    far = [
        make_entry('far'.ljust(3 + number, 'x'), 'sidi') for number in range(20)
    ]
    apply_list(members, [make_entry('e'), *far], 0)
    surroundings = Surroundings('ain', None, members)

    watched = surroundings.watched_engines()

    assert [one.name for one in watched if one.data_centre == 'ain'] == ['e']
    assert len(watched) == 9
