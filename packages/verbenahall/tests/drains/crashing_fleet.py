"""A simulated fleet whose endpoints crash, with or without a culprit."""

import asyncio
import dataclasses
import errno
import random
from unittest import mock

import aiohttp
from aiohttp.client_reqrep import ConnectionKey

from verbenahall.catalog import RouteKind
from verbenahall.gateway import _crashes as crashes
from verbenahall.gateway._crash_reports import CrashLogReplicator
from verbenahall.gateway._probes import ConnectOutcome
from verbenahall.quarantine import find_quarantine_s, make_fingerprint

from .fleet import ROUTE, Fleet
from .simulated_network import SimulatedResponse

CRASHING = '/proof/crashing'
STAMP = 'X-Verbenahall-Server-Stamp'
REPEATABLE = dataclasses.replace(
    ROUTE, kind=RouteKind.IDEMPOTENT, max_attempts=2, timeout_s=4
)
#: Time from the start of a run to the endpoint's crash, in seconds.
CRASH_S = 0.06
KEY = ConnectionKey('endpoint', 80, False, None, None, None, None)


class CrashingFleet(Fleet):
    """Instances that tell each other of crashes, and endpoints that crash.

    ``crashed`` holds the time of each crash by the crashing request, and
    ``crashing_sends`` when it reached an endpoint and from where.
    """

    def __init__(self, seed, size):
        super().__init__(seed, size, leaving_s=2)
        self.crashed = []
        self.crashing_sends = []
        self.quarantined = 0
        self.answered = 0
        self._down = set()
        self._open = {}
        self._watching = []

    async def open(self):
        """Start the instances with what looks for crashes."""
        self.store.put('keyed.crashes', 'nobody', b'')
        await super().open()
        for instance in self.instances.values():
            replicator = CrashLogReplicator(instance.core, instance.exchange)
            detector = crashes.CrashDetector(instance.core, replicator)
            for loop in (replicator.run(), detector.run()):
                self._watching.append(asyncio.create_task(loop))

    async def close(self):
        """Stop what still runs."""
        for instance in self.instances.values():
            self._watching.extend(instance.core._tasks)
        for task in self._watching:
            task.cancel()
        await super().close()

    async def serve(self, instance, host, path, headers):
        """Run a request at an endpoint, until it ends or crashes."""
        name = self.find_endpoint(host)
        if name in self._down:
            refused = ConnectionRefusedError(errno.ECONNREFUSED, 'refused')
            raise aiohttp.ClientConnectorError(KEY, refused)
        if path == CRASHING:
            now = asyncio.get_running_loop().time()
            self.crashing_sends.append((now, instance))
            asyncio.create_task(self._crash_soon(name))
        ended = asyncio.get_running_loop().create_future()
        runs = self._open.setdefault(name, {})
        runs[ended] = path
        lasts_s = 9 if path == CRASHING else self.source.uniform(0.02, 1)
        try:
            async with asyncio.timeout(lasts_s):
                await ended
        except TimeoutError:
            return SimulatedResponse(200, b'whole', {STAMP: 'signed'})
        finally:
            runs.pop(ended)
        raise aiohttp.ServerDisconnectedError

    def crash(self, name):
        """End an endpoint and all that runs there; another start follows."""
        if name in self._down or name not in self.live:
            return False
        self._down.add(name)
        self.live.remove(name)
        for run in tuple(self._open.get(name, ())):
            if not run.done():
                run.set_result(None)
        self.join()
        loop = asyncio.get_running_loop()
        loop.call_later(3, self.remove, name)
        return True

    async def try_connect(self, address):
        """Try to connect to an endpoint."""
        await asyncio.sleep(0.002)
        name = self.find_endpoint(address.partition(':')[0])
        return (
            ConnectOutcome.REFUSES
            if name in self._down
            else ConnectOutcome.LISTENS
        )

    async def ask(self, instance, path):
        """Ask once, as a caller whose request is told by its path."""
        fingerprint = make_fingerprint('POST', '', path, b'')
        now = instance.core.now()
        if find_quarantine_s(instance.core.crash_log, fingerprint, now):
            self.quarantined += path != CRASHING
            return
        status = await instance.ask(REPEATABLE, path, fingerprint)
        self.answered += status == 200

    async def ask_until(self, end, crashing_every_s):
        """Have callers ask, some of them for what crashes endpoints."""
        loop = asyncio.get_running_loop()
        due_at = loop.time()
        number = 0
        while loop.time() < end:
            await asyncio.sleep(self.source.uniform(0, 0.02))
            number += 1
            path = f'/proof/{number}'
            if crashing_every_s and loop.time() > due_at:
                path = CRASHING
                due_at += crashing_every_s * self.source.uniform(0.5, 1.5)
            instance = self.source.choice(tuple(self.instances.values()))
            flow = asyncio.create_task(self.ask(instance, path))
            self._flows.add(flow)
            flow.add_done_callback(self._flows.discard)

    async def _crash_soon(self, name):
        await asyncio.sleep(CRASH_S)
        if self.crash(name):
            self.crashed.append(asyncio.get_running_loop().time())


def list_late_sends(fleet, crashes_allowed=3):
    """Return the sends that begin in touch after the last crash allowed."""
    if len(fleet.crashed) < crashes_allowed:
        return []
    third_at = sorted(fleet.crashed)[crashes_allowed - 1]
    return [
        (at, instance)
        for at, instance in fleet.crashing_sends
        if at > third_at + fleet.stable_s
    ]


async def cut_parts(fleet, draw):
    """Cut the fleet in parts, lose datagrams, and heal both again."""
    while True:
        await asyncio.sleep(draw.uniform(0, 4))
        parts = draw.randint(2, 3)
        fleet.groups = {
            name: draw.randrange(parts) for name in sorted(fleet.instances)
        }
        fleet.loss = draw.choice((0, 0.1, 0.5))
        await asyncio.sleep(draw.uniform(1, 8))
        fleet.groups = {}
        fleet.loss = draw.choice((0, 0, 0.1))


async def cut_for_good(fleet, draw):
    """Cut the fleet in three parts that hear nothing of each other."""
    names = sorted(fleet.instances)
    fleet.groups = {name: number % 3 for number, name in enumerate(names)}


async def play(seed, crashing_every_s, harm):
    """Play a seed for 30 seconds; return the fleet."""
    draw = random.Random(seed)
    fleet = CrashingFleet(seed, draw.randint(4, 9))
    fleet.stable_s = 3
    with mock.patch.object(crashes, 'try_connect', fleet.try_connect):
        await fleet.open()
        await asyncio.sleep(3)
        trouble = asyncio.create_task(harm(fleet, draw))
        await fleet.ask_until(30, crashing_every_s)
        trouble.cancel()
        await asyncio.gather(trouble, return_exceptions=True)
        await fleet.close()
    return fleet


async def crash_any(fleet, draw):
    """Crash endpoints for no reason, several at once."""
    while True:
        await asyncio.sleep(draw.uniform(0.5, 4))
        for name in draw.sample(fleet.live, draw.randint(1, 5)):
            fleet.crash(name)
