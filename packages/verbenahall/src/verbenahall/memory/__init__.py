"""The memory of connections: one account for each process."""

from verbenahall.memory._decisions import (
    SMALL_BYTES,
    find_missing_for_answer,
    find_slowest,
    find_victims,
    finish,
    hold,
    is_slow,
    receive,
    release,
    reserve,
    start_unread,
)
from verbenahall.memory._shell import HoldingConnection, MemoryAccount
from verbenahall.memory._state import AccountState, Activity, Bounds, Share

__all__ = (
    'AccountState',
    'Activity',
    'Bounds',
    'HoldingConnection',
    'MemoryAccount',
    'SMALL_BYTES',
    'Share',
    'find_missing_for_answer',
    'find_slowest',
    'find_victims',
    'finish',
    'hold',
    'is_slow',
    'receive',
    'release',
    'reserve',
    'start_unread',
)
