"""Schedulers state their load, and refuse prompts of other groups."""

import dataclasses

from verbenahall import scheduling

from .test_scheduler import make_request, service, state, submit

__all__ = ('service', 'state')


def fill(state):
    """Send more prompts than the engines can prefill at once."""
    for key in 'abcdef':
        request = make_request(key)
        assert scheduling.refuse_spill(state, request, 0) is None
        submit(state, request)


def test_waiting_prompts_raise_the_stated_pressure(state):
    fill(state)
    queued = scheduling.Queued('f')
    early = scheduling.add_status(state, queued, 0.01).status.pressure
    late = scheduling.add_status(state, queued, 0.25).status.pressure
    assert early < late


def test_prompt_of_another_group_is_refused_near_the_limit(state):
    spilled = dataclasses.replace(make_request('z'), spilled='b/0')
    assert scheduling.refuse_spill(state, spilled, 0) is None
    status = scheduling.add_status(state, scheduling.Queued('z'), 0).status
    assert status.taking == ('b/0',)
    fill(state)
    refusal = scheduling.refuse_spill(state, spilled, 0.4)
    assert refusal.kind == 'spill'


def test_copy_of_an_accepted_prompt_is_not_refused(state):
    # The instance repeats its request while it is queued. A refusal would have
    # the request scheduled in two groups.
    fill(state)
    copy = dataclasses.replace(make_request('f'), spilled='b/0')
    assert scheduling.refuse_spill(state, copy, 0.4) is None


def test_status_is_optional_on_the_wire(state):
    # Schedulers of the previous version state none, and its instances decode
    # answers that have one.
    plain = scheduling.Queued('k')
    assert b'pressure' not in scheduling.encode(plain)
    assert scheduling.decode(scheduling.encode(plain)).unwrap() == plain
    stated = scheduling.add_status(state, plain, 0)
    assert scheduling.decode(scheduling.encode(stated)).unwrap() == stated
