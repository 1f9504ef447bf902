"""Scales services: orders on-demand and spot engines by data centre."""

from verbenahall.scaling._messages import CapacityKind, Pool
from verbenahall.scaling._shell import DUTY, LEASE_S, Dependencies, Scaler

__all__ = (
    'DUTY',
    'LEASE_S',
    'CapacityKind',
    'Dependencies',
    'Pool',
    'Scaler',
)
