"""Checks what reaches endpoints that leave or have requested a backoff.

An instance is bound by what an endpoint's answer told it, also while the store
is silent. A restart or freeze of the instance excuses it, and so does a fault
of the link to the endpoint, on which the answer may have been lost.
"""

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Final

from verbenahall_standins.platform import Arrival, Notice, Notices
from verbenahall_standins.soak._proxy import Link
from verbenahall_standins.soak._records import Record

#: Requests of callers may be sent to an endpoint that leaves for this long, in
#: seconds.
_LEAVING_BOUND_S: Final = 2.0
#: Time in which requests may still arrive after a refusal, in seconds, and how
#: many may arrive from then on until the end of the backoff.
_BACKOFF_SLACK_S: Final = 0.5
_MAX_ARRIVALS: Final = 2
_GOOD: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault of the link to the endpoint with these notices."""

    notices: Notices
    started_at: float
    ended_at: float
    link: Link = Link.RESET


#: Whether an instance was restarted or frozen between two times.
WasDisturbed = Callable[[str, float, float], bool]


def find_unheeded_notices(
    endpoints: Mapping[str, Notices],
    records: Sequence[Record],
    link_faults: Sequence[LinkFault],
    was_disturbed: WasDisturbed,
) -> Iterator[str]:
    """Yield a line for each notice of an endpoint that was not heeded."""
    by_id = {record.request_id: record for record in records}
    for name, notices in endpoints.items():
        faults = [one for one in link_faults if one.notices is notices]
        for notice in notices.sent:
            late = _list_unheeded(notice, notices.arrivals, by_id)
            if late and not _is_excused(
                notice.at, late[-1], by_id, faults, was_disturbed
            ):
                yield _describe(name, notice, late)


def _list_unheeded(
    notice: Notice,
    arrivals: Iterable[Arrival],
    by_id: Mapping[str, Record],
) -> Sequence[Arrival]:
    """Return the requests that should not have arrived after a notice.

    A request that a link has held back may be answered when its instance has
    given it up, and reads no answer any more.
    """
    told = by_id.get(notice.request_id)
    if told is None or told.ended_at < notice.at:
        return ()
    later = [
        one
        for one in arrivals
        if one.start == notice.start
        and one.at > notice.at + _BACKOFF_SLACK_S
        and _get_instance(one, by_id) == told.instance
    ]
    in_backoff = [one for one in later if one.at < notice.at + notice.backoff_s]
    unheeded = in_backoff[_MAX_ARRIVALS:]
    if notice.leaving and notice.stamp and notice.stamp == told.stamp:
        bound = notice.at + _LEAVING_BOUND_S
        unheeded += [
            one for one in later if by_id[one.request_id].sent_at > bound
        ]
    return unheeded


def _get_instance(arrival: Arrival, by_id: Mapping[str, Record]) -> str:
    record = by_id.get(arrival.request_id)
    return record.instance if record else ''


def _is_excused(
    start: float,
    last: Arrival,
    by_id: Mapping[str, Record],
    faults: Iterable[LinkFault],
    was_disturbed: WasDisturbed,
) -> bool:
    has_link_fault = any(
        fault.started_at <= last.at and start <= fault.ended_at
        for fault in faults
    )
    instance = by_id[last.request_id].instance
    return has_link_fault or was_disturbed(instance, start, last.at)


def _describe(name: str, notice: Notice, late: Sequence[Arrival]) -> str:
    stated = f'{notice.backoff_s} s of backoff'
    if notice.leaving:
        stated = 'that it leaves'
    after_s = late[-1].at - notice.at
    return (
        f'{name} stated {stated} to {notice.request_id}; {len(late)} requests'
        f' too many, {late[-1].request_id} {after_s:.1f} s later'
    )
