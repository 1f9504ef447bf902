"""Builds the scaler of an instance."""

from typing import Final

from verbenahall.duties import Succession
from verbenahall.gateway._core import Core
from verbenahall.gateway._duty_leases import make_lease
from verbenahall.peers import PeerExchange
from verbenahall.platform import (
    ENDPOINTS_TOPIC,
    SCALE_DUTY,
    DutyClient,
    ProcessSettings,
)
from verbenahall.roster import had_store_outage
from verbenahall.scaling import DUTY, LEASE_S, Dependencies, Scaler, list_scaled

#: Interval at which standbys check the holder, in seconds; the holder renews
#: its lease more often.
_RENEWAL_PERIOD_S: Final = 6.0


def scales_engines(settings: ProcessSettings) -> bool:
    """Whether instances order engines from the platform, by the settings."""
    return SCALE_DUTY in settings.duties and bool(settings.duty_api)


def make_scaler(core: Core, exchange: PeerExchange) -> Scaler:
    """Return the scaler; one instance at a time holds the duty for all."""
    settings = core.settings
    lease = make_lease(core, DUTY, LEASE_S)
    return Scaler(
        Dependencies(
            name=settings.name,
            store=core.store,
            calls=DutyClient(core.session, settings.duty_api),
            lease=lease,
            succession=Succession(
                lease, core.peer_table, core.now, _RENEWAL_PERIOD_S
            ),
            exchange=exchange,
            peer_table=core.peer_table,
            meter=core.demand,
            load_table=core.placement.load_table,
            roster=core.roster,
            list_services=lambda: list_scaled(core.catalog.catalog),
            is_list_current=lambda: _is_list_current(core),
            now=core.now,
        ),
    )


def _is_list_current(core: Core) -> bool:
    """Whether the list of engines is fresh and was not interrupted lately."""
    now = core.now()
    freshness = core.freshness[ENDPOINTS_TOPIC]
    is_fresh = freshness.find_age(now) <= freshness.usable_s
    return is_fresh and not had_store_outage(core.roster, now)
