"""A scheduler measures each engine by the prefills that it assigns."""

import random

from verbenahall import scheduling
from verbenahall.catalog import Service
from verbenahall.fleet import Role
from verbenahall.placement import Fleet, Part, PlacementState, Work
from verbenahall_standins.replay import TRAITS, make_entry

RNG = random.Random(5)
SERVICE = Service('reader', TRAITS)
ENGINES = (
    *(make_entry(f'p{number}', Role.PREFILL) for number in range(6)),
    make_entry('d0', Role.DECODE),
)
#: Seconds of a prefill of 3,000 tokens at an engine.
SECONDS = {f'p{number}': 0.3 if number % 3 else 0.12 for number in range(6)}


def make_request(number):
    parts = (Part(f's{number % 40}', 500), Part(f'own-{number}', 3_000))
    return scheduling.ScheduleRequest(
        key=f'r{number}',
        service='reader',
        group='a/0',
        work=Work(parts, 3_500, 2),
        gap_s=0.2,
        priority=0,
        due_s=5,
        objective_s=1,
        leaves_s=6,
        deadline_s=7,
    )


def serve(state, number, now):
    """Have one request prefilled; return the name of the engine."""
    fleet = Fleet(state.placement, ENGINES, TRAITS)
    scheduling.receive_request(
        state, make_request(number), '10.0.0.9:80', fleet, now, RNG
    )
    for reply in scheduling.assign_waiting(state, fleet, now, RNG):
        engine = reply.message.prefill
        if not engine:
            continue
        end = now + SECONDS[engine]
        progress = scheduling.Prefilled(reply.message.key, SECONDS[engine])
        scheduling.record_progress(state, progress, SERVICE, end)
        released = scheduling.Released(reply.message.key, 0.01)
        scheduling.record_progress(state, released, SERVICE, end)
        return engine
    return ''


def test_scheduler_finds_out_which_engines_are_fast():
    # Without measurements by engine, half of the prompts would wait for slow
    # ones while fast ones are idle.
    state = scheduling.SchedulerState(PlacementState(), started_at=-9)
    served = [serve(state, number, now=float(number)) for number in range(120)]
    factors = state.placement.engine_speeds.list_long_term('reader')
    assert 0.3 < factors['p0'] < 0.6
    assert 0.3 < factors['p3'] < 0.6
    assert served.count('p0') + served.count('p3') > 60


def test_lost_reports_leave_no_open_prefills():
    """Instances are killed between assignment and report.

    Their prefills would count as open for ever. An engine would seem to give
    each later one half of its time, and to be twice as fast as it is.
    """
    state = scheduling.SchedulerState(PlacementState(), started_at=-9)
    fleet = Fleet(state.placement, ENGINES, TRAITS)
    for number in range(40):
        scheduling.receive_request(
            state, make_request(number), '10.0.0.9:80', fleet, 0, RNG
        )
        scheduling.assign_waiting(state, fleet, 0, RNG)
    engines = {one.plan.prefill_engine for one in state.assigned.values()}
    assert len(engines) > 4
    scheduling.expire_assignments(state, now=8)
    for engine in filter(None, engines):
        state.placement.shared_time.start(-1, engine.name, 9)
        assert state.placement.shared_time.end(-1, 10) == 1
