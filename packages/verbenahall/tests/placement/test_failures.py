"""Failure rates of engines, and how placement uses them."""

from verbenahall.fleet import Role
from verbenahall.placement import PlacementRequest, PlacementState, Work, place
from verbenahall_standins.replay import TRAITS, make_entry

ENGINES = [make_entry(f'd{number}', Role.DECODE) for number in range(4)]


def fail(state, *names, count=5, now=0):
    """Record failures of engines."""
    for name in names:
        for _ in range(count):
            state.failures.record(name, now, failed=True)


def choose(state, now, engines=ENGINES):
    """Return the engine that is chosen for a short prompt."""
    request = PlacementRequest(Work((), 200, 50), 0.2)
    plan = place(state, request, engines, TRAITS, now).unwrap()
    return plan.decode_engine.name


def list_chosen(state, now):
    """Return the engines that are chosen while load builds up."""
    return [one.name for one in state.failures.select_working(ENGINES, now)]


def test_failing_engine_is_left_out_and_tried_again_later():
    state = PlacementState()
    first = choose(state, 0)
    fail(state, first)
    assert first not in list_chosen(state, 0)
    assert choose(state, 0) != first
    assert first in list_chosen(state, 10)
    # It costs more than the others until its failures are forgotten.
    assert choose(state, 10) != first
    assert choose(state, 60) == first


def test_engine_that_serves_again_is_used_again():
    state = PlacementState()
    first = choose(state, 0)
    fail(state, first)
    for _ in range(20):
        state.failures.record(first, 1, failed=False)
    assert first in list_chosen(state, 1)


def test_failures_of_most_engines_leave_none_out():
    # An overload or a cut fails requests everywhere. The few engines without
    # a failure yet could not take the whole load.
    state = PlacementState()
    fail(state, 'd0', 'd1', 'd2')
    assert len(list_chosen(state, 0)) == len(ENGINES)


def test_only_engine_is_used_although_it_fails():
    state = PlacementState()
    fail(state, 'd0')
    assert choose(state, 0, ENGINES[:1]) == 'd0'


def test_state_of_engines_that_are_gone_is_removed():
    state = PlacementState()
    fail(state, 'd0', 'd1')
    state.retain({'d1'})
    assert not state.failures.estimate('d0', 0)
    assert state.failures.estimate('d1', 0) > 0
