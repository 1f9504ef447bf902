"""Makes the leases on duties, all by the same bounds."""

from typing import Final

from verbenahall import clock
from verbenahall.authority import LeaseTiming
from verbenahall.duties import DutyLease
from verbenahall.gateway._core import Core

#: How much longer than the operators' bound two holders' calls are kept
#: apart, in seconds, for what they were under way.
_APART_S: Final = 0.5


def find_apart_s(core: Core) -> float:
    """Return how far apart the calls of two holders are kept, in seconds."""
    return core.settings.bounds.lease_s + _APART_S


def make_lease(core: Core, duty: str, lease_s: float) -> DutyLease:
    """Stand for the lease on a duty, which holds for ``lease_s`` seconds.

    The margin keeps two holders' calls further apart than the operators' bound,
    so that they are never seen to take turns.
    """
    return DutyLease(
        core.store,
        duty,
        core.settings.name,
        LeaseTiming(lease_s, margin_s=find_apart_s(core)),
        core.random.random(),
        clock.boottime,
    )
