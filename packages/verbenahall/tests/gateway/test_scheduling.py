"""Instances of a large fleet use schedulers, and work without them."""

import asyncio
import contextlib
import functools
from unittest import mock

import pytest

from verbenahall.gateway import _scheduler as scheduler
from verbenahall.gateway import _scheduler_client as scheduler_client
from verbenahall.peers import list_live_peers
from verbenahall.platform import read_answer_head
from verbenahall.scheduling import _groups as groups

from .conftest import make_engines, run, run_gateway
from .test_waiting import send_long

NAMES = ('front-1', 'front-2', 'front-3')
PATH = '/summary/1'


@pytest.fixture(autouse=True)
def _large_fleet(monkeypatch):
    """Have three instances count as a large fleet."""
    monkeypatch.setattr(groups, '_MAX_DIRECT_PEERS', 0)


@contextlib.asynccontextmanager
async def run_gateways(folder, engines=None):
    """Run instances on one site; return them, the scheduler last."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            run_gateway(folder, engines or make_engines()),
        )
        others = [
            await stack.enter_async_context(
                run_gateway(folder, name=name, site=first.site),
            )
            for name in NAMES[1:]
        ]
        harnesses = [first, *others]
        for harness in harnesses:
            await harness.wait_until(functools.partial(has_both_peers, harness))
        await first.send(PATH, 'r-0')
        name = first.log_lines('scheduled')[-1]['scheduler']
        harnesses.sort(key=lambda one: one.gateway.core.settings.name == name)
        yield harnesses


def has_both_peers(harness):
    """Whether an instance receives heartbeats of its two peers."""
    core = harness.gateway.core
    return len(list_live_peers(core.peer_table, core.now(), 1)) == 2


def find_state(harness):
    """Return a scheduler's state of the only group."""
    states = harness.gateway.scheduling.scheduler._states
    return next(iter(states.values()))


async def queue_behind(harness, state):
    """Send a long prompt, and one that is queued behind it."""
    busy = asyncio.create_task(send_long(harness, 'r-1'))
    await harness.wait_until(
        lambda: harness.log_lines('placed')[-1]['request'] == 'r-1',
    )
    queued = asyncio.create_task(send_long(harness, 'r-2'))
    await harness.wait_until(lambda: state.queue.waiting)
    return busy, queued


def is_idle(harness):
    """Whether a scheduler has no open requests and no load."""
    state = find_state(harness)
    load = state.placement.load_table.local_loads()
    return not (state.assigned or state.waiting or load)


def list_schedulers(harness):
    """Return the schedulers that requests were sent to, in order."""
    return [line['scheduler'] for line in harness.log_lines('scheduled')]


def test_all_instances_ask_one_scheduler(tmp_path, monkeypatch):
    """Requests come through three instances at once."""
    # All instances share one event loop here, so a slow answer must not count
    # as a timeout.
    monkeypatch.setattr(scheduler_client, '_ANSWER_S', 2)

    async def check():
        async with run_gateways(tmp_path) as harnesses:
            answers = await asyncio.gather(
                *(
                    harness.send(PATH, f'r-{index}-{number}')
                    for index, harness in enumerate(harnesses)
                    for number in range(5)
                ),
            )
            assert {status for status, _, _ in answers} == {200}
            assert len(set(list_schedulers(harnesses[0]))) == 1
            assert len(harnesses[0].log_lines('assigned')) == 16
            await harnesses[0].wait_until(lambda: is_idle(harnesses[-1]))

    run(check())


def kill_scheduling(harness):
    """Drop all datagrams of an instance, as if it were dead or frozen."""
    exchange = harness.gateway.finder.exchange
    exchange.datagram_handler = lambda datagram, address: True
    exchange.send = lambda datagram, address: None


