"""Pauses that endpoints request by Retry-After in a refusal."""

from verbenahall.backoff._retry_after import read_retry_after

__all__ = ('read_retry_after',)
