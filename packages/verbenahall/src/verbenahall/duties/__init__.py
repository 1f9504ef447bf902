"""Leases on duties that one instance at a time carries out."""

from verbenahall.duties._lease import DutyLease
from verbenahall.duties._succession import Succession

__all__ = ('DutyLease', 'Succession')
