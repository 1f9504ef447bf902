"""The administration API under ``/admin/v1``.

Each credential names a team; it reads that team's subtree and no other::

    GET /admin/v1/status
    GET /admin/v1/settings
    GET /admin/v1/history?path=desk/models/drafter
    GET /admin/v1/explain?request=r-1
"""

from verbenahall.admin._credentials import Reader, find_reader
from verbenahall.admin._messages import Readiness, Status
from verbenahall.admin._shell import AdminApi

__all__ = ('AdminApi', 'Readiness', 'Reader', 'Status', 'find_reader')
