"""Duties that one instance at a time carries out: leases and tokens."""

from verbenahall.duties._lease import DutyLease

__all__ = ('DutyLease',)
