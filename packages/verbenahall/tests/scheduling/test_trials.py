"""A scheduler tries an engine that is back with one request at a time."""

from verbenahall import endpoint_health, scheduling

from .test_scheduler import make_request, service, state, submit

__all__ = ('service', 'state')

Sending = endpoint_health.Sending


def test_engine_that_is_back_gets_one_assignment(state, service):
    # The scheduler sends no requests itself, so it would never learn that a
    # trial is under way, and would assign the whole load of its group.
    health = endpoint_health.EndpointHealthTable()
    health.record_unreachable('p0', 0)
    endpoint_health.record_reachable(health, 'p0')
    answer = submit(state, make_request('a'))[0].message
    scheduling.begin_trials(health, answer, 0)
    assert health.is_avoided('p0', 0.01, Sending.ASSIGNING)
    progress = scheduling.Prefilled('a', 0.05)
    scheduling.record_trial_progress(state, progress, health, 0.05)
    assert not health.is_avoided('p0', 0.06, Sending.ASSIGNING)


def test_released_assignment_that_failed_excludes_the_engine(state, service):
    health = endpoint_health.EndpointHealthTable()
    health.record_unreachable('d0', 0)
    endpoint_health.record_reachable(health, 'd0')
    answer = submit(state, make_request('a'))[0].message
    scheduling.begin_trials(health, answer, 0)
    released = scheduling.Released('a', failed='d0')
    scheduling.record_trial_progress(state, released, health, 0.05)
    assert not health.is_reachable('d0', 0.06)
