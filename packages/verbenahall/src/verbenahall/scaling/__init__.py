"""Scales services: orders on-demand and spot engines by data centre."""

from verbenahall.scaling._dependencies import Dependencies
from verbenahall.scaling._services import ScaledService, list_scaled
from verbenahall.scaling._shell import DUTY, LEASE_S, Scaler
from verbenahall.scaling._state import PoolOrders

__all__ = (
    'DUTY',
    'LEASE_S',
    'Dependencies',
    'PoolOrders',
    'ScaledService',
    'Scaler',
    'list_scaled',
)
