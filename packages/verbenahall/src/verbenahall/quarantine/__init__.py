"""Requests that crash the endpoints that run them.

Requests are known by their fingerprint, whatever id they come under and
whichever instance they come to. Instances tell each other what ran at an
endpoint that crashed; a request under which several have crashed is sent no
more.
"""

from verbenahall.quarantine._decisions import (
    find_quarantine_s,
    forget_old,
    is_repeated,
    list_recent,
    list_repeated,
    merge,
    note_answered,
    note_crash,
)
from verbenahall.quarantine._fingerprint import make_fingerprint
from verbenahall.quarantine._messages import (
    Crash,
    CrashReport,
    decode,
    encode,
    split,
)
from verbenahall.quarantine._state import CrashLog, Suspect

__all__ = (
    'Crash',
    'CrashLog',
    'CrashReport',
    'Suspect',
    'decode',
    'encode',
    'find_quarantine_s',
    'forget_old',
    'is_repeated',
    'list_recent',
    'list_repeated',
    'make_fingerprint',
    'merge',
    'note_answered',
    'note_crash',
    'split',
)
