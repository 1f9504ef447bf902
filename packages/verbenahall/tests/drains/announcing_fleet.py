"""A simulated fleet whose endpoints say that they leave or request backoffs."""

import asyncio
import random

from verbenahall.gateway._leaving_notices import LeavingReplicator
from verbenahall.platform import ENDPOINTS_TOPIC

from .rated_fleet import REPEATABLE, STAMP_HEADER
from .fleet import Fleet
from .simulated_network import SimulatedResponse

#: Requests may arrive for this long after the answer that said so, in seconds.
LEAVING_BOUND_S = 2
#: Requests may arrive for this long after a refusal, in seconds, and then this
#: many until the end of the backoff.
BACKOFF_SLACK_S = 0.5
MAX_ARRIVALS = 2


class AnnouncingFleet(Fleet):
    """Endpoints state what they do in their answers; the store may not.

    ``leaving`` holds the endpoints that say that they leave, ``backoffs`` the
    seconds that refusing ones request. ``told_at`` holds when an instance
    received the first answer of an endpoint that leaves, ``refused`` the times
    of refusals and their backoffs, ``arrivals`` the times of requests, all by
    endpoint and instance.
    """

    def __init__(self, seed, size):
        super().__init__(seed, size, leaving_s=LEAVING_BOUND_S)
        self.leaving = set()
        self.backoffs = {}
        self.told_at = {}
        self.refused = {}
        self.arrivals = {}
        self.statuses = []
        self._replicator_tasks = []

    async def open(self):
        """Start the instances, which tell each other of leaving endpoints."""
        await super().open()
        for instance in self.instances.values():
            replicator = LeavingReplicator(instance.core, instance.exchange)
            self._replicator_tasks.append(asyncio.create_task(replicator.run()))

    async def close(self):
        """Stop the instances."""
        for task in self._replicator_tasks:
            task.cancel()
        await super().close()

    async def serve(self, instance, host, path, headers):
        """Refuse or answer a request, with what the endpoint states."""
        loop = asyncio.get_running_loop()
        name = self.find_endpoint(host)
        key = (name, instance)
        self.arrivals.setdefault(key, []).append(loop.time())
        answer = {'Server-Leaving': '1'} if name in self.leaving else {}
        backoff_s = self.backoffs.get(name)
        if backoff_s is not None:
            answer['X-Verbenahall-Not-Run'] = '1'
            answer['Retry-After'] = str(backoff_s)
            self.refused.setdefault(key, []).append((loop.time(), backoff_s))
            return SimulatedResponse(503, b'', answer)
        await asyncio.sleep(self.traffic_rng.choice((0.01, 0.05, 1)))
        if name in self.leaving:
            self.told_at.setdefault(key, loop.time())
            answer['Server-Leaving'] = '1'
        return SimulatedResponse(200, b'whole', {STAMP_HEADER: 's', **answer})

    async def send_until(self, end):
        """Send requests from random instances until a time."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.traffic_rng.uniform(0, 0.02))
            instance = self.traffic_rng.choice(tuple(self.instances.values()))
            task = asyncio.create_task(self._send_repeatable(instance))
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)

    def find_late(self):
        """Return the requests that reached an endpoint that leaves."""
        return [
            (name, instance, at)
            for (name, instance), told_at in self.told_at.items()
            for at in self.arrivals[name, instance]
            if at > told_at + LEAVING_BOUND_S
        ]

    def count_most_in_backoff(self):
        """Return the most requests of an instance in one backoff."""
        return max(
            (
                sum(
                    at + BACKOFF_SLACK_S < one < at + backoff_s
                    for one in self.arrivals[key]
                )
                for key, refusals in self.refused.items()
                for at, backoff_s in refusals
            ),
            default=0,
        )

    async def _send_repeatable(self, instance):
        self.statuses.append(
            await instance.send_by_route(REPEATABLE, '/proof/1')
        )


async def announce(fleet, rng):
    """Let endpoints leave and refuse, one after the other and together."""
    while True:
        await asyncio.sleep(rng.uniform(0, 2))
        name = rng.choice(fleet.live_endpoints)
        if rng.random() < 0.5:
            fleet.backoffs[name] = rng.choice((0.2, 1, 3, 3))
            loop = asyncio.get_running_loop()
            loop.call_later(rng.uniform(0.1, 4), fleet.backoffs.pop, name, None)
        elif len(fleet.leaving) < 5:
            fleet.leaving.add(name)


async def disturb_store(fleet, rng):
    """Lose entries and list them again as ready, and lose datagrams."""
    while True:
        await asyncio.sleep(rng.uniform(1, 3))
        fleet.loss_share = rng.choice((0, 0.2, 0.9))
        if rng.random() < 0.5:
            for name in rng.sample(fleet.live_endpoints, 3):
                fleet.store.put(ENDPOINTS_TOPIC, name, b'')
            await asyncio.sleep(rng.uniform(0, 3))
        fleet.relist_endpoints()


async def simulate(seed):
    """Simulate a seed for 30 seconds; return the fleet."""
    rng = random.Random(seed)
    fleet = AnnouncingFleet(seed, rng.randint(3, 9))
    await fleet.open()
    await asyncio.sleep(3)
    faults = [
        asyncio.create_task(announce(fleet, rng)),
        asyncio.create_task(disturb_store(fleet, rng)),
    ]
    await fleet.send_until(33)
    for fault in faults:
        fault.cancel()
    await asyncio.gather(*faults, return_exceptions=True)
    await fleet.close()
    return fleet
