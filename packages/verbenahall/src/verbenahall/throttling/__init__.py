"""Endpoints that name the rate that they take from all instances together.

For each such endpoint one instance, chosen from the membership, gives
permits; the others ask it before each send.
"""

from verbenahall.throttling._decisions import (
    choose_limiter,
    find_share,
    note_no_rate,
    note_rate,
    permit,
    read_rate,
    take_notice,
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
from verbenahall.throttling._state import NamedRate, RateTable

__all__ = (
    'Denial',
    'Message',
    'NamedRate',
    'Permit',
    'PermitRequest',
    'RateNotice',
    'RateTable',
    'choose_limiter',
    'decode',
    'encode',
    'find_share',
    'note_no_rate',
    'note_rate',
    'permit',
    'read_rate',
    'take_notice',
)
