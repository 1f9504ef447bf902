"""What one process knows: catalog, roster, open work, budgets."""

import asyncio
import random
from collections.abc import Coroutine, Sequence
from typing import Any, Final, final

import aiohttp

from verbenahall import clock
from verbenahall.catalog import CatalogState
from verbenahall.gateway._engine_calls import EngineCalls
from verbenahall.gateway._freshness import Freshness
from verbenahall.gateway._hooks import (
    CrashObserver,
    NoLimiter,
    NoObserver,
    RateLimiter,
    name_start,
)
from verbenahall.gateway._standing import Standings
from verbenahall.peers import PeerBook
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
from verbenahall.requests import WindowBudget
from verbenahall.roster import LAPSE_S, Entry, Roster, RosterRules
from verbenahall.throttling import RateTable
from verbenahall.usage import TrueClock, UsageMeter

#: Share of the operators' bound on further sends that is used: what counts
#: is when sends arrive, which slides against when they are decided.
_BUDGET_SHARE: Final = 0.8
#: Time from the choice of an endpoint to the arrival of the request there, at
#: most, in seconds: a new connection, and a turn of the loop.
_SEND_S: Final = CONNECT_S + 0.1
#: Least share of a bound for which what is known is used, where the bound is
#: hardly longer than a send.
_LEAST_USABLE: Final = 0.7
#: Instances that are thought to share the budget at least: some may not be
#: known yet.
_FEWEST_INSTANCES: Final = 10
#: Share of the longest time of a route's callers by which one must have less
#: to be taken for one that comes back. Callers that come for the first time
#: differ, too, and would count as late on arrival with a small bound; those
#: that come back are told to wait for up to a third.
_LEAST_WAITED: Final = 0.25


@final
class Core:
    """The state that the parts of the process share."""

    def __init__(self, settings: ProcessSettings) -> None:
        """Start knowing nothing but the settings."""
        self.settings = settings
        self.random = random.Random()
        self.catalog = CatalogState()
        usable_s = _find_usable(settings.bounds.leaving_s)
        self.roster = Roster(
            RosterRules(lapse_s=min(LAPSE_S, usable_s), usable_s=usable_s),
        )
        #: How old what is known of each topic is.
        self.freshness = {
            ENDPOINTS_TOPIC: Freshness(usable_s),
            OPERATOR_TOPIC: Freshness(
                _find_usable(settings.bounds.manifest_s),
            ),
        }
        self.true_clock = TrueClock(clock.boottime, clock.wall)
        self.meter = UsageMeter(
            settings.bounds.usage_window_s,
            self.true_clock.now,
        )
        self.standings = Standings()
        self.crash_log = CrashLog()
        self.rates = RateTable()
        self.limiter: RateLimiter = NoLimiter()
        self.observer: CrashObserver = NoObserver()
        self.placement = PlacementState()
        self.book = PeerBook(
            settings.name,
            settings.data_centre,
            settings.cores,
        )
        self.session: aiohttp.ClientSession = make_session()
        self.engines = EngineCalls(self.session)
        self.store = StoreClient(self.session, settings.store)
        self.now = clock.monotonic
        #: The longest time that callers of a route have said to wait.
        self.patience: dict[str, float] = {}
        self._budgets: dict[str, WindowBudget] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return self.catalog.catalog is not None and self.roster.known

    @property
    def instances(self) -> int:
        """How many instances are known, this one with them."""
        return len(self.book.peers) + 1

    def find_age(self, now: float) -> float:
        """Return for how long what the store holds has not been confirmed."""
        return max(one.find_age(now) for one in self.freshness.values())

    def list_usable(self, service: str, now: float) -> Sequence[Entry]:
        """Return the endpoints of a service that are not avoided.

        When all are, they are returned all the same: one may be back.
        """
        live = list(self.roster.live(service, now))
        usable = [
            one for one in live if not self.standings.paused(one.name, now)
        ]
        return usable or live

    def has_other(self, endpoint: Entry, now: float) -> bool:
        """Whether another endpoint could take what one has no room for."""
        return any(
            one.name != endpoint.name
            and one.role is endpoint.role
            and not self.standings.paused(one.name, now)
            for one in self.roster.live(endpoint.service, now)
        )

    def forget_unlisted(self) -> None:
        """Forget what was learned of endpoints that are gone.

        Each start of an endpoint has a new name, so what is kept by name
        would grow for as long as the instance runs.
        """
        names = self.roster.seats.keys()
        self.standings.keep_only(names)
        self.placement.keep_only(names)
        if not self.rates.is_empty:
            seats = self.roster.seats.values()
            self.rates.keep_only({name_start(seat.entry) for seat in seats})

    def budget_of(self, service: str) -> WindowBudget:
        """Return the budget of further sends to a service.

        The operators bound what all instances send together, so each one
        takes its part of the fixed slack and does not count on others being
        idle.
        """
        bounds = self.settings.bounds
        instances = max(self.instances, _FEWEST_INSTANCES)
        slack = bounds.retry_slack * _BUDGET_SHARE / instances
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowBudget(
                bounds.retry_share * _BUDGET_SHARE,
                slack,
                bounds.retry_window_s,
                self.now,
            )
            self._budgets[service] = budget
        budget.slack = slack
        return budget

    def find_waited(self, route: str, wait_s: float) -> float:
        """Return for how long a caller has waited in earlier attempts.

        Callers of a route wait for about the same time, and one that comes
        back has much less of it left.
        """
        longest = max(self.patience.get(route, 0), wait_s)
        self.patience[route] = longest
        waited_s = longest - wait_s
        return waited_s if waited_s > longest * _LEAST_WAITED else 0

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that no caller waits for."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Close the connections to endpoints and store."""
        await self.session.close()


def _find_usable(bound_s: float) -> float:
    """Return how old what is known may be, for a bound on arrivals."""
    return max(bound_s - _SEND_S, bound_s * _LEAST_USABLE)
