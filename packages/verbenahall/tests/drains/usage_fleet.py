"""A simulated fleet that reports usage, and a platform that checks it."""

import asyncio
import collections
import dataclasses
import json

from verbenahall.gateway._usage import (
    make_usage_exchange,
    make_usage_reporter,
)
from verbenahall.peers import add_peer

from .fleet import Fleet, Instance
from .simulated_clock import START_TIME_S
from .simulated_network import PEER_PORT, SimulatedResponse
from .simulated_store import NEVER_S

WINDOW_S = 5
REPORT_DELAY_S = 10
LEASE_S = 3
#: No request starts this close to a window's boundary, in seconds: clocks
#: that are synchronized by messages differ by the messages' latency.
BOUNDARY_MARGIN_S = 0.01
HOLDER_HEADER = 'X-Verbenahall-Duty-Holder'
TOKEN_HEADER = 'X-Verbenahall-Fence-Token'


def skew_clock(core, skew_s):
    """Shift an instance's wall clock, as if it had started with an offset."""
    core.synced_clock._local_offset += skew_s


@dataclasses.dataclass(frozen=True)
class AcceptedReport:
    """A usage report that the platform accepted."""

    at: float
    instance: str
    token: int
    window: int
    counts: dict


class UsageFleet(Fleet):
    """Instances that count usage, and a platform that accepts reports.

    ``true_counts`` holds the started requests by window and workspace,
    ``accepted_reports`` the reports in order, ``violations`` a line for each
    broken invariant. ``lost_call_share`` and ``late_call_share`` are shares
    of the calls that get no answer; the late ones are applied seconds later.
    """

    def __init__(self, seed, size):
        super().__init__(seed, size, leaving_s=2)
        self.true_counts = {}
        self.accepted_reports = []
        self.violations = []
        self.lost_call_share = 0
        self.late_call_share = 0
        self.platform_down = False
        self._settings = {}
        self._token_holders = {}
        self._max_token = 0
        self._reporter_tasks = {}

    async def open(self):
        """Start the instances with usage counting and reporting."""
        await super().open()
        for name, instance in tuple(self.instances.items()):
            settings = instance.core.settings
            self._settings[name] = dataclasses.replace(
                settings,
                bounds=dataclasses.replace(
                    settings.bounds,
                    usage_window_s=WINDOW_S,
                    usage_late_s=REPORT_DELAY_S,
                ),
                duty_api='platform:1',
                duties=frozenset(('usage',)),
            )
            await self.kill(name)
            self.start(name)

    async def close(self):
        """Stop the usage reporters, then the instances."""
        for task in self._reporter_tasks.values():
            task.cancel()
        await super().close()

    async def kill(self, name):
        """Stop an instance without a graceful shutdown."""
        task = self._reporter_tasks.pop(name, None)
        if task is not None:
            task.cancel()
        await self.instances.pop(name).stop()

    def start(self, name, wall_skew_s=0):
        """Start a stopped instance, with its wall clock shifted."""
        instance = Instance(self, name, self._settings[name])
        core = instance.core
        skew_clock(core, wall_skew_s)
        for peer, host in self.hosts.items():
            add_peer(core.peer_table, peer, f'{host}:{PEER_PORT}', 'lampeter')
        self.instances[name] = instance
        instance.start()
        usage = make_usage_exchange(core, instance.exchange)
        reporter = make_usage_reporter(core, usage)
        self._reporter_tasks[name] = asyncio.create_task(reporter.run())

    def set_loss_shares(self, lost_share, late_share):
        """Set the shares of calls and appends whose answers are lost."""
        self.lost_call_share = lost_share
        self.late_call_share = late_share
        self.store.lost_append_share = lost_share
        self.store.late_append_share = late_share

    async def count_until(self, end):
        """Count started requests at random instances until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self.traffic_rng.uniform(0, 0.02))
            boundary_s = (loop.time() + BOUNDARY_MARGIN_S) % WINDOW_S
            if boundary_s < 2 * BOUNDARY_MARGIN_S:
                continue
            workspace = f'w-{int(self.traffic_rng.paretovariate(1)) % 60}'
            instance = self.traffic_rng.choice(tuple(self.instances.values()))
            instance.core.meter.record_started(workspace)
            window = int((START_TIME_S + loop.time()) // WINDOW_S)
            window_counts = self.true_counts.setdefault(
                window, collections.Counter()
            )
            window_counts[workspace] += 1

    async def handle_duty_call(self, instance, url, data, headers):
        """Handle a duty's call, delay it, or lose its answer."""
        await asyncio.sleep(self.traffic_rng.uniform(0.001, 0.01))
        if self.platform_down:
            await asyncio.sleep(NEVER_S)
        drawn = self.traffic_rng.random()
        if drawn < self.late_call_share:
            loop = asyncio.get_running_loop()
            delay_s = self.traffic_rng.uniform(1, 9)
            loop.call_later(
                delay_s, self._apply_report, instance, data, headers
            )
            await asyncio.sleep(NEVER_S)
        status = self._apply_report(instance, data, headers)
        if drawn < self.late_call_share + self.lost_call_share:
            await asyncio.sleep(NEVER_S)
        return SimulatedResponse(status, b'{}')

    def find_reports(self):
        """Return the first accepted report of each window."""
        found = {}
        for report in self.accepted_reports:
            found.setdefault(report.window, report)
        return found

    def _apply_report(self, instance, data, headers):
        now = asyncio.get_running_loop().time()
        body = json.loads(data)
        token = int(headers[TOKEN_HEADER])
        if self._token_holders.setdefault(token, instance) != instance:
            self.violations.append(f'token {token} of two holders')
        if token < self._max_token:
            return 409
        self._max_token = token
        report = AcceptedReport(
            now, instance, token, body['windowId'], body['counts']
        )
        before = self.find_reports().get(report.window)
        if before is not None and before.counts != report.counts:
            self.violations.append(f'window {report.window} has two reports')
        self._check_alternation(report)
        self.accepted_reports.append(report)
        return 200

    def _check_alternation(self, report):
        between = False
        for before in reversed(self.accepted_reports):
            if report.at - before.at > LEASE_S:
                return
            if before.instance != report.instance:
                between = True
            elif between:
                self.violations.append(
                    f'{report.instance} reported in alternation at {report.at}'
                )
                return
