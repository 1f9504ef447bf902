"""The cost model, the batch that uses it, and the policy simulation."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.fleet import Role
from verbenahall_standins import bound, comparison, cost, traces
from verbenahall_standins.batch import Batch, Job
from verbenahall_standins.simulation import Simulation

TOKENS = st.integers(0, 20_000)


@given(TOKENS, TOKENS, st.integers(1, 64))
def test_cost_grows_with_work(tokens, more, sequences):
    assert cost.prefill_s(tokens + more) >= cost.prefill_s(tokens)
    assert cost.step_s(sequences, tokens + more) >= cost.step_s(
        sequences, tokens
    )
    assert cost.step_s(sequences + 1, tokens) > cost.step_s(sequences, tokens)


@given(TOKENS, TOKENS)
def test_chunking_prefill_costs_nothing_itself(first, second):
    whole = cost.prefill_s(first + second)
    chunks = cost.prefill_s(first) + cost.prefill_s(second, first)
    assert abs(whole - chunks) < 1e-6 + 1e-9 * whole


@given(
    st.sampled_from(list(Role)),
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 5000), st.integers(1, 40)),
        min_size=1,
        max_size=80,
    ),
)
def test_batch_finishes_each_job_whole(role, wanted):
    batch = Batch(role)
    for number, (priority, prompt, output) in enumerate(wanted):
        batch.add(Job(str(number), priority, prompt, output))
    finished = []
    while not batch.is_idle:
        finished.extend(batch.step().finished)
    assert len(finished) == len(wanted)
    assert all(job.produced == job.output for job in finished)


def test_batch_starts_highest_priority_first():
    """An urgent request starts before all that wait in a full queue."""
    batch = Batch(Role.MIXED)
    for number in range(200):
        batch.add(Job(f'low-{number}', 2, 100, 500))
    batch.step()
    batch.add(Job('flag', 0, 50, 1))
    finished = []
    while 'flag' not in finished:
        finished.extend(job.job_id for job in batch.step().finished)
    assert len(finished) <= cost.BATCH_SEQUENCES + 1


@given(st.integers(0, 30))
def test_bound_counts_all_when_there_is_room(seed):
    workload = traces.WORKLOADS['atlas']
    trace = [
        arrival
        for arrival in traces.write_trace(workload, seed)
        if arrival.number % 20 == 0
    ]
    assert bound.count_bound(workload, trace) == len(trace)


def test_bound_drops_the_longest_request():
    """Of two long requests with one due time, there is time for one."""
    workload = traces.WORKLOADS['atlas']
    seconds = traces.work_s(100_000, 10) / workload.engine_count
    trace = [
        traces.Arrival(number, 0, 'shift', 3, 100_000, 10, seconds * 1.1)
        for number in range(2)
    ]
    assert bound.count_bound(workload, trace) == 1


@pytest.mark.parametrize('build', comparison.POLICIES.values())
def test_simulation_answers_each_request_once(build):
    workload = traces.WORKLOADS['atlas']
    trace = traces.write_trace(workload, 3)[:300]
    simulation = Simulation(workload, build(workload, 3))
    simulation.run(trace)
    numbers = [outcome.arrival.number for outcome in simulation.outcomes]
    assert numbers == [arrival.number for arrival in trace]


@pytest.mark.parametrize('name', traces.WORKLOADS)
def test_our_decisions_are_not_below_the_naive_ones(name):
    """The product answers at least as many requests in time as round robin.

    The mix of the trace changes within minutes. With fewer good answers the
    product would be worse than a plain load balancer.
    """
    workload = traces.WORKLOADS[name]
    trace = traces.write_trace(workload, 1)
    good = {}
    for policy in ('naive', 'ours'):
        build = comparison.POLICIES[policy]
        simulation = Simulation(workload, build(workload, 1))
        simulation.run(trace)
        good[policy] = sum(outcome.is_good for outcome in simulation.outcomes)
    assert good['ours'] >= good['naive']
