"""API keys: the workspace that sends a request, and whether it may run."""

from verbenahall.authentication._decisions import (
    KeyHistory,
    authenticate,
    is_retired,
    record_retired,
)
from verbenahall.authentication._messages import (
    KeyTable,
    Workspace,
    build_key_table,
    digest_key,
)
from verbenahall.authentication._refresh import KeyRefresher

__all__ = (
    'KeyHistory',
    'KeyRefresher',
    'KeyTable',
    'Workspace',
    'authenticate',
    'build_key_table',
    'digest_key',
    'is_retired',
    'record_retired',
)
