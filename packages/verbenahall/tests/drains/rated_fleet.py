"""A simulated fleet with endpoints that name the rate that they take."""

import asyncio
import dataclasses
import random

from verbenahall.catalog import RouteKind
from verbenahall.gateway._permits import DistributedRateLimiter

from .fleet import ROUTE, Fleet
from .simulated_network import SimulatedResponse

REPEATABLE = dataclasses.replace(
    ROUTE, kind=RouteKind.IDEMPOTENT, max_attempts=2
)
STAMP = 'X-Verbenahall-Server-Stamp'
WINDOW_S = 4
SLACK = 5
#: After the first naming, and after an instance was told, in seconds.
STABLE_S = 3
TOLD_S = 0.5


class RatedFleet(Fleet):
    """Instances that ask for permits, and endpoints that name rates.

    ``arrivals`` holds time and instance of each request by endpoint, ``told``
    when an instance got an answer that named the rate.
    """

    def __init__(self, seed, size):
        super().__init__(seed, size, leaving_s=2)
        self.rates = {}
        self.named_at = {}
        self.arrivals = {}
        self.told = {}
        self.statuses = []
        self._running = []

    async def open(self):
        """Start the instances with what asks for permits."""
        await super().open()
        for instance in self.instances.values():
            limiter = DistributedRateLimiter(instance.core, instance.exchange)
            self._running.append(asyncio.create_task(limiter.run()))

    async def close(self):
        """Stop what still runs."""
        for task in self._running:
            task.cancel()
        await super().close()

    def name_rate(self, endpoint, rate):
        """Have an endpoint name a rate from now on."""
        self.rates[endpoint] = rate
        self.named_at[endpoint] = asyncio.get_running_loop().time()

    async def serve(self, instance, host, path, headers):
        """Answer after a while, with the rate if there is one."""
        loop = asyncio.get_running_loop()
        name = self.find_endpoint(host)
        self.arrivals.setdefault(name, []).append((loop.time(), instance))
        named = self.rates.get(name)
        await asyncio.sleep(self.source.uniform(0.01, 0.3))
        answer = {STAMP: 'signed'}
        if named:
            answer['Server-Limit'] = str(named)
            self.told.setdefault((name, instance), loop.time())
        return SimulatedResponse(200, b'whole', answer)

    async def ask(self, instance):
        """Ask once."""
        self.statuses.append(await instance.ask(REPEATABLE, '/proof/1'))

    async def ask_until(self, end):
        """Have callers ask at all instances."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.source.uniform(0, 0.02))
            instance = self.source.choice(tuple(self.instances.values()))
            flow = asyncio.create_task(self.ask(instance))
            self._flows.add(flow)
            flow.add_done_callback(self._flows.discard)

    def find_excess(self, endpoint):
        """Return by how much the bound is broken at worst, 0 if it is not."""
        counted = [
            at
            for at, instance in self.arrivals.get(endpoint, ())
            if at > self.named_at[endpoint] + STABLE_S
            and at > self.told.get((endpoint, instance), at) + TOLD_S
        ]
        allowed = 1.5 * self.rates[endpoint] * WINDOW_S + SLACK
        most = max(
            (
                sum(at <= one < at + WINDOW_S for one in counted)
                for at in counted
            ),
            default=0,
        )
        return max(0, most - allowed)


async def cut_parts(fleet, draw):
    """Cut the fleet in parts, lose datagrams, end instances."""
    while True:
        await asyncio.sleep(draw.uniform(0, 4))
        parts = draw.randint(1, 3)
        fleet.groups = {
            name: draw.randrange(parts) for name in sorted(fleet.instances)
        }
        fleet.loss = draw.choice((0, 0.1, 0.4))
        fleet.delay_s = draw.choice((0, 0, 0.05))
        if len(fleet.instances) > 3 and draw.random() < 0.3:
            name = draw.choice(sorted(fleet.instances))
            await fleet.instances.pop(name).stop()
        await asyncio.sleep(draw.uniform(1, 6))
        fleet.groups = {}
        fleet.loss = draw.choice((0, 0, 0.1))
        fleet.delay_s = 0


async def play(seed, harm):
    """Play a seed for 30 seconds; return the fleet."""
    draw = random.Random(seed)
    fleet = RatedFleet(seed, draw.randint(3, 9))
    await fleet.open()
    await asyncio.sleep(3)
    trouble = asyncio.create_task(harm(fleet, draw))
    for name in draw.sample(fleet.live, 3):
        fleet.name_rate(name, draw.choice((0.3, 1, 2.6, 5, 12)))
    await fleet.ask_until(33)
    trouble.cancel()
    await asyncio.gather(trouble, return_exceptions=True)
    await fleet.close()
    return fleet


async def rest(fleet, draw):
    """Harm nothing."""
