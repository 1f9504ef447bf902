"""How many engines there are, of which kind, in which data centre."""

from verbenahall.scaling._messages import CapacityKind, Pool
from verbenahall.scaling._shell import DUTY, LEASE_S, Scaler, Surroundings

__all__ = (
    'DUTY',
    'LEASE_S',
    'CapacityKind',
    'Pool',
    'Scaler',
    'Surroundings',
)
