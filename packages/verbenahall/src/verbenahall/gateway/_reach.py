"""Checks whether this instance reaches the endpoints of each service."""

import asyncio
from collections.abc import Sequence
from typing import Final, final

from verbenahall import journal, metrics, reach
from verbenahall.gateway._core import Core
from verbenahall.gateway._probes import ConnectOutcome, try_connect
from verbenahall.roster import Entry

#: Interval at which due checks are started, in seconds.
_TICK_S: Final = 0.05
#: Number of endpoints to which a check connects at first, and then, if none of
#: these accepts a connection, at most.
_FIRST_SAMPLE: Final = 2
_LARGE_SAMPLE: Final = 8


@final
class ReachMonitor:
    """Distinguishes a lost path from endpoints that fail."""

    __slots__ = ('_checking', '_core')

    def __init__(self, core: Core) -> None:
        """Check the services of the core."""
        self._checking: set[str] = set()
        self._core = core

    async def run(self) -> None:
        """Start checks that are due, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            self._remove_unlisted()
            now = self._core.now()
            for service, known in self._core.reach.services.items():
                is_due = reach.is_check_due(known, now)
                if is_due and service not in self._checking:
                    self._checking.add(service)
                    self._core.spawn(self._check(service))

    def _remove_unlisted(self) -> None:
        catalog = self._core.catalog.catalog
        services = self._core.reach.services
        if catalog is not None:
            for name in services.keys() - catalog.services.keys():
                services.pop(name)

    async def _check(self, service: str) -> None:
        core = self._core
        entries = _list_checkable(core, service)
        try:
            # Without an endpoint to connect to nothing is known of the path.
            reached = not entries or await reaches_any(core, entries)
        finally:
            self._checking.discard(service)
        known = core.reach.get(service)
        lost_at = known.lost_at
        change = reach.apply_check(known, core.now(), reached=reached)
        metrics.REACH_CHECKS.add('reached' if reached else 'not_reached')
        if change is reach.CheckResult.LOST:
            journal.write_decision(
                'service_unreachable',
                service=service,
                endpoints=len(entries),
                open=known.open_sends,
            )
        elif change is reach.CheckResult.REGAINED:
            _use_again(core, service, core.now() - lost_at)


async def reaches_any(core: Core, entries: Sequence[Entry]) -> bool:
    """Whether one of several endpoints accepts a connection.

    Connects to a few of them, and to more if none of these accepts.
    """
    first = _choose_sample(core, entries, _FIRST_SAMPLE)
    if await _connect_to_any(core, first):
        return True
    tried = {one.name for one in first}
    untried = [one for one in entries if one.name not in tried]
    more = _choose_sample(core, untried, _LARGE_SAMPLE)
    return await _connect_to_any(core, more)


def _choose_sample(
    core: Core, entries: Sequence[Entry], count: int
) -> Sequence[Entry]:
    return reach.choose_sample(
        entries, count, core.settings.data_centre, core.random
    )


async def _connect_to_any(core: Core, entries: Sequence[Entry]) -> bool:
    """Connect to all endpoints at once; return at the first that accepts."""
    pending = {
        asyncio.create_task(try_connect(core, one.address)) for one in entries
    }
    accepts = False
    while pending and not accepts:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        outcomes = {task.result() for task in done}
        accepts = ConnectOutcome.LISTENS in outcomes
    for task in pending:
        task.cancel()
    return accepts


def _list_checkable(core: Core, service: str) -> Sequence[Entry]:
    """Return the live endpoints of a service that request no backoff."""
    return [
        entry
        for entry in core.roster.list_live(service, core.now())
        if not core.endpoints.notices.find_backoff_s(entry)
    ]


def _use_again(core: Core, service: str, after_s: float) -> None:
    """Use all endpoints of a service whose path has returned."""
    for entry in core.roster.list_live(service, core.now()):
        # These failures were those of the path.
        core.endpoint_health.clear(entry.name)
    journal.write_decision(
        'service_reachable',
        service=service,
        after_s=journal.round_to_ms(after_s),
    )
