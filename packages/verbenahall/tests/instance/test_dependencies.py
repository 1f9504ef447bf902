"""The engines that the control loops use."""

import pytest

from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.instance._dependencies import ControllerDependencies
from verbenahall.membership import (
    ListEntry,
    MembershipState,
    apply_list,
    observe_state,
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
    """The list shows a new incarnation of the engine."""
    apply_list(state, [make_entry('e', incarnation='2')], 1)


def replace_by_state(state):
    """The engine's state shows a new incarnation."""
    observe_state(state, 'e', '2', leaving=False, now=1)


@pytest.mark.parametrize('replace', [replace_by_list, replace_by_state])
def test_replaced_engine_is_listed_at_once(replace):
    """An engine is replaced under its name between two steps.

    An outdated entry would send orders to a process that no longer exists.
    """
    members = MembershipState()
    dependencies = ControllerDependencies('ain', None, members)
    apply_list(members, [make_entry('e')], 0)
    assert [
        engine.incarnation for engine in dependencies.list_local_engines()
    ] == ['1']

    replace(members)

    assert [
        engine.incarnation for engine in dependencies.list_local_engines()
    ] == ['2']


def test_few_engines_of_other_data_centres_are_polled():
    """Requests spill over to them when all local engines are down."""
    members = MembershipState()
    remote = [
        make_entry('far'.ljust(3 + number, 'x'), 'sidi') for number in range(20)
    ]
    apply_list(members, [make_entry('e'), *remote], 0)
    dependencies = ControllerDependencies('ain', None, members)

    polled = dependencies.list_polled_engines()

    assert [
        engine.name for engine in polled if engine.data_centre == 'ain'
    ] == ['e']
    assert len(polled) == 9
