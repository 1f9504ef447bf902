"""Scales services: orders on-demand and spot engines by data centre."""

from verbenahall.scaling._messages import CapacityKind, Pool
from verbenahall.scaling._shell import DUTY, LEASE_S, Scaler, Dependencies

__all__ = (
    'DUTY',
    'LEASE_S',
    'CapacityKind',
    'Pool',
    'Scaler',
    'Dependencies',
)
