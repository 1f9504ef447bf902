"""Checks that instances end no answer while an endpoint is at work on it.

Sound endpoints may send nothing for a while and go on. So a whole request gets
a whole answer, or a whole failure, unless its time is over, its caller has
left, or the endpoint has broken it off. It is told by request what counts:

- An exchange with an endpoint was left too early if the instance closed it
  before the request's time was over, the endpoint would have gone on in time,
  and no other endpoint had sent an event or answer since it was asked. A
  request with such an exchange whose answer is a failure, breaks off, or never
  comes is a violation.
- Any other answer that breaks off, or never comes though the request was sent
  to an endpoint, is one unless an endpoint broke it off or its time was over.

Requests are excused that the kill, freeze or cut of their instance affected, a
reset of the link to one of their endpoints, or the kill of a peer that had sent
them there. Links that are slow or hold back traffic lose nothing, and count as
pauses of the endpoint.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final, final

from verbenahall_standins.platform import Exchange, ExchangeEnd, Pause
from verbenahall_standins.soak._callers import ABANDONED, TRUNCATED
from verbenahall_standins.soak._proxy import Link
from verbenahall_standins.soak._records import Record

#: Time before the end of a request's time in which it may be ended, and in
#: which an endpoint may not be able to answer any more, in seconds.
_MARGIN_S: Final = 0.25
#: Time in which an answer may still be on its way, or the effects of a link
#: fault that has ended, in seconds.
_TRANSIT_S: Final = 0.3
#: Time from the kill of an instance to the end of its requests, in seconds.
_KILL_S: Final = 0.1
_PREFILL: Final = 'prefill'
_FAILED: Final = 400


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointHistory:
    """The requests of an endpoint, its pauses, and the faults of its link."""

    name: str
    exchanges: Sequence[Exchange]
    pauses: Sequence[Pause]
    link_faults: Sequence[tuple[Link, Pause]] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """A request's exchange, and the history of its endpoint."""

    exchange: Exchange
    history: EndpointHistory


#: The end of a request's time, in monotonic seconds.
FindLimit = Callable[[Record], float]


def find_broken_answers(
    records: Iterable[Record],
    endpoints: Iterable[EndpointHistory],
    find_limit: FindLimit,
    was_cut: Callable[[str, float, float], bool],
    kills: Sequence[float] = (),
) -> Iterator[str]:
    """Yield a line for each request that was ended without a reason.

    ``find_limit`` returns when a request's deadline or timeout is reached,
    ``was_cut`` whether an instance was cut off between two times. ``kills``
    are the times at which instances were killed.
    """
    by_id = _group(endpoints)
    for record in records:
        seen = by_id.get(record.request_id, ())
        fault = _describe_fault(record, seen, find_limit(record))
        if not fault or record.killed:
            continue
        is_cut = was_cut(record.instance, record.sent_at, record.ended_at)
        is_excused = is_cut or any(
            _was_reset(one) or _was_killed(one, kills) for one in seen
        )
        if not is_excused:
            yield f'{record.request_id} of {record.instance}: {fault}'


def _group(
    endpoints: Iterable[EndpointHistory],
) -> dict[str, list[_Seen]]:
    by_id: dict[str, list[_Seen]] = collections.defaultdict(list)
    for history in endpoints:
        for exchange in history.exchanges:
            by_id[exchange.request_id].append(_Seen(exchange, history))
    return by_id


def _describe_fault(
    record: Record, seen: Sequence[_Seen], limit_at: float
) -> str:
    """Return what is wrong with an answer, nothing if it is in order."""
    has_failed = record.status >= _FAILED
    if record.status == ABANDONED:
        limit_at = min(limit_at, record.ended_at)
    is_broken = record.status in {0, TRUNCATED} and bool(seen)
    if not (has_failed or is_broken or record.status == ABANDONED):
        return ''
    outcome = f'{record.path} {_name_outcome(record.status)}'
    left = [one for one in seen if _was_left_early(one, seen, limit_at)]
    if left:
        left_s = left[0].exchange.ended_at - record.sent_at
        name = left[0].history.name
        return f'{outcome}: {name} was left after {left_s:.2f} s'
    if not is_broken or record.ended_at >= limit_at - _MARGIN_S:
        return ''
    if any(one.exchange.end is ExchangeEnd.BROKEN for one in seen):
        return ''
    after_s = record.ended_at - record.sent_at
    return f'{outcome} after {after_s:.2f} s, which no endpoint broke off'


def _name_outcome(status: int) -> str:
    names = {
        0: 'not answered',
        TRUNCATED: 'broke off',
        ABANDONED: 'abandoned',
    }
    return names.get(status, f'answered {status}')


def _was_left_early(one: _Seen, seen: Sequence[_Seen], limit_at: float) -> bool:
    exchange = one.exchange
    latest_at = limit_at - _MARGIN_S
    return (
        exchange.end is ExchangeEnd.LEFT
        and exchange.ended_at < latest_at
        and _find_next_at(one) < latest_at
        and not any(_replaces(other, exchange) for other in seen)
    )


def _find_next_at(one: _Seen) -> float:
    """Return when an endpoint would have gone on with a request."""
    link_holds = [fault for _, fault in one.history.link_faults]
    holds = [*one.history.pauses, *link_holds]
    return _find_release_at(one.exchange.ended_at, holds)


def _find_release_at(at: float, holds: Iterable[Pause]) -> float:
    """Return when something passes that is sent at a time."""
    for hold in sorted(holds, key=_get_start):
        if hold.started_at <= at:
            at = max(at, hold.ended_at)
    return at


def _get_start(pause: Pause) -> float:
    return pause.started_at


def _replaces(other: _Seen, exchange: Exchange) -> bool:
    """Whether another endpoint went on while one was asked, until it was left.

    The other may be the endpoint of a later attempt, or that of an earlier one
    that was silent for a while. Its link may have held back what it sent.
    """
    stage = other.exchange.stage
    is_alike = stage == exchange.stage or exchange.stage == _PREFILL
    link_holds = [fault for _, fault in other.history.link_faults]
    has_gone_on = any(
        at <= exchange.ended_at
        and exchange.started_at <= _find_release_at(at, link_holds) + _TRANSIT_S
        for at in other.exchange.output_at
    )
    return other.exchange is not exchange and is_alike and has_gone_on


def _was_reset(one: _Seen) -> bool:
    return any(
        link is Link.RESET
        and fault.started_at <= one.exchange.ended_at + _TRANSIT_S
        and one.exchange.started_at <= fault.ended_at + _TRANSIT_S
        for link, fault in one.history.link_faults
    )


def _was_killed(one: _Seen, kills: Iterable[float]) -> bool:
    """Whether the instance that had sent a request was killed."""
    ended_at = one.exchange.ended_at
    return one.exchange.end is ExchangeEnd.LEFT and any(
        at <= ended_at <= at + _KILL_S for at in kills
    )
