"""Makes the leases on duties, all with the same margin."""

from typing import Final

from verbenahall import clock
from verbenahall.authority import LeaseTiming
from verbenahall.duties import DutyLease
from verbenahall.gateway._core import Core

#: Time that is added to the operators' bound on the separation of two holders'
#: calls, in seconds, to cover calls in transit.
_IN_TRANSIT_S: Final = 0.5


def find_separation_s(core: Core) -> float:
    """Return the least time between two holders' calls, in seconds."""
    return core.settings.bounds.lease_s + _IN_TRANSIT_S


def make_lease(core: Core, duty: str, lease_s: float) -> DutyLease:
    """Return a candidate for a duty's lease that lasts ``lease_s`` seconds.

    The margin keeps two holders' calls further apart than the operators' bound,
    so that the calls of two holders never appear interleaved.
    """
    return DutyLease(
        core.store,
        duty,
        core.settings.name,
        LeaseTiming(lease_s, margin_s=find_separation_s(core)),
        core.random.random(),
        clock.boottime,
    )
