"""Instances that are partitioned from all endpoints, and their callers."""

import asyncio
import contextlib
import functools
import itertools

import pytest
from verbenahall_standins.soak import Cut, EndpointLinks

from verbenahall.peers import list_live_peers

from .conftest import make_engines, make_plain, run, run_gateway

#: Time after the begin of a cut from which on callers must be served, in
#: seconds: the operators' bound for a stable state.
STABLE_S = 3.0
#: Share of the others' successes that callers of a cut instance must get.
LEAST_SHARE = 2 / 3
FORMS = (Cut.HANGING, Cut.RESET, Cut.NO_NEW)
ROUTES = (
    ('POST', '/summary/1'),
    ('POST', '/blurb/1'),
    ('POST', '/proof/1'),
    ('GET', '/archive/1'),
)


class Fleet:
    """Instances on one site; ``links`` are those of the first instance."""

    def __init__(self, harnesses, links):
        self.harnesses = harnesses
        self.links = links
        self._numbers = itertools.count()

    async def send(self, harness, method, path, **options):
        """Send one request; return its status."""
        identity = f'r-{next(self._numbers)}'
        with contextlib.suppress(OSError):
            async with asyncio.timeout(4):
                answer = await harness.send(
                    path, identity, method=method, **options
                )
            return answer[0]
        return 0

    async def send_all(self, harness, seconds):
        """Send requests of all routes for some time; return their statuses."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        for method, path in itertools.cycle(ROUTES):
            if loop.time() >= end:
                break
            sending = self.send(harness, method, path)
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(0.05)
        return await asyncio.gather(*tasks)


@contextlib.asynccontextmanager
async def run_fleet(folder, count=2):
    """Run instances that receive each other's heartbeats."""
    links = EndpointLinks()
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            run_gateway(
                folder,
                make_engines(decode_count=2),
                make_plain(2),
                links=links,
            ),
        )
        harnesses = [first]
        for number in range(1, count):
            harness = run_gateway(
                folder, name=f'front-{number + 1}', site=first.site
            )
            harnesses.append(await stack.enter_async_context(harness))
        for harness in harnesses:
            await harness.wait_until(
                functools.partial(has_live_peers, harness, count - 1)
            )
        yield Fleet(harnesses, links)


def has_live_peers(harness, count):
    """Whether an instance receives the heartbeats of ``count`` peers."""
    core = harness.gateway.core
    return len(list_live_peers(core.peer_table, core.now(), 1)) == count


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
            fleet.links.cut(form)
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
                fleet.links.cut(Cut.RESET)
                await sending
                fleet.links.cut(Cut.NONE)
                await asyncio.sleep(1)
            assert cut.log_lines('connection_lost')
            assert not cut.log_lines('crash')

    run(check())
