"""What the duty of scaling uses of the process."""

import dataclasses
from collections.abc import Callable, Mapping

from verbenahall.capacity import DemandMeter
from verbenahall.clock import Clock
from verbenahall.duties import DutyLease, Succession
from verbenahall.peers import PeerExchange, PeerTable
from verbenahall.placement import LoadTable
from verbenahall.platform import DutyClient, StoreClient
from verbenahall.roster import Roster
from verbenahall.scaling._services import ScaledService


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Dependencies of the scaler; ``name`` is the instance's.

    ``list_services`` returns the services that are scaled; without any the
    duty does nothing. ``is_list_current`` returns whether the local copy of the
    store's list of engines is current.
    """

    name: str
    store: StoreClient
    calls: DutyClient
    lease: DutyLease
    succession: Succession
    exchange: PeerExchange
    peer_table: PeerTable
    meter: DemandMeter
    load_table: LoadTable
    roster: Roster
    list_services: Callable[[], Mapping[str, ScaledService]]
    is_list_current: Callable[[], bool]
    now: Clock
