"""Probes unreachable endpoints in the background."""

import asyncio
import enum
from typing import Final, final

from verbenahall import journal
from verbenahall.endpoint_health import list_probe_due
from verbenahall.gateway._core import Core
from verbenahall.roster import Entry

#: Interval between probes of unreachable endpoints, in seconds. They receive no
#: requests until a probe succeeds.
_PROBE_INTERVAL_S: Final = 0.4
#: Endpoints that are probed in one interval at most.
_MAX_PROBES: Final = 16
#: Timeout of a probe, in seconds; within a region a connection is established
#: in a few milliseconds.
_CONNECT_TIMEOUT_S: Final = 0.3


@final
class ConnectOutcome(enum.Enum):
    """The outcome of an attempt to connect to an endpoint.

    A machine refuses at once if no process listens on the port. No response
    may also be caused by the network.
    """

    LISTENS = 'listens'
    REFUSES = 'refuses'
    SILENT = 'silent'


async def try_connect(core: Core, address: str) -> ConnectOutcome:
    """Connect to an endpoint, close the connection, return the outcome."""
    try:
        await core.session.connector.test(address, _CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        return ConnectOutcome.REFUSES
    except OSError:
        return ConnectOutcome.SILENT
    return ConnectOutcome.LISTENS


@final
class EndpointProber:
    """Probes avoided endpoints so that no request has to be risked on them."""

    __slots__ = ('_core',)

    def __init__(self, core: Core) -> None:
        """Probe the endpoints that the core records as unreachable."""
        self._core = core

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_S)
            avoided = list_probe_due(
                self._core.endpoint_health, self._core.now()
            )
            count = min(len(avoided), _MAX_PROBES)
            sample = self._core.random.sample(avoided, count)
            await asyncio.gather(*(self.probe(name) for name in sample))

    async def probe(self, name: str) -> None:
        """Probe one endpoint; try it again if it accepts a connection."""
        listing = self._core.roster.listings.get(name)
        if listing is None or self._is_excluded(listing.entry):
            return
        outcome = await try_connect(self._core, listing.entry.address)
        if outcome is ConnectOutcome.LISTENS:
            self._core.endpoints.record_reached(listing.entry)
            journal.write_decision('endpoint_reached', endpoint=name)
        elif outcome is ConnectOutcome.REFUSES:
            refusal = ConnectionRefusedError()
            self._core.endpoints.on_unreachable(listing.entry, refusal)

    def _is_excluded(self, entry: Entry) -> bool:
        """Whether an endpoint would get no request even if it is reached.

        While its whole service is not reached, that is checked as a whole.
        """
        backoff_s = self._core.endpoints.notices.find_backoff_s(entry)
        is_lost = self._core.reach.is_lost(entry.service)
        return entry.leaving or backoff_s > 0 or is_lost
