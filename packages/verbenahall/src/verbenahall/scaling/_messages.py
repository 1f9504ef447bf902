"""Pools of engines and their sizes."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import final


@final
class CapacityKind(enum.Enum):
    """The kind of an engine; the platform may reclaim ``SPOT`` ones."""

    ON_DEMAND = 'on_demand'
    SPOT = 'spot'


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The engines of one kind in one data centre."""

    data_centre: str
    kind: CapacityKind


#: Number of engines by pool.
Sizes = Mapping[Pool, int]
