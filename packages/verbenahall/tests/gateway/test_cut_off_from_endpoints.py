"""Instances that are partitioned from all endpoints, and their callers."""

import asyncio

import pytest
from verbenahall_standins.soak import Cut

from .conftest import run
from .cut_fleet import run_fleet

#: Time after the begin of a cut from which on callers must be served, in
#: seconds: the operators' bound for a stable state.
STABLE_S = 3.0
#: Share of the others' successes that callers of a cut instance must get.
LEAST_SHARE = 2 / 3
FORMS = (Cut.HANGING, Cut.RESET, Cut.NO_NEW)


def find_share(statuses):
    """Return the share of successes."""
    return statuses.count(200) / len(statuses)


@pytest.mark.parametrize('form', FORMS)
def test_callers_of_an_instance_without_endpoints_are_served(tmp_path, form):
    # An instance loses its links to all endpoints while callers, store and
    # peers reach it, and answers its callers with errors until the links
    # return.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut, other = fleet.harnesses
            assert find_share(await fleet.send_all(cut, 0.5)) == 1
            await fleet.links.cut(form)
            await fleet.send_all(cut, STABLE_S)
            at_cut, at_other = await asyncio.gather(
                fleet.send_all(cut, 2), fleet.send_all(other, 2)
            )
            assert find_share(at_other) == 1
            assert find_share(at_cut) >= LEAST_SHARE

    run(check())


def test_lost_links_are_no_evidence_of_crashes(tmp_path):
    # The links of one instance are reset while requests are open. If it took
    # the refused connections for crashes of the endpoints, all instances would
    # put requests in quarantine that have done nothing.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut, _ = fleet.harnesses
            for endpoint in cut.site.plain:
                endpoint.delay_s = 0.3
            for _ in range(3):
                sending = asyncio.create_task(fleet.send_all(cut, 0.6))
                await asyncio.sleep(0.4)
                await fleet.links.cut(Cut.RESET)
                await sending
                await fleet.links.cut(Cut.NONE)
                await asyncio.sleep(1)
            assert cut.log_lines('connection_lost')
            assert not cut.log_lines('crash')

    run(check())


@pytest.mark.parametrize('form', FORMS[:2])
def test_cut_instance_orders_no_role_changes(tmp_path, form):
    # It reaches no engine, so its idea of which engines were lost is wrong.
    # Another instance has to hold the lease on the roles.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(form)
            before = len(cut.log_lines('role_order'))
            orders = [len(one.orders) for one in fleet.site.engines]
            await asyncio.sleep(2)
            assert len(cut.log_lines('role_order')) == before
            assert [len(one.orders) for one in fleet.site.engines] == orders

    run(check())


def test_cut_instance_stays_ready_while_peers_serve_its_callers(tmp_path):
    # If all cut instances of a data centre were not ready, the few others
    # would take all new connections.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.HANGING)
            await asyncio.sleep(1)
            assert await cut.is_ready()

    run(check())


def test_failures_of_a_lost_path_are_no_failures_of_engines(tmp_path):
    # Streams that are open when the links begin to hang end without an event.
    # Counted against the engines, these would get less work from this instance
    # and, where a scheduler assigns them, from all.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            for engine in fleet.site.engines:
                engine.faults.slow_head_s = 0.3
            sending = asyncio.create_task(fleet.send_all(cut, 1))
            await asyncio.sleep(0.5)
            await fleet.links.cut(Cut.HANGING)
            await sending
            core = cut.gateway.core
            assert core.reach.list_lost()
            rates = [
                core.placement.failures.estimate(one.name, core.now())
                for one in fleet.site.engines
            ]
            assert rates == [0, 0, 0, 0]

    run(check())


def test_peers_that_are_cut_off_too_get_no_requests(tmp_path):
    # Most instances are cut off at the same time. They say so in their
    # heartbeats, and the one that is left serves the callers of all.
    async def check():
        async with run_fleet(tmp_path, 3) as fleet:
            cut, other, _ = fleet.harnesses
            await fleet.lose_endpoints(Cut.RESET)
            for service in ('pages', 'drafter'):
                known = other.gateway.core.reach.get(service)
                known.lost_at = 0
                known.checked_at = float('inf')
            peer = cut.gateway.core.peer_table.peers['front-2']
            await cut.wait_until(lambda: len(peer.unreachable) == 2)
            before = len(cut.log_lines('hop_refused'))
            statuses = await asyncio.gather(
                fleet.send_all(cut, 1), fleet.send_all(other, 1)
            )
            assert [set(found) for found in statuses] == [{200}, {200}]
            assert len(cut.log_lines('hop_refused')) == before

    run(check())
