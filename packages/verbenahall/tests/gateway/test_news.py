"""Several instances follow the store together and lose no change."""

import asyncio
import contextlib

from .conftest import make_plain, open_desk, run

NAMES = ('front-1', 'front-2', 'front-3', 'front-4', 'front-5')


@contextlib.asynccontextmanager
async def open_desks(folder):
    """Run instances on one site until two of them follow the store."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            open_desk(folder, plain=make_plain(2)),
        )
        others = [
            await stack.enter_async_context(
                open_desk(folder, name=name, site=first.site),
            )
            for name in NAMES[1:]
        ]
        desks = [first, *others]
        await first.until(lambda: len(find_watchers(desks)) == 2)
        # The last polls of the others end.
        await asyncio.sleep(1.1)
        yield desks


def find_watchers(desks):
    """Return the instances that follow the manifest at the store."""
    return [
        desk
        for desk in desks
        if 'keyed.op' in desk.gateway.finder.exchange.followed()
    ]


def has_version(desk, version):
    """Tell whether a manifest is in force."""
    return desk.gateway.core.catalog.catalog.version == version


async def wait_version(desks, version, within_s):
    """Wait until a manifest is in force on all."""
    await desks[0].until(
        lambda: all(has_version(desk, version) for desk in desks),
        within_s,
    )


async def wait_slots(desks, slots, within_s):
    """Wait until all know the first endpoint's slots."""
    rosters = [desk.gateway.core.roster for desk in desks]
    await desks[0].until(
        lambda: {one.seats['page-0'].entry.slots for one in rosters} == {slots},
        within_s,
    )


def test_change_reaches_all_and_costs_the_calls_of_two(tmp_path):
    # Each call to the store has its price, and a change read by every one of
    # 91 instances made 13,400 calls in 76 seconds.
    async def check():
        async with open_desks(tmp_path) as desks:
            site = desks[0].site
            before = site.store.calls['/-/log-read']
            site.publish()
            site.list_endpoint(site.plain[0], slots=5)
            await wait_version(desks, 2, 0.5)
            await wait_slots(desks, 5, 0.5)
            await asyncio.sleep(1)
            # Two instances, two topics: the poll that the change ended, a
            # short one after it, and those of the second.
            assert site.store.calls['/-/log-read'] - before <= 16

    run(check())


def test_many_changes_at_once_cost_the_calls_of_two(tmp_path):
    # A release lists many endpoints within a second. Were they too many for
    # one datagram, every instance would read them all from the store.
    async def check():
        async with open_desks(tmp_path) as desks:
            site = desks[0].site
            before = site.store.calls['/-/log-read']
            for number in range(16):
                site.list_endpoint(site.plain[0], slots=number + 1)
            await wait_slots(desks, 16, 1.5)
            # Polls of the two may end meanwhile; the other three make none.
            assert site.store.calls['/-/log-read'] - before <= 2

    run(check())


def test_news_that_get_lost_are_read_from_the_store(tmp_path):
    # Datagrams get lost. An instance that waited for them would serve an old
    # manifest until the next change.
    async def check():
        async with open_desks(tmp_path) as desks:
            for desk in desks:
                desk.gateway.finder.exchange.on_update = bool
            desks[0].site.publish()
            await wait_version(desks, 2, 1.5)

    run(check())


def test_manifest_that_no_datagram_holds_is_read_from_the_store(tmp_path):
    async def check():
        async with open_desks(tmp_path) as desks:
            desks[0].site.publish(padding='x' * 90_000)
            await wait_version(desks, 2, 0.8)

    run(check())


def test_watchers_that_vanish_together_are_made_up_for(tmp_path):
    # Both instances that follow the store lose their machines at once, and
    # the next change comes at that moment. It must be in force two seconds
    # later on those that are left.
    async def check():
        async with open_desks(tmp_path) as desks:
            gone = find_watchers(desks)
            left = [desk for desk in desks if desk not in gone]
            for desk in gone:
                await desk.gateway.close()
            desks[0].site.publish()
            await wait_version(left, 2, 2)

    run(check())


def test_history_that_is_gone_is_read_anew_by_all(tmp_path):
    # The store has dropped the records between an instance's place and the
    # news. Taken at their word, they would leave out what was dropped.
    async def check():
        async with open_desks(tmp_path) as desks:
            site = desks[0].site
            site.store.faults.down = 503
            await desks[0].until(lambda: not find_watchers(desks))
            site.publish()
            site.list_endpoint(site.plain[0], slots=6)
            site.list_endpoint(site.plain[1], slots=7)
            site.store.forget('keyed.servers')
            site.store.faults.down = 0
            await wait_version(desks, 2, 1.9)
            await wait_slots(desks, 6, 2)

    run(check())


def delay_news(desk, seconds):
    """Have what an instance hears of the store come later than the words."""
    exchange = desk.gateway.finder.exchange
    hear = exchange.on_update
    loop = asyncio.get_running_loop()
    exchange.on_update = lambda news: loop.call_later(seconds, hear, news)


def test_news_that_come_after_the_word_are_waited_for(tmp_path):
    """A peer's word tells of a change, and its news are still on their way.

    The links of a fleet that starts are full. Read by everybody at once, each
    change would cost the store a call for each instance.
    """

    async def check():
        async with open_desks(tmp_path) as desks:
            for desk in desks:
                delay_news(desk, 0.25)
            site = desks[0].site
            before = site.store.calls['/-/log-read']
            site.publish()
            await wait_version(desks, 2, 1)
            # The two that follow the store make about two calls a second for
            # each of two topics.
            assert site.store.calls['/-/log-read'] - before <= 8

    run(check())
