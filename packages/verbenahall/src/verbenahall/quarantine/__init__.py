"""Quarantine of requests that crash the endpoints that run them.

Requests are identified by a fingerprint, which does not depend on the request
id or on the instance that receives them. Instances report to each other which
requests were running at an endpoint that crashed. A request that was running at
several crashes is put in quarantine: it is not sent for some time. The same
holds for a part of prompts, whatever else the requests with it hold.
"""

from verbenahall.quarantine._decisions import (
    attribute_crashes,
    count_crashes,
    find_limit,
    find_longest_quarantine_s,
    find_quarantine_s,
    is_held,
    is_repeated,
    is_unknown,
    list_held,
    list_repeated,
    may_try_unknown,
    merge,
    record_alive,
    record_answered,
    record_crash,
    remove_expired,
)
from verbenahall.quarantine._fingerprint import (
    is_part,
    make_fingerprint,
    make_part_key,
)
from verbenahall.quarantine._messages import (
    Crash,
    CrashReport,
    add_age,
    decode,
    decode_record,
    encode,
    encode_record,
    split,
)
from verbenahall.quarantine._record import (
    NO_PAIRS,
    CrashPairs,
    is_outdated,
    list_needed,
    list_pairs,
    make_record,
)
from verbenahall.quarantine._state import CrashLog, Suspect

__all__ = (
    'NO_PAIRS',
    'Crash',
    'CrashLog',
    'CrashPairs',
    'CrashReport',
    'Suspect',
    'add_age',
    'attribute_crashes',
    'count_crashes',
    'decode',
    'decode_record',
    'encode',
    'encode_record',
    'find_limit',
    'find_longest_quarantine_s',
    'find_quarantine_s',
    'is_held',
    'is_outdated',
    'is_part',
    'is_repeated',
    'is_unknown',
    'list_held',
    'list_needed',
    'list_pairs',
    'list_repeated',
    'make_record',
    'may_try_unknown',
    'make_fingerprint',
    'make_part_key',
    'merge',
    'record_alive',
    'record_answered',
    'record_crash',
    'remove_expired',
    'split',
)
