"""Checks the records of callers and endpoints against the guarantees."""

import collections
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, Final

from verbenahall_standins.soak._records import Record
from verbenahall_standins.soak._starvation import find_starved

#: Statuses that state that the request has not run.
_REFUSALS: Final = frozenset((429, 503))
_GOOD: Final = 200
_UNKNOWN_ROUTE: Final = 404
#: Allowed delay of an answer after its deadline, in seconds, since one busy
#: machine runs all processes.
_GRACE_S: Final = 1.5


#: The orders that one engine accepted, in order of arrival.
_Accepted = Sequence[Mapping[str, Any]]


def find_violations(
    records: Sequence[Record],
    runs: Mapping[str, int],
    orders: Iterable[_Accepted],
) -> list[str]:
    """Return the violated guarantees, one line each.

    ``runs`` counts the runs at endpoints by request id, ``orders`` has the
    accepted orders of each engine, in order.
    """
    return [
        *_check_answers(records),
        *_check_runs(records, runs),
        *_check_versions(records),
        *_check_orders(orders),
        *find_starved(records),
    ]


def _check_answers(records: Sequence[Record]) -> Iterator[str]:
    for record in records:
        fault = '' if record.disturbed else _describe_fault(record)
        if fault:
            yield f'{record.request_id} of {record.instance}: {fault}'


def _describe_fault(record: Record) -> str:
    late_s = record.ended_at - record.sent_at - record.wait_s
    if late_s > _GRACE_S:
        return f'answered {late_s:.1f} s after its deadline'
    if not record.status:
        return 'no answer'
    if record.status == _GOOD and not record.complete:
        return 'status 200 on an incomplete answer'
    return ''


def _check_runs(
    records: Sequence[Record],
    runs: Mapping[str, int],
) -> Iterator[str]:
    for record in records:
        count = runs.get(record.request_id, 0)
        if count > 1 and not record.repeatable:
            yield f'{record.request_id}: ran {count} times'
        if count and record.status in _REFUSALS:
            yield f'{record.request_id}: ran, but was answered as not run'


def _check_versions(records: Sequence[Record]) -> Iterator[str]:
    """Check that no instance returns to a manifest older than one it used."""
    served: collections.Counter[str] = collections.Counter()
    for record in sorted(records, key=lambda one: one.ended_at):
        newest = served[record.instance]
        if record.status == _GOOD and record.version:
            served[record.instance] = max(newest, record.version)
        # A 404 for a newer version is allowed: the instance may have handled
        # the request before it received that manifest.
        is_reverted = (
            record.status == _UNKNOWN_ROUTE and record.version <= newest
        )
        is_excused = record.disturbed or record.optional
        if is_reverted and not is_excused:
            yield f'{record.request_id}: {record.instance} lost a manifest'


def _check_orders(
    orders: Iterable[_Accepted],
) -> Iterator[str]:
    holders: dict[int, str] = {}
    for accepted in orders:
        tokens = [order['fence'] for order in accepted]
        if tokens != sorted(tokens):
            yield f'fencing tokens decreased: {tokens}'
        for order in accepted:
            holder = holders.setdefault(order['fence'], order['holder'])
            if holder != order['holder']:
                yield f'two holders with the token {order["fence"]}'