def test_dead_scheduler_delays_few_and_loses_none(tmp_path):
    """The scheduler dies while instances send it requests.

    Each request stays with the instance that has accepted it, which places it
    by the next scheduler or by itself.
    """

    async def check():
        async with run_gateways(tmp_path) as harnesses:
            kill_scheduling(harnesses[-1])
            first = harnesses[0]
            status, _, _ = await first.send(PATH, 'r-1')
            assert status == 200
            scheduled = first.log_lines('scheduled')
            assert scheduled[-2]['outcome'] == 'silent'
            assert scheduled[-1]['outcome'] == 'Assignment'
            # The next request does not wait for the dead scheduler again.
            await first.send(PATH, 'r-2')
            assert list_schedulers(first)[-1] == list_schedulers(first)[-2]
            runs = [one for engine in first.site.engines for one in engine.runs]
            assert len(runs) == 3

    run(check())


def test_scheduler_that_is_cut_off_assigns_engines_that_others_reach(tmp_path):
    """Its own failed sends took engines from the requests of all instances."""

    async def check():
        async with run_gateways(tmp_path) as harnesses:
            first, core = harnesses[0], harnesses[-1].gateway.core
            preferred = first.log_lines('assigned')[-1]['prefill']
            known = core.reach.get('drafter')
            known.lost_at = core.now()
            known.checked_at = float('inf')
            core.endpoint_health.record_unreachable(preferred, core.now())
            status, _, _ = await first.send(PATH, 'r-1')
            assert status == 200
            assert first.log_lines('assigned')[-1]['prefill'] == preferred

    run(check())


def test_instance_without_schedulers_places_requests_itself(tmp_path):
    """All other instances are unreachable."""

    async def check():
        async with run_gateways(tmp_path) as harnesses:
            first, *others = harnesses
            for harness in others:
                kill_scheduling(harness)
            first.gateway.scheduling.scheduler.stopping = lambda: True
            status, _, _ = await first.send(PATH, 'r-1')
            assert status == 200
            assert first.log_lines('placed')[-1]['request'] == 'r-1'

    run(check())


def test_unresponsive_remote_group_costs_one_timeout(tmp_path, monkeypatch):
    """The data centre of a group is cut off while a request is sent to it.

    If all its schedulers were tried one after the other, the request would
    lose most of its time, though other groups could serve it.
    """

    async def check():
        engines = make_engines(prefill_count=4, decode_count=2)
        async with run_gateways(tmp_path, engines) as harnesses:
            first, *others = harnesses
            for harness in others:
                kill_scheduling(harness)
            first.gateway.core.peer_table.data_centre = 'elsewhere'
            monkeypatch.setattr(
                scheduler_client, 'rank_schedulers', rank_others
            )
            status, _, _ = await first.send(PATH, 'r-1')
            assert status == 200
            silent = [
                line
                for line in first.log_lines('scheduled')
                if line['request'] == 'r-1'
            ]
            assert [line['outcome'] for line in silent] == ['silent']

    run(check())


def rank_others(group, peer_table, now, avoided):
    """Rank all known peers, as for a data centre without heartbeats."""
    return sorted(peer_table.peers)


def test_unreachable_group_is_not_tried_for_each_request(tmp_path):
    """A data centre is cut off with all its schedulers.

    If they were tried for each request, each would wait for their timeout.
    """

    async def check():
        async with run_gateways(tmp_path) as harnesses:
            first, *others = harnesses
            for harness in others:
                kill_scheduling(harness)
            first.gateway.scheduling.scheduler = mock.Mock()
            statuses = [
                (await first.send(PATH, f'r-{number}'))[0]
                for number in range(6)
            ]
            assert set(statuses) == {200}
            silent = [
                line
                for line in first.log_lines('scheduled')
                if line['outcome'] == 'silent'
            ]
            assert len(silent) <= 3

    run(check())


def test_scheduler_that_dies_with_a_queue_blocks_no_request(tmp_path):
    """A request waits in the queue of a scheduler that is killed.

    Its instance is not notified: it sends the request again, gets no answer,
    and places the request otherwise.
    """

    async def check():
        engines = make_engines(prefill_count=1)
        engines[0].faults.prefill_delay_s = 0.5
        async with run_gateways(tmp_path, engines) as harnesses:
            first = harnesses[0]
            state = find_state(harnesses[-1])
            busy, queued = await queue_behind(first, state)
            kill_scheduling(harnesses[-1])
            answers = await asyncio.gather(busy, queued)
            assert {status for status, _, _ in answers} == {200}
            assert 'silent' in {
                line['outcome']
                for line in first.log_lines('scheduled')
                if line['request'] == 'r-2'
            }

    run(check())


