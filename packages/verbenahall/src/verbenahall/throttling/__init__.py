"""Rate limits that endpoints advertise, shared by all instances.

For each such endpoint one instance, the limiter, gives permits; the others
request a permit from it before each send. All instances choose the limiter from
the membership by the same rule.
"""

from verbenahall.throttling._decisions import (
    apply_notice,
    choose_limiter,
    find_rate_share,
    grant_permit,
    read_rate,
    record_no_rate,
    record_rate,
)
from verbenahall.throttling._messages import (
    Denial,
    Message,
    Permit,
    PermitRequest,
    RateNotice,
    decode,
    encode,
)
from verbenahall.throttling._state import AdvertisedRate, RateTable

__all__ = (
    'AdvertisedRate',
    'Denial',
    'Message',
    'Permit',
    'PermitRequest',
    'RateNotice',
    'RateTable',
    'apply_notice',
    'choose_limiter',
    'decode',
    'encode',
    'find_rate_share',
    'grant_permit',
    'read_rate',
    'record_no_rate',
    'record_rate',
)
