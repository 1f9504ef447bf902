"""Stand-ins for the users' platform: store, engines, plain services."""

from verbenahall_standins.platform._duties import DutyStandIn
from verbenahall_standins.platform._engine import (
    EngineFaults,
    EngineStandIn,
    PartRun,
)
from verbenahall_standins.platform._exchanges import (
    Exchange,
    ExchangeEnd,
    Exchanges,
    Pause,
)
from verbenahall_standins.platform._notices import Arrival, Notice, Notices
from verbenahall_standins.platform._plain import PlainStandIn
from verbenahall_standins.platform._pools import EnginePool
from verbenahall_standins.platform._raw import RawEndpoint, add_request_id
from verbenahall_standins.platform._site import (
    HOST,
    Site,
    make_manifest,
    make_route,
    write_settings,
)
from verbenahall_standins.platform._store import (
    StoreEntrance,
    StoreFaults,
    StoreStandIn,
)

__all__ = (
    'Arrival',
    'DutyStandIn',
    'EngineFaults',
    'EnginePool',
    'EngineStandIn',
    'Exchange',
    'ExchangeEnd',
    'Exchanges',
    'HOST',
    'Notice',
    'Notices',
    'PartRun',
    'Pause',
    'PlainStandIn',
    'RawEndpoint',
    'Site',
    'StoreEntrance',
    'StoreFaults',
    'StoreStandIn',
    'add_request_id',
    'make_manifest',
    'make_route',
    'write_settings',
)
