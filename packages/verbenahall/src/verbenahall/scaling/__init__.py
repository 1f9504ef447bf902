"""How many engines there are, of which kind, in which data centre."""

from verbenahall.scaling._messages import Kind, Pool
from verbenahall.scaling._shell import DUTY, Scaler, Surroundings, time_lease

__all__ = (
    'DUTY',
    'Kind',
    'Pool',
    'Scaler',
    'Surroundings',
    'time_lease',
)
