"""The administration API under ``/admin/v1``.

Each credential belongs to a team and can read only its subtree of paths::

    GET /admin/v1/status
    GET /admin/v1/settings
    GET /admin/v1/history?path=desk/models/drafter
    GET /admin/v1/explain?request=r-1
"""

from verbenahall.admin._credentials import Principal, find_principal
from verbenahall.admin._messages import Readiness, Status
from verbenahall.admin._shell import AdminApi

__all__ = ('AdminApi', 'Principal', 'Readiness', 'Status', 'find_principal')
