"""Usage reports and scaling by a whole instance, over real sockets."""

import asyncio
import collections
import contextlib
import itertools

from verbenahall_standins.platform import DutyStandIn, EnginePool, Site

from .conftest import PREFIX, make_engines, make_plain, run, run_gateway

WORKSPACES = (
    {'name': 'club', 'apiKeys': ['club-key']},
    {'name': 'council', 'apiKeys': ['council-key']},
)
ZONES = ('aberystwyth', 'cardigan', 'lampeter')
AUTOSCALE = {
    'min': 1,
    'max': 20,
    'bootTimeoutS': 0.2,
    'spotPrice': 0.18,
    'zonePrices': dict.fromkeys(ZONES, 1.0),
}


def make_site(engines=(), plain=(), **autoscale):
    """Return a site whose callers need API keys, and its duty interface."""
    site = Site(engines, plain, {'tenants': WORKSPACES})
    if autoscale:
        site.manifest['services'] = site.list_services(drafter=autoscale)
    return site, DutyStandIn(site)


@contextlib.asynccontextmanager
async def open_site(folder, site, duties):
    """Run a gateway in front of a site that has duties."""
    await site.start()
    try:
        async with run_gateway(folder, site=site, duties=duties) as harness:
            yield harness
    finally:
        await site.stop()


async def send_as_workspace(harness, number, path):
    """Send a request with the key of one of the workspaces."""
    tenant = WORKSPACES[number % len(WORKSPACES)]
    headers = {f'{PREFIX}Key': tenant['apiKeys'][0]}
    status, _, _ = await harness.send(path, f'r-{number}', headers=headers)
    return tenant['name'], status


def sum_reports(duties):
    """Return each workspace's total over all reports."""
    total = collections.Counter()
    for counts in duties.reports.values():
        total.update(counts)
    return total


def test_usage_of_streams_and_plain_requests_is_reported(tmp_path):
    """Every request that started is in the report of exactly one window."""

    async def check():
        site, duties = make_site(make_engines(), make_plain(1))
        async with open_site(tmp_path, site, duties) as harness:
            sent = collections.Counter()
            for number in range(40):
                path = ('/proof/1', '/summary/1')[number // 2 % 2]
                name, status = await send_as_workspace(harness, number, path)
                assert status == 200
                sent[name] += 1
                await asyncio.sleep(0.02)
            await harness.wait_until(lambda: sum_reports(duties) == sent, 12)
            assert not duties.violations

    run(check())


def test_report_that_the_platform_accepted_late_is_not_changed(tmp_path):
    """A call times out, is repeated, and the first one is carried out late."""

    async def check():
        site, duties = make_site(plain=make_plain(1))
        async with open_site(tmp_path, site, duties) as harness:
            duties.faults.late_s = 0.7
            for number in range(10):
                await send_as_workspace(harness, number, '/proof/1')
            await harness.wait_until(lambda: duties.reports, 12)
            duties.faults.late_s = 0
            await harness.wait_until(
                lambda: sum(sum_reports(duties).values()) == 10
            )
            assert not duties.violations

    run(check())


@contextlib.asynccontextmanager
async def send_steadily(harness):
    """Send requests to the engines; yields the statuses so far."""
    statuses = collections.Counter()

    async def send_all():
        for number in itertools.count():
            _, status = await send_as_workspace(harness, number, '/summary/1')
            statuses[status] += 1
            await asyncio.sleep(0.02)

    task = asyncio.create_task(send_all())
    try:
        yield statuses
    finally:
        task.cancel()
        await asyncio.wait([task])


def count_spot(duties):
    """Return the number of spot engines in each data centre."""
    return [duties.pools.count(EnginePool(zone, spot=True)) for zone in ZONES]


def test_spot_instances_replace_on_demand_engines_without_errors(tmp_path):
    """Spot instances start before on-demand ones leave; no request fails."""

    async def check():
        site, duties = make_site(make_engines(), **AUTOSCALE)
        async with open_site(tmp_path, site, duties) as harness:
            on_demand = EnginePool('lampeter', spot=False)
            # Three engines remain after the loss of two data centres, as many
            # as at the start.
            await harness.wait_until(
                lambda: count_spot(duties) == [3, 3, 3], 12
            )
            async with send_steadily(harness) as statuses:
                # A prefill and a decode engine remain after the loss of two
                # data centres.
                await harness.wait_until(
                    lambda: (
                        count_spot(duties) == [2, 2, 2]
                        and not duties.pools.count(on_demand)
                    ),
                    40,
                )
            assert set(statuses) == {200}
            assert not duties.violations

    run(check())


def test_exhausted_pool_is_compensated_by_another(tmp_path):
    """Only one data centre has spot instances available."""

    async def check():
        site, duties = make_site(make_engines(), **AUTOSCALE)
        duties.pools.empty.update(
            EnginePool(zone, spot=True) for zone in ZONES[:2]
        )
        async with open_site(tmp_path, site, duties) as harness:
            held = EnginePool('lampeter', spot=True)
            async with send_steadily(harness) as statuses:
                await harness.wait_until(
                    lambda: duties.pools.count(held) == 2, 15
                )
                # Its spot instances may be lost, too.
                await asyncio.sleep(12)
            on_demand = EnginePool('lampeter', spot=False)
            assert duties.pools.count(on_demand) == 2
            assert set(statuses) == {200}
            lines = [
                line
                for line in harness.log_lines('duty_call')
                if line['outcome'] == 'fenced'
            ]
            assert len(lines) >= 2
            assert not harness.log_lines('duty_lost')

    run(check())


def test_reclaimed_engines_leave_without_a_broken_stream(tmp_path):
    """All spot instances of a data centre are reclaimed after a notice."""

    async def check():
        site, duties = make_site(make_engines(), **AUTOSCALE)
        async with open_site(tmp_path, site, duties) as harness:
            pool = EnginePool('cardigan', spot=True)
            async with send_steadily(harness) as statuses:
                await harness.wait_until(
                    lambda: duties.pools.count(pool) == 2, 15
                )
                before = statuses.total()
                await duties.pools.reclaim('cardigan', 0.5)
                await harness.wait_until(
                    lambda: statuses.total() >= before + 30
                )
            assert set(statuses) == {200}
            assert not duties.pools.count(pool)

    run(check())


def test_entries_that_lapse_with_the_store_order_no_engines(tmp_path):
    """The entries of all engines lapse while the store is unreachable."""

    async def check():
        site, duties = make_site(make_engines(), **AUTOSCALE)
        async with open_site(tmp_path, site, duties) as harness:
            on_demand = EnginePool('lampeter', spot=False)
            async with send_steadily(harness):
                await harness.wait_until(
                    lambda: (
                        count_spot(duties) == [2, 2, 2]
                        and not duties.pools.count(on_demand)
                    ),
                    40,
                )
            ordered = len(harness.log_lines('scale_order'))
            site.store.faults.down = 503
            await harness.wait_until(lambda: harness.log_lines('store_lost'))
            for name in list(harness.gateway.core.roster.listings):
                site.unlist(name)
            site.store.faults.down = 0
            await harness.wait_until(
                lambda: harness.log_lines('store_regained')
            )
            # Lapsed entries are listed again within about two seconds.
            await asyncio.sleep(2.6)
            assert len(harness.log_lines('scale_order')) == ordered

    run(check())
