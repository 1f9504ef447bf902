"""Counts requests by workspace and time window, and reports them once."""

from verbenahall.usage._clock import SyncedClock
from verbenahall.usage._decisions import Windows
from verbenahall.usage._exchange import DUTY, UsageExchange
from verbenahall.usage._meter import UsageMeter
from verbenahall.usage._reports import UsageReports
from verbenahall.usage._shell import (
    LEASE_S,
    Dependencies,
    UsageReporter,
)

__all__ = (
    'DUTY',
    'LEASE_S',
    'Dependencies',
    'SyncedClock',
    'UsageExchange',
    'UsageMeter',
    'UsageReporter',
    'UsageReports',
    'Windows',
)
