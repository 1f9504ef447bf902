"""Hedged requests: a second attempt begins beside one that is silent."""

from verbenahall.hedging._delays import find_plain_idle_s, find_stream_idle_s
from verbenahall.hedging._race import Branch, Race
from verbenahall.hedging._stage import Stage

__all__ = (
    'Branch',
    'Race',
    'Stage',
    'find_plain_idle_s',
    'find_stream_idle_s',
)
