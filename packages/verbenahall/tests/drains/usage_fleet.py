"""A simulated fleet that reports usage, and the platform that judges it."""

import asyncio
import collections
import dataclasses
import json

from verbenahall.gateway._usage import (
    make_usage_exchange,
    make_usage_reporter,
)
from verbenahall.peers import greet

from .fleet import Fleet, Instance
from .simulated_clock import START
from .simulated_network import PEER_PORT, SimulatedResponse
from .simulated_store import FOR_EVER_S

WINDOW_S = 5
LATE_S = 10
LEASE_S = 3
#: Nothing begins so near to the border of two windows, in seconds: clocks
#: that messages set differ by the messages' way.
BORDER_S = 0.01
HOLDER = 'X-Verbenahall-Duty-Holder'
TOKEN = 'X-Verbenahall-Fence-Token'


def skew_clock(core, skew_s):
    """Have an instance's wall clock be off, as it was when it started."""
    core.true_clock._local_offset += skew_s


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A report that the platform took."""

    at: float
    instance: str
    token: int
    window: int
    counts: dict


class UsageFleet(Fleet):
    """Instances that count, and a platform that takes reports.

    ``truth`` holds what began by window; ``accepted`` the reports in their
    order. ``broken`` says in words what must never happen. ``lost_calls`` and
    ``late_calls`` are shares of the calls without an answer, of which the
    late ones are carried out seconds later.
    """

    def __init__(self, seed, size):
        super().__init__(seed, size, leaving_s=2)
        self.truth = {}
        self.accepted = []
        self.broken = []
        self.lost_calls = 0
        self.late_calls = 0
        self.platform_down = False
        self._settings = {}
        self._tokens = {}
        self._highest = 0
        self._reporting = {}

    async def open(self):
        """Start the instances with what counts and reports."""
        await super().open()
        for name, instance in tuple(self.instances.items()):
            settings = instance.core.settings
            self._settings[name] = dataclasses.replace(
                settings,
                bounds=dataclasses.replace(
                    settings.bounds,
                    usage_window_s=WINDOW_S,
                    usage_late_s=LATE_S,
                ),
                duty_api='platform:1',
                duties=frozenset(('usage',)),
            )
            await self.kill(name)
            self.start(name)

    async def close(self):
        """Stop what still runs."""
        for task in self._reporting.values():
            task.cancel()
        await super().close()

    async def kill(self, name):
        """End an instance at once."""
        task = self._reporting.pop(name, None)
        if task is not None:
            task.cancel()
        await self.instances.pop(name).stop()

    def start(self, name, wall_skew_s=0):
        """Start an instance that is not running, with a clock that is off."""
        instance = Instance(self, name, self._settings[name])
        core = instance.core
        skew_clock(core, wall_skew_s)
        for peer, host in self.hosts.items():
            greet(core.book, peer, f'{host}:{PEER_PORT}', 'lampeter')
        self.instances[name] = instance
        instance.start()
        usage = make_usage_exchange(core, instance.exchange)
        reporter = make_usage_reporter(core, usage)
        self._reporting[name] = asyncio.create_task(reporter.run())

    def lose_calls(self, lost, late):
        """Have shares of the calls and appends lose their answers."""
        self.lost_calls = lost
        self.late_calls = late
        self.store.lost_appends = lost
        self.store.late_appends = late

    async def count_until(self, end):
        """Have requests begin to run until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self.source.uniform(0, 0.02))
            border_s = (loop.time() + BORDER_S) % WINDOW_S
            if border_s < 2 * BORDER_S:
                continue
            workspace = f'w-{int(self.source.paretovariate(1)) % 60}'
            instance = self.source.choice(tuple(self.instances.values()))
            instance.core.meter.note_begun(workspace)
            window = int((START + loop.time()) // WINDOW_S)
            truth = self.truth.setdefault(window, collections.Counter())
            truth[workspace] += 1

    async def take_duty(self, instance, url, data, headers):
        """Take a call to the platform, or lose it or its answer."""
        await asyncio.sleep(self.source.uniform(0.001, 0.01))
        if self.platform_down:
            await asyncio.sleep(FOR_EVER_S)
        drawn = self.source.random()
        if drawn < self.late_calls:
            loop = asyncio.get_running_loop()
            delay_s = self.source.uniform(1, 9)
            loop.call_later(delay_s, self._carry_out, instance, data, headers)
            await asyncio.sleep(FOR_EVER_S)
        status = self._carry_out(instance, data, headers)
        if drawn < self.late_calls + self.lost_calls:
            await asyncio.sleep(FOR_EVER_S)
        return SimulatedResponse(status, b'{}')

    def find_reports(self):
        """Return the counts of each window, with when they were accepted."""
        found = {}
        for one in self.accepted:
            found.setdefault(one.window, one)
        return found

    def _carry_out(self, instance, data, headers):
        now = asyncio.get_running_loop().time()
        body = json.loads(data)
        token = int(headers[TOKEN])
        if self._tokens.setdefault(token, instance) != instance:
            self.broken.append(f'token {token} of two holders')
        if token < self._highest:
            return 409
        self._highest = token
        one = Accepted(now, instance, token, body['windowId'], body['counts'])
        before = self.find_reports().get(one.window)
        if before is not None and before.counts != one.counts:
            self.broken.append(f'window {one.window} has two reports')
        self._judge_turns(one)
        self.accepted.append(one)
        return 200

    def _judge_turns(self, one):
        between = False
        for before in reversed(self.accepted):
            if one.at - before.at > LEASE_S:
                return
            if before.instance != one.instance:
                between = True
            elif between:
                self.broken.append(f'{one.instance} took turns at {one.at}')
                return
