"""A simulated fleet with endpoints that advertise a rate limit."""

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
STAMP_HEADER = 'X-Verbenahall-Server-Stamp'
#: Window in which arrivals are counted, in seconds.
WINDOW_S = 4
#: Requests allowed in a window in addition to 1.5 times the rate.
SLACK_REQUESTS = 5
#: Seconds from the first advertisement until the limit is checked.
SETTLING_S = 3
#: Seconds after which the sends of an instance that has received the rate are
#: counted.
RATE_DELAY_S = 0.5


class RatedFleet(Fleet):
    """Instances that request permits, and endpoints that advertise rates.

    ``arrivals`` holds the time and instance of each request by endpoint,
    ``rate_received_at`` the time at which an instance first received an
    endpoint's rate.
    """

    def __init__(self, seed, size):
        super().__init__(seed, size, leaving_s=2)
        self.rates = {}
        self.rate_set_at = {}
        self.arrivals = {}
        self.rate_received_at = {}
        self.statuses = []
        self._permit_tasks = []

    async def open(self):
        """Start the instances with their rate limiters."""
        await super().open()
        for instance in self.instances.values():
            limiter = DistributedRateLimiter(instance.core, instance.exchange)
            self._permit_tasks.append(asyncio.create_task(limiter.run()))

    async def close(self):
        """Stop the rate limiters, then the instances."""
        for task in self._permit_tasks:
            task.cancel()
        await super().close()

    def set_rate(self, endpoint, rate):
        """Have an endpoint advertise a rate (requests a second) from now on."""
        self.rates[endpoint] = rate
        self.rate_set_at[endpoint] = asyncio.get_running_loop().time()

    async def serve(self, instance, host, path, headers):
        """Answer after a delay, with the rate if one is set."""
        loop = asyncio.get_running_loop()
        name = self.find_endpoint(host)
        self.arrivals.setdefault(name, []).append((loop.time(), instance))
        rate = self.rates.get(name)
        await asyncio.sleep(self.traffic_rng.uniform(0.01, 0.3))
        answer = {STAMP_HEADER: 'signed'}
        if rate:
            answer['Server-Limit'] = str(rate)
            self.rate_received_at.setdefault((name, instance), loop.time())
        return SimulatedResponse(200, b'whole', answer)

    async def send_request(self, instance):
        """Send one request and keep its status."""
        self.statuses.append(
            await instance.send_by_route(REPEATABLE, '/proof/1')
        )

    async def send_requests_until(self, end):
        """Send requests from random instances until a time."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.traffic_rng.uniform(0, 0.02))
            instance = self.traffic_rng.choice(tuple(self.instances.values()))
            request_task = asyncio.create_task(self.send_request(instance))
            self._request_tasks.add(request_task)
            request_task.add_done_callback(self._request_tasks.discard)

    def find_excess(self, endpoint):
        """Return the largest excess over the allowed requests of a window."""
        counted = [
            at
            for at, instance in self.arrivals.get(endpoint, ())
            if at > self.rate_set_at[endpoint] + SETTLING_S
            and at
            > self.rate_received_at.get((endpoint, instance), at) + RATE_DELAY_S
        ]
        allowed = 1.5 * self.rates[endpoint] * WINDOW_S + SLACK_REQUESTS
        max_count = max(
            (
                sum(at <= sent_at < at + WINDOW_S for sent_at in counted)
                for at in counted
            ),
            default=0,
        )
        return max(0, max_count - allowed)


async def disturb_network(fleet, rng):
    """Partition the fleet, lose datagrams and stop instances."""
    while True:
        await asyncio.sleep(rng.uniform(0, 4))
        partition_count = rng.randint(1, 3)
        fleet.partitions = {
            name: rng.randrange(partition_count)
            for name in sorted(fleet.instances)
        }
        fleet.loss_share = rng.choice((0, 0.1, 0.4))
        fleet.delay_s = rng.choice((0, 0, 0.05))
        if len(fleet.instances) > 3 and rng.random() < 0.3:
            name = rng.choice(sorted(fleet.instances))
            await fleet.instances.pop(name).stop()
        await asyncio.sleep(rng.uniform(1, 6))
        fleet.partitions = {}
        fleet.loss_share = rng.choice((0, 0, 0.1))
        fleet.delay_s = 0


async def simulate(seed, inject_faults):
    """Simulate a seed for 30 seconds; return the fleet."""
    rng = random.Random(seed)
    fleet = RatedFleet(seed, rng.randint(3, 9))
    await fleet.open()
    await asyncio.sleep(3)
    fault_task = asyncio.create_task(inject_faults(fleet, rng))
    for name in rng.sample(fleet.live_endpoints, 3):
        fleet.set_rate(name, rng.choice((0.3, 1, 2.6, 5, 12)))
    await fleet.send_requests_until(33)
    fault_task.cancel()
    await asyncio.gather(fault_task, return_exceptions=True)
    await fleet.close()
    return fleet


async def inject_nothing(fleet, rng):
    """Inject no fault."""