@pytest.mark.parametrize(
    ('failing', 'status'),
    [
        (('assign_waiting',), 200),
        (('assign_waiting', 'decline_waiting'), 429),
    ],
)
def test_failing_scheduler_keeps_no_request(
    tmp_path, monkeypatch, failing, status
):
    """The runs over its queue fail, and it answers that the request waits.

    Its instance repeated the request until the caller left.
    """

    def fail(*arguments):
        raise ZeroDivisionError('a run fails')

    async def check():
        engines = make_engines(prefill_count=1)
        engines[0].faults.prefill_delay_s = 0.5
        async with run_gateways(tmp_path, engines) as harnesses:
            first = harnesses[0]
            state = find_state(harnesses[-1])
            sending = await queue_behind(first, state)
            for name in failing:
                monkeypatch.setattr(scheduler, name, fail)
            async with asyncio.timeout(4):
                answers = await asyncio.gather(*sending)
            assert [one[0] for one in answers] == [200, status]

    run(check())


def test_stopping_scheduler_declines(tmp_path):
    """The platform stops the scheduler, and the next one is tried."""

    async def check():
        async with run_gateways(tmp_path) as harnesses:
            first = harnesses[0]
            harnesses[-1].gateway.scheduling.scheduler.stopping = lambda: True
            status, _, _ = await first.send(PATH, 'r-1')
            assert status == 200
            outcomes = [
                line['outcome'] for line in first.log_lines('scheduled')
            ]
            assert outcomes[-2:] == ['Declined', 'Assignment']

    run(check())


def test_disconnected_caller_is_removed_from_the_queue(tmp_path):
    """A caller disconnects while its request is queued at the scheduler."""

    async def check():
        engines = make_engines(prefill_count=1)
        engines[0].faults.prefill_delay_s = 0.4
        async with run_gateways(tmp_path, engines) as harnesses:
            first = harnesses[0]
            state = find_state(harnesses[-1])
            busy, queued = await queue_behind(first, state)
            queued.cancel()
            await first.wait_until(lambda: not state.queue.waiting)
            await busy
            await first.wait_until(lambda: is_idle(harnesses[-1]))
            read = [
                one['X-Verbenahall-Request-Id'] for one in engines[0].prefills
            ]
            assert 'r-2' not in read

    run(check())


def test_refusing_engine_is_avoided_for_all_instances(tmp_path):
    """An engine changes its role, and one instance gets a refusal.

    That instance reports it to the scheduler, which would otherwise assign
    the engine to the prompts of all others, too.
    """

    async def check():
        async with run_gateways(tmp_path) as harnesses:
            first = harnesses[0]
            await first.send(PATH, 'r-1')
            prefill_engine = first.log_lines('placed')[-1]['reader']
            core = harnesses[-1].gateway.core
            for engine in first.site.engines:
                if engine.name == prefill_engine:
                    engine.faults.full = True
            status, _, _ = await first.send(PATH, 'r-2')
            assert status == 200
            await first.wait_until(
                lambda: core.endpoint_health.has(prefill_engine)
            )
            assert core.endpoint_health.is_avoided(prefill_engine, core.now())

    run(check())


def test_backoff_of_one_instance_is_heeded_by_its_scheduler(tmp_path):
    """The scheduler is another instance, which the engine accepts."""

    async def check():
        engines = make_engines(decode_count=2)
        async with run_gateways(tmp_path, engines) as harnesses:
            core = harnesses[0].gateway.core
            engine = engines[2]
            entry = core.roster.find_entry(engine.name)
            head = read_answer_head(503, {'Retry-After': '30'})
            core.endpoints.notices.record_answer(entry, head, 'request')
            before = len(engine.runs)
            for number in range(12):
                status, _, _ = await harnesses[0].send(PATH, f'a-{number}')
                assert status == 200
            assert len(engine.runs) == before
            for number in range(12):
                await harnesses[1].send(PATH, f'b-{number}')
            assert len(engine.runs) > before
            outcomes = {
                line['outcome'] for line in harnesses[0].log_lines('scheduled')
            }
            assert outcomes == {'Assignment'}

    run(check())
