"""API keys: the workspace that sends a request, and whether it may run."""

from verbenahall.authentication._decisions import (
    KeyHistory,
    authenticate,
    is_retired,
    note_replaced,
)
from verbenahall.authentication._lookups import KeyLookups
from verbenahall.authentication._messages import (
    KeyTable,
    Workspace,
    build_key_table,
    digest_key,
)

__all__ = (
    'KeyHistory',
    'KeyLookups',
    'KeyTable',
    'Workspace',
    'authenticate',
    'build_key_table',
    'digest_key',
    'is_retired',
    'note_replaced',
)
