"""Most new connections go to one instance, which has little processor time."""

import asyncio
import contextlib
import itertools
import random
import signal
import time

import aiohttp
import pytest
from verbenahall_standins.platform import HOST
from verbenahall_standins.soak import Deployment

pytestmark = pytest.mark.process

PREFIX = 'X-Verbenahall-'
DEADLINE_S = 1.5
#: Share of the new connections that go to the crowded instance.
CROWD_SHARE = 0.9
#: Time for which the crowded instance runs and stands still in turn, in
#: seconds.
RUNS_S = 0.005
STANDS_S = 0.095
#: New connections per second before, and while callers open more often.
CALM_RATE = 15
CROWD_RATE = 60
#: Time in which the instances may notice, and of each measurement, in seconds.
STABLE_S = 3
MEASURED_S = 4
#: How long an instance stands still, and for how long callers open as many
#: connections to each instance meanwhile, in seconds.
PAUSED_S = 1.3
PAUSES_S = 6
#: Share of the callers that have to be served before, and the users' rule for
#: the share that is served beside, as a part of it.
LEAST_BEFORE = 0.9
LEAST_SHARE = 0.75


async def send(address, identity):
    """Send a request on a new connection; return the status, 0 if unread."""
    headers = {
        'Host': HOST,
        f'{PREFIX}Request-Id': identity,
        f'{PREFIX}Deadline-Ms': str(int(DEADLINE_S * 1000)),
        f'{PREFIX}Key': 'key-1',
    }
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        try:
            async with (
                asyncio.timeout(DEADLINE_S),
                session.get(
                    f'http://{address}/archive/1', headers=headers
                ) as response,
            ):
                return response.status
        except TimeoutError:
            return -1
        except (aiohttp.ClientError, OSError):
            return 0


class Callers:
    """Callers that open a new connection for each request."""

    def __init__(self, deployment):
        self.addresses = [one.settings.callers for one in deployment.instances]
        self.rng = random.Random(5)
        self.numbers = itertools.count()
        self.outcomes = []

    async def call(self, crowd_share):
        """Try instances in turn; the first try that is read counts."""
        order = self.rng.sample(self.addresses, len(self.addresses))
        if self.rng.random() < crowd_share:
            order.sort(key=lambda one: one != self.addresses[0])
        started = time.monotonic()
        status = 0
        while order and not status:
            status = await send(order.pop(0), f'crowd-{next(self.numbers)}')
        self.outcomes.append((started, status))

    async def run(self, rate, seconds, crowd_share=0):
        """Call at a rate for some seconds; return the share that is served.

        The first seconds do not count, in which instances may notice.
        """
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < started + seconds:
                group.create_task(self.call(crowd_share))
                await asyncio.sleep(self.rng.expovariate(rate))
        counted = [
            status
            for at, status in self.outcomes
            if at > started + seconds - MEASURED_S
        ]
        assert len(counted) > rate
        return counted.count(200) / len(counted)

    async def run_evenly(self, rate, seconds):
        """Call the instances in turn at a rate; each call is one try."""

        async def call(address):
            started = time.monotonic()
            status = await send(address, f'even-{next(self.numbers)}')
            self.outcomes.append((started, status))

        ended_at = time.monotonic() + seconds
        addresses = itertools.cycle(self.addresses)
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ended_at:
                group.create_task(call(next(addresses)))
                await asyncio.sleep(1 / rate)


@contextlib.asynccontextmanager
async def slow_down(instance):
    """Let a process run a small part of the time only."""

    async def alternate():
        while True:
            instance.send(signal.SIGSTOP)
            await asyncio.sleep(STANDS_S)
            instance.send(signal.SIGCONT)
            await asyncio.sleep(RUNS_S)

    alternating = asyncio.create_task(alternate())
    try:
        yield
    finally:
        alternating.cancel()
        instance.send(signal.SIGCONT)


@contextlib.asynccontextmanager
async def run_deployment(folder):
    """Run three instances in front of stand-ins."""
    deployment = Deployment(folder, 3)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(deployment.stop)
        await deployment.start()
        yield deployment


def test_callers_of_a_crowded_instance_are_served(tmp_path):
    # What it reads and cannot serve in time is lost to callers whom its peers
    # would have served.
    async def check():
        async with run_deployment(tmp_path) as deployment:
            callers = Callers(deployment)
            async with slow_down(deployment.instances[0]):
                before = await callers.run(CALM_RATE, MEASURED_S)
                beside = await callers.run(
                    CROWD_RATE, STABLE_S + MEASURED_S, CROWD_SHARE
                )
        assert before >= LEAST_BEFORE
        assert beside >= before * LEAST_SHARE, f'{beside:.2f} of {before:.2f}'

    asyncio.run(check())


@pytest.mark.parametrize('rate', [6, CROWD_RATE])
def test_instance_that_stood_still_resets_no_connection(tmp_path, rate):
    # The connections that had waited during a pause of the process looked like
    # a crowd, and were reset unread: their callers got no answer.
    async def check():
        async with run_deployment(tmp_path) as deployment:
            callers = Callers(deployment)
            calling = asyncio.create_task(callers.run_evenly(rate, PAUSES_S))
            await asyncio.sleep(1)
            await deployment.instances[0].freeze(PAUSED_S)
            await asyncio.sleep(1)
            await deployment.instances[0].freeze(PAUSED_S)
            await calling
        statuses = [status for _, status in callers.outcomes]
        assert len(statuses) > rate
        assert statuses.count(0) == 0

    asyncio.run(check())
