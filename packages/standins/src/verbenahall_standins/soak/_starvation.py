"""Checks that no subject is left unserved while others are served.

A subject is the shared part of a prompt, by which engines are chosen. Those
that were asked for repeatedly over some time count. Some of them may be
unserved by chance: one of ``n`` requests with the ``n``-th power of the share
of its route's requests that were not served.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

from verbenahall_standins.soak._records import Record

#: Least number of requests of a subject, and the time between the first and the
#: last of them in seconds.
_MIN_REQUESTS: Final = 4
_MIN_SPAN_S: Final = 8.0
#: Unserved subjects that are allowed: a number, a share of all of them, and a
#: factor on the number expected by chance.
_ALLOWED: Final = 2
_ALLOWED_SHARE: Final = 0.04
_CHANCE_FACTOR: Final = 3.0
_GOOD: Final = 200

_Groups = Mapping[tuple[str, str], Sequence[Record]]


def find_starved(records: Iterable[Record]) -> Iterator[str]:
    """Yield a line for each route with too many unserved subjects."""
    by_route = collections.defaultdict(list)
    for record in records:
        if record.subject and not record.disturbed:
            by_route[record.path].append(record)
    for path, members in by_route.items():
        groups = _find_steady(members)
        unserved = [
            subject
            for (_, subject), requests in groups.items()
            if not any(map(_is_served, requests))
        ]
        if len(unserved) > _count_allowed(members, groups):
            subjects = ', '.join(sorted(unserved))
            yield f'{path}: subjects never served: {subjects}'


def _count_allowed(records: Sequence[Record], groups: _Groups) -> float:
    """Return how many subjects of a route may be unserved."""
    served = sum(map(_is_served, records))
    unserved_share = 1 - served / len(records)
    by_chance = sum(
        unserved_share ** len(requests) for requests in groups.values()
    )
    allowed = _ALLOWED + _ALLOWED_SHARE * len(groups)
    return allowed + _CHANCE_FACTOR * by_chance


def _find_steady(records: Iterable[Record]) -> _Groups:
    groups = collections.defaultdict(list)
    for record in records:
        groups[record.path, record.subject].append(record)
    return {
        key: requests
        for key, requests in groups.items()
        if len(requests) >= _MIN_REQUESTS
        and _find_span_s(requests) > _MIN_SPAN_S
    }


def _is_served(record: Record) -> bool:
    return record.status == _GOOD and record.complete


def _find_span_s(records: Iterable[Record]) -> float:
    times = [record.sent_at for record in records]
    return max(times) - min(times)
