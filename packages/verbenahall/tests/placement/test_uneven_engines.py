"""Simulated loads on engines of unequal speed, and swings of the mix."""

import functools
import math

import pytest
from verbenahall.fleet import Role
from verbenahall.placement import (
    OpenStream,
    Part,
    PlacementRequest,
    PlacementState,
    Totals,
    Work,
    place,
)
from verbenahall.routing import rank_by_rendezvous
from verbenahall_standins.replay import TRAITS, Load, Replay, make_entry

SECONDS = 20
#: Time in which engines cache the prefixes for the first time.
WARM_UP_S = 4
SEEDS = (1, 2, 3)
#: Time of a token at speed 1: fast engines take 29 ms for 1,000 tokens, slow
#: ones 71 ms.
TOKEN_S = 0.05 / 1000
SPEEDS = (1.7, 0.7, 0.7)
#: Long, medium and short prompts with their objectives.
LONG = Load(5, SECONDS, 13_300, 3_720, 8, 0.86, 2, 2)
MEDIUM = Load(9, SECONDS, 6_300, 2_890, 8, 0.65, 2, 1)
SHORT = Load(14, SECONDS, 700, 760, 8, 0.53, 2, 0)


def change_rate(load, factor, shape=None):
    """Return the load at a multiple of its rate."""
    return Load(
        load.rate * factor,
        load.seconds,
        load.shared,
        load.own,
        load.prefix_count,
        load.objective_s,
        load.abandon_after_s,
        load.priority,
        shape,
    )


def wave(now):
    """Return the wave of 17 s with a swing of 0.55, relative to its top."""
    return (1 + 0.55 * math.sin(2 * math.pi * now / 17)) / 1.55


def alternate(phase, now):
    """Return 1.9 or 0.4 times the wave, relative to the top, in turn."""
    turn = int(now / 2.8) % 2
    factors = (0.4 / 1.9, 1)
    return wave(now) * factors[turn == phase]


def follow(phase, now):
    """Return 1 for the kind whose turn it is, each for 5 s."""
    return float(int(now / 5) % 2 == phase)


PATTERNS = {
    'mixed': (LONG, MEDIUM, SHORT),
    'alternating': tuple(
        change_rate(load, 1.9 * 1.55, functools.partial(alternate, phase))
        for load, phase in ((LONG, 0), (MEDIUM, 0), (SHORT, 1))
    ),
    'successive': tuple(
        change_rate(load, 2, functools.partial(follow, phase))
        for load, phase in ((LONG, 0), (SHORT, 1), (MEDIUM, 1))
    ),
}


@functools.cache
def replay_share(pattern, measure, seed=1, speeds=SPEEDS):
    """Return the share of requests that are on time, by priority."""
    replay = Replay(
        6,
        8,
        4,
        seed,
        scheduled=True,
        speeds=speeds,
        token_s=TOKEN_S,
        measure=measure,
    )
    replay.counted_from_s = WARM_UP_S
    replay.scheduler.state.caches_complete = True
    for number in range(3, 12, 7):
        times = [(begin, begin + 0.6) for begin in range(1, SECONDS, 2)]
        if speeds == SPEEDS:
            replay.slow_down(f'e{number}', 2.5, times)
    outcome = replay.run(PATTERNS[pattern])
    return {
        priority: round(outcome.on_time[priority] / count, 3)
        for priority, count in sorted(outcome.arrived.items())
    }


def sum_shares(pattern, measure):
    """Return the mean share of long and medium prompts on time."""
    shares = [replay_share(pattern, measure, seed) for seed in SEEDS]
    return sum(share[1] + share[2] for share in shares) / len(shares) / 2


@pytest.mark.parametrize('pattern', PATTERNS)
def test_more_long_prompts_are_on_time_with_measured_engines(pattern):
    """A third of the engines at 1.7, the others at 0.7, some slow at times.

    With one speed for all engines, long prompts wait for slow ones that would
    make them late, while fast ones are idle.
    """
    before = sum_shares(pattern, 'common')
    assert sum_shares(pattern, 'each') > before + 0.15 * (1 - before)
    for seed in SEEDS:
        assert replay_share(pattern, 'each', seed)[0] > 0.98


@pytest.mark.parametrize('measure', ['common', 'each'])
def test_equal_engines_are_used_as_before(measure):
    # Factors that differ by chance would move prompts away from their caches.
    speeds = (1.0,)
    shares = replay_share('alternating', measure, speeds=speeds)
    assert shares == replay_share('alternating', 'common', speeds=speeds)


def make_uneven_state(factors):
    """Return a state in which the engines were measured as stated."""
    state = PlacementState()
    for number in range(20):
        for name, factor in factors.items():
            state.engine_speeds.record_prefill(
                make_entry(name, Role.PREFILL),
                factor,
                share=1,
                crowded=False,
                now=number / 10,
            )
    return state


def place_long(state, engines, due_s):
    """Place a prompt of 9,000 tokens without a shared part."""
    work = Work((Part('own', 9_000),), 9_000, 100)
    request = PlacementRequest(work, gap_s=0.3)
    return place(state, request, engines, TRAITS, 2, due_s=due_s).unwrap()


def test_late_prompt_goes_to_an_engine_beyond_the_preferred():
    # All three preferred engines are slow. The prompt would be late at each.
    names = [f'p{number}' for number in range(8)]
    engines = [make_entry(name, Role.PREFILL) for name in names]
    engines.append(make_entry('d0', Role.DECODE))
    preferred = set(rank_by_rendezvous('own', names)[:3])
    factors = {name: 1.0 if name in preferred else 0.4 for name in names}
    state = make_uneven_state(factors | {'p8': 1.0, 'p9': 1.0})
    at_leisure = place_long(state, engines, due_s=5)
    assert at_leisure.prefill_engine.name in preferred
    in_haste = place_long(state, engines, due_s=0.6 * at_leisure.wait_s)
    assert in_haste.prefill_engine.name not in preferred
    assert in_haste.wait_s < 0.6 * at_leisure.wait_s


@pytest.mark.parametrize(('gap_s', 'is_mixed'), [(2.0, True), (0.05, False)])
def test_decode_engine_prefills_in_a_swing_if_no_stream_notices(
    gap_s, is_mixed
):
    # All prefill engines have a backlog for the next seconds, and a role change
    # would come too late. A stream of the decode engine must not pause for
    # longer than its caller accepts.
    engines = [make_entry(f'p{number}', Role.PREFILL) for number in range(3)]
    engines.append(make_entry('d0', Role.DECODE))
    state = make_uneven_state({'p0': 0.4, 'p1': 1.0, 'p2': 1.0})
    for engine in engines[:3]:
        state.load_table.open(engine.name, Totals(prefill_tokens=150_000))
    for number in range(4):
        stream = OpenStream(0, 100, number / 10, gap_s=gap_s)
        state.load_table.open('d0', Totals(streams=1), stream)
    plan = place_long(state, engines, due_s=0.5)
    assert (plan.prefill_engine is None) is is_mixed
