"""Builds the usage reporter of an instance."""

from verbenahall.duties import Succession
from verbenahall.gateway._core import Core
from verbenahall.gateway._duty_leases import make_lease
from verbenahall.peers import PeerExchange
from verbenahall.platform import USAGE_DUTY, DutyClient, ProcessSettings
from verbenahall.usage import (
    DUTY,
    LEASE_S,
    Dependencies,
    UsageExchange,
    UsageReporter,
    UsageReports,
    Windows,
)


def reports_usage(settings: ProcessSettings) -> bool:
    """Whether instances report usage to the platform, by the settings."""
    bounds = settings.bounds
    enabled = USAGE_DUTY in settings.duties and bool(settings.duty_api)
    return enabled and bounds.usage_window_s > 0 and bounds.usage_late_s > 0


def make_usage_exchange(core: Core, exchange: PeerExchange) -> UsageExchange:
    """Return the exchange that sends usage counts to the reporting instance.

    It handles requests from the moment that it is built.
    """
    return UsageExchange(
        exchange,
        core.peer_table,
        core.store,
        core.meter,
        core.synced_clock,
    )


def make_usage_reporter(core: Core, usage: UsageExchange) -> UsageReporter:
    """Return the reporter; one instance at a time holds the duty for all."""
    settings = core.settings
    bounds = settings.bounds
    windows = Windows(bounds.usage_window_s, bounds.usage_late_s)
    calls = DutyClient(core.session, settings.duty_api)
    lease = make_lease(core, DUTY, LEASE_S)
    return UsageReporter(
        Dependencies(
            name=settings.name,
            exchange=usage,
            reports=UsageReports(core.store, calls, windows),
            lease=lease,
            succession=Succession(
                lease,
                core.peer_table,
                core.now,
                windows.length_s,
            ),
            windows=windows,
            clock=core.synced_clock,
            now=core.now,
            store_era=core.store.era,
        ),
    )
