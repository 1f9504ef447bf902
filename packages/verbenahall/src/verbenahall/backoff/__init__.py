"""Backoffs that endpoints request by Retry-After in a refusal.

An endpoint gets no request of this instance until its backoff has ended, and
then a few at a time until it accepts them again.
"""

from verbenahall.backoff._decisions import choose_retry_after
from verbenahall.backoff._retry_after import read_retry_after
from verbenahall.backoff._state import BackoffTable, Trial

__all__ = (
    'BackoffTable',
    'Trial',
    'choose_retry_after',
    'read_retry_after',
)
