"""Shared state of one process: catalog, roster, open work, retry budgets."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, Final, final

import aiohttp

from verbenahall import clock
from verbenahall.buffers import ByteBudget, make_byte_limit
from verbenahall.capacity import DemandMeter
from verbenahall.catalog import CatalogState
from verbenahall.endpoint_health import Endpoints
from verbenahall.fair_shares import FairShares
from verbenahall.gateway._engine_calls import EngineCalls
from verbenahall.gateway._hooks import (
    CrashObserver,
    Forwarder,
    NoForwarder,
    NoLimiter,
    NoObserver,
    NoStop,
    RateLimiter,
    StopClock,
)
from verbenahall.gateway._version_hook import NoVersionFinder, VersionFinder
from verbenahall.overload import EarlierWaits
from verbenahall.peers import PeerTable
from verbenahall.placement import PlacementState
from verbenahall.platform import (
    CONNECT_S,
    ENDPOINTS_TOPIC,
    OPERATOR_TOPIC,
    ProcessSettings,
    StoreClient,
    make_session,
)
from verbenahall.quarantine import CrashLog
from verbenahall.reach import ReachTable
from verbenahall.requests import WindowBudget
from verbenahall.roster import (
    LAPSE_GRACE_S,
    Roster,
    RosterRules,
    format_incarnation,
)
from verbenahall.shutdown import RunTimes
from verbenahall.store_relay import Freshness, StoreSpacing
from verbenahall.throttling import RateTable
from verbenahall.usage import SyncedClock, UsageMeter

#: Share of the operators' bound on retries that is used. The bound applies to
#: the times at which sends arrive, which differ from the times at which they
#: are decided.
_BUDGET_SHARE: Final = 0.8
#: Longest time from the choice of an endpoint to the arrival of the request
#: there, in seconds: a new connection, and an iteration of the event loop.
_MAX_SEND_S: Final = CONNECT_S + 0.1
#: Smallest usable age of a local copy, as a share of the bound that it follows
#: from. It applies if the bound is hardly longer than a send.
_MIN_USABLE_SHARE: Final = 0.7
#: Smallest number of instances that the retry budget is divided by: some
#: instances may not be known yet.
_MIN_INSTANCES: Final = 10


@final
class Core:
    """The state that the parts of the process share."""

    def __init__(
        self,
        settings: ProcessSettings,
        session: aiohttp.ClientSession | None = None,
    ) -> None:
        """Start with the settings; calls go through ``session``."""
        self.settings = settings
        self.random = random.Random()
        self.catalog = CatalogState()
        usable_s = _find_usable_age(settings.bounds.leaving_s)
        self.roster = Roster(
            RosterRules(
                lapse_grace_s=min(LAPSE_GRACE_S, usable_s), usable_s=usable_s
            ),
        )
        #: Age of the local copy of each topic.
        self.freshness = {
            ENDPOINTS_TOPIC: Freshness(usable_s),
            OPERATOR_TOPIC: Freshness(
                _find_usable_age(settings.bounds.manifest_s),
            ),
        }
        self.store_spacing = StoreSpacing(self.random)
        self.synced_clock = SyncedClock(clock.boottime, clock.wall)
        self.meter = UsageMeter(
            settings.bounds.usage_window_s,
            self.synced_clock.now,
        )
        self.crash_log = CrashLog()
        self.rates = RateTable()
        self.limiter: RateLimiter = NoLimiter()
        self.observer: CrashObserver = NoObserver()
        self.reach = ReachTable()
        self.forwarder: Forwarder = NoForwarder()
        self.stream_versions: VersionFinder = NoVersionFinder()
        self.placement = PlacementState()
        self.demand = DemandMeter(self.placement)
        self.peer_table = PeerTable(
            settings.name,
            settings.data_centre,
            settings.cores,
            settings.link_megabits,
        )
        self.byte_budget = ByteBudget(make_byte_limit(settings.memory_bytes))
        self.session = session or make_session(self.byte_budget.bounds)
        self.now = clock.monotonic
        self.endpoints = Endpoints(self.roster, self.random, self.now)
        self.endpoint_health = self.endpoints.health
        self.engines = EngineCalls(self.session, self.endpoints.notices)
        self.store = StoreClient(self.session, settings.store)
        self.earlier_waits = EarlierWaits()
        self.run_times = RunTimes(self.now)
        self.stop: StopClock = NoStop()
        self.fair_shares = FairShares()
        self._budgets: dict[str, WindowBudget] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return self.catalog.catalog is not None and self.roster.is_loaded

    @property
    def instance_count(self) -> int:
        """Number of known instances, including this one."""
        return len(self.peer_table.peers) + 1

    def bears(self, route: str, left_s: float) -> bool:
        """Whether a stop leaves enough time for a request of a route.

        ``left_s`` is how long its caller still waits, in seconds.
        """
        needed_s = self.run_times.estimate(route, left_s)
        return needed_s <= self.stop.find_left_s(self.now())

    def find_age(self, now: float) -> float:
        """Return the greatest age of a local copy of a topic, in seconds."""
        return max(one.find_age(now) for one in self.freshness.values())

    def remove_unlisted(self) -> None:
        """Remove the state kept for endpoints that are no longer listed.

        Each start of an endpoint has a new name, so state that is kept by name
        would grow for as long as the instance runs.
        """
        listings = self.roster.listings
        self.endpoint_health.retain(listings)
        self.placement.retain(listings.keys())
        if not self.rates.is_empty:
            self.rates.retain(
                {format_incarnation(one.entry) for one in listings.values()}
            )

    def get_retry_budget(self, service: str) -> WindowBudget:
        """Return the retry budget of a service.

        The operators bound the retries of all instances together, so each
        instance gets an equal share of the fixed burst, also while other
        instances don't use theirs.
        """
        bounds = self.settings.bounds
        instances = max(self.instance_count, _MIN_INSTANCES)
        burst = bounds.retry_slack * _BUDGET_SHARE / instances
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowBudget(
                bounds.retry_share * _BUDGET_SHARE,
                burst,
                bounds.retry_window_s,
                self.now,
            )
            self._budgets[service] = budget
        budget.burst = burst
        return budget

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background; no caller waits for it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Close the connections to endpoints and store."""
        await self.session.close()


def _find_usable_age(bound_s: float) -> float:
    """Return the longest usable age of a local copy, in seconds.

    ``bound_s`` is the time after a change in the store within which requests
    that rely on the old state may still arrive at endpoints.
    """
    return max(bound_s - _MAX_SEND_S, bound_s * _MIN_USABLE_SHARE)
