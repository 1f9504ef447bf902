"""What callers and endpoints saw, held against what is promised."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, Final

#: Answers that say that nothing has run.
_REFUSALS: Final = frozenset((429, 503))
_GOOD: Final = 200
_UNKNOWN_ROUTE: Final = 404
#: How much later than the deadline an answer may be, in seconds: the machine
#: that runs all of it is busy.
_GRACE_S: Final = 1.5


#: The orders that one engine accepted, as it got them.
_Accepted = Sequence[Mapping[str, Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One request as its caller saw it.

    ``status`` is 0 without an answer. ``whole`` tells that the answer was
    signed and complete, ``excused`` that its instance was stopped, frozen or
    killed meanwhile. ``version`` is that of the manifest whose route it took,
    0 for a route that is always there.
    """

    identity: str
    instance: str
    sent_at: float
    ended_at: float
    wait_s: float
    status: int
    whole: bool
    repeatable: bool
    excused: bool
    version: int = 0


def find_broken(
    records: Sequence[Record],
    runs: Mapping[str, int],
    orders: Iterable[_Accepted],
) -> list[str]:
    """Return what was broken, one line each; nothing when all held.

    ``runs`` counts by request what endpoints ran, ``orders`` has what each
    engine accepted, in order.
    """
    return [
        *_check_answers(records),
        *_check_runs(records, runs),
        *_check_versions(records),
        *_check_orders(orders),
    ]


def _check_answers(records: Sequence[Record]) -> Iterator[str]:
    for record in records:
        fault = '' if record.excused else _find_fault(record)
        if fault:
            yield f'{record.identity} of {record.instance}: {fault}'


def _find_fault(record: Record) -> str:
    late_s = record.ended_at - record.sent_at - record.wait_s
    if late_s > _GRACE_S:
        return f'answered {late_s:.1f} s late'
    if not record.status:
        return 'no answer'
    if record.status == _GOOD and not record.whole:
        return 'a good status on half an answer'
    return ''


def _check_runs(
    records: Sequence[Record],
    runs: Mapping[str, int],
) -> Iterator[str]:
    for record in records:
        count = runs.get(record.identity, 0)
        if count > 1 and not record.repeatable:
            yield f'{record.identity}: ran {count} times'
        if count and record.status in _REFUSALS:
            yield f'{record.identity}: said not to have run, and had'


def _check_versions(records: Sequence[Record]) -> Iterator[str]:
    """No instance goes back behind a manifest that it has served by."""
    served: collections.Counter[str] = collections.Counter()
    for record in sorted(records, key=lambda one: one.ended_at):
        known = served[record.instance]
        if record.status == _GOOD and record.version:
            served[record.instance] = max(known, record.version)
        # Sent before the newer one was seen, it may have been judged before.
        is_back = record.status == _UNKNOWN_ROUTE and record.version <= known
        if is_back and not record.excused:
            yield f'{record.identity}: {record.instance} went back'


def _check_orders(
    orders: Iterable[_Accepted],
) -> Iterator[str]:
    holders: dict[int, str] = {}
    for accepted in orders:
        tokens = [order['fence'] for order in accepted]
        if tokens != sorted(tokens):
            yield f'fencing tokens fell: {tokens}'
        for order in accepted:
            holder = holders.setdefault(order['fence'], order['holder'])
            if holder != order['holder']:
                yield f'two holders under the token {order["fence"]}'
