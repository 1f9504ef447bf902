"""Instances share the changes that two of them read from the store."""

import asyncio
import contextlib

from .conftest import make_plain, run, run_gateway

NAMES = ('front-1', 'front-2', 'front-3', 'front-4', 'front-5')


@contextlib.asynccontextmanager
async def run_gateways(folder):
    """Run instances on one site until two of them follow the store."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            run_gateway(folder, plain=make_plain(2)),
        )
        others = [
            await stack.enter_async_context(
                run_gateway(folder, name=name, site=first.site),
            )
            for name in NAMES[1:]
        ]
        harnesses = [first, *others]
        await first.wait_until(lambda: len(find_followers(harnesses)) == 2)
        # The last polls of the other instances end in this time.
        await asyncio.sleep(1.1)
        yield harnesses


def find_followers(harnesses):
    """Return the instances that poll the store for the manifest."""
    return [
        harness
        for harness in harnesses
        if 'keyed.op' in harness.gateway.finder.exchange.followed_positions()
    ]


def has_version(harness, version):
    """Return whether a version of the manifest is in force."""
    return harness.gateway.core.catalog.catalog.version == version


async def wait_version(harnesses, version, within_s):
    """Wait until a version of the manifest is in force on all instances."""
    await harnesses[0].wait_until(
        lambda: all(has_version(harness, version) for harness in harnesses),
        within_s,
    )


async def wait_slots(harnesses, slots, within_s):
    """Wait until all instances have the first endpoint's slots."""
    rosters = [harness.gateway.core.roster for harness in harnesses]
    await harnesses[0].wait_until(
        lambda: (
            {one.listings['page-0'].entry.slots for one in rosters} == {slots}
        ),
        within_s,
    )


def test_change_reaches_all_and_costs_the_calls_of_two(tmp_path):
    # When all instances read each change from the store, 91 instances made
    # 13,400 calls in 76 seconds.
    async def check():
        async with run_gateways(tmp_path) as harnesses:
            site = harnesses[0].site
            before = site.store.calls['/-/log-read']
            site.publish()
            site.list_endpoint(site.plain[0], slots=5)
            await wait_version(harnesses, 2, 0.5)
            await wait_slots(harnesses, 5, 0.5)
            await asyncio.sleep(1)
            # Two instances and two topics: the poll that the change ends, a
            # short one after it, and the polls of the second instance.
            assert site.store.calls['/-/log-read'] - before <= 16

    run(check())


def test_many_changes_at_once_cost_the_calls_of_two(tmp_path):
    # A release lists many endpoints within a second. If they did not fit into
    # one datagram, every instance would read all of them from the store.
    async def check():
        async with run_gateways(tmp_path) as harnesses:
            site = harnesses[0].site
            before = site.store.calls['/-/log-read']
            for number in range(16):
                site.list_endpoint(site.plain[0], slots=number + 1)
            await wait_slots(harnesses, 16, 1.5)
            # Polls of the two followers may end in this time; the other three
            # instances make none.
            assert site.store.calls['/-/log-read'] - before <= 2

    run(check())


def test_lost_update_is_read_from_the_store(tmp_path):
    # A datagram gets lost. An instance that only waited for it would serve by
    # an old manifest until the next change.
    async def check():
        async with run_gateways(tmp_path) as harnesses:
            for harness in harnesses:
                harness.gateway.finder.exchange.on_update = bool
            harnesses[0].site.publish()
            await wait_version(harnesses, 2, 1.5)

    run(check())


def test_manifest_that_no_datagram_holds_is_read_from_the_store(tmp_path):
    async def check():
        async with run_gateways(tmp_path) as harnesses:
            harnesses[0].site.publish(padding='x' * 90_000)
            await wait_version(harnesses, 2, 0.8)

    run(check())


def test_followers_that_fail_together_are_replaced(tmp_path):
    # Both instances that follow the store lose their machines at the moment of
    # a change. It must be in force two seconds later on the remaining ones.
    async def check():
        async with run_gateways(tmp_path) as harnesses:
            gone = find_followers(harnesses)
            remaining = [
                harness for harness in harnesses if harness not in gone
            ]
            for harness in gone:
                await harness.gateway.close()
            harnesses[0].site.publish()
            await wait_version(remaining, 2, 2)

    run(check())


def test_deleted_history_is_read_anew_by_all(tmp_path):
    # The store has deleted the records between an instance's offset and those
    # of an update. If the update were applied, the deleted changes would be
    # missing.
    async def check():
        async with run_gateways(tmp_path) as harnesses:
            site = harnesses[0].site
            site.store.faults.down = 503
            await harnesses[0].wait_until(lambda: not find_followers(harnesses))
            site.publish()
            site.list_endpoint(site.plain[0], slots=6)
            site.list_endpoint(site.plain[1], slots=7)
            site.store.delete_old_records('keyed.servers')
            site.store.faults.down = 0
            await wait_version(harnesses, 2, 1.9)
            await wait_slots(harnesses, 6, 2)

    run(check())


def delay_updates(harness, seconds):
    """Have updates reach an instance later than the heartbeats."""
    exchange = harness.gateway.finder.exchange
    receive = exchange.on_update
    loop = asyncio.get_running_loop()
    exchange.on_update = lambda update: loop.call_later(
        seconds,
        receive,
        update,
    )


def test_update_that_comes_after_the_heartbeat_is_waited_for(tmp_path):
    """A peer's heartbeat reports a change before its update arrives.

    The network of a starting fleet is saturated. If all instances read the
    change at once, it would cost the store a call for each instance.
    """

    async def check():
        async with run_gateways(tmp_path) as harnesses:
            for harness in harnesses:
                delay_updates(harness, 0.25)
            site = harnesses[0].site
            before = site.store.calls['/-/log-read']
            site.publish()
            await wait_version(harnesses, 2, 1)
            # The two followers make about two calls a second for each of the
            # two topics.
            assert site.store.calls['/-/log-read'] - before <= 8

    run(check())


def test_manifests_in_a_row_are_decoded_once(tmp_path):
    # Twenty large manifests were decoded one after the other, and callers were
    # not answered for seconds.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain()) as harness:
            for _ in range(20):
                harness.site.publish()
            await harness.wait_for_manifest()
            assert len(harness.log_lines('manifest')) <= 4

    run(check())
