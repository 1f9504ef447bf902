"""Cuts instances from all endpoints, and checks that callers are served.

The users' rule: from some time after a cut began, first attempts at the cut
instances are answered two thirds as often as those at the others at least, or
only a few of all fail there.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable, Iterator, Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Final, final

from verbenahall_standins.soak._links import Cut, EndpointLinks
from verbenahall_standins.soak._records import Record

#: Time in which a cut or the return of an instance may be noticed, in seconds.
STABLE_S: Final = 3.0
#: Time after the end of a cut in which requests arrive that were held back, in
#: seconds.
_HELD_BACK_S: Final = 0.5
#: Least success rate at cut instances, as a share of that at the others.
_LEAST_SHARE: Final = 2 / 3
#: Failures at cut instances that are allowed: a number, and a share of all
#: first attempts.
_ALLOWED: Final = 10
_ALLOWED_SHARE: Final = 0.02


#: Statuses of requests whose key or route an instance does not know.
_UNKNOWN: Final = frozenset((HTTPStatus.UNAUTHORIZED, HTTPStatus.NOT_FOUND))


@dataclasses.dataclass(frozen=True, slots=True)
class CutWindow:
    """A time in which some instances reached no endpoint."""

    instances: frozenset[str]
    started_at: float
    ended_at: float


#: Called with two times.
ListInTouch = Callable[[float, float], frozenset[str]]


@final
class InstanceCuts:
    """The links of all instances, and ``windows`` in which some were cut."""

    def __init__(self) -> None:
        """Start without instances."""
        self.windows: list[CutWindow] = []
        self._links: dict[str, EndpointLinks] = {}

    async def add_instance(
        self, name: str, path: Path, addresses: Sequence[str]
    ) -> None:
        """Start links to the endpoints; write a file for the instance."""
        links = EndpointLinks()
        await links.start(addresses)
        links.write(path)
        self._links[name] = links

    async def stop(self) -> None:
        """Close all links."""
        await asyncio.gather(*(one.stop() for one in self._links.values()))

    async def cut(self, names: Sequence[str], form: Cut, for_s: float) -> None:
        """Cut instances from all endpoints for some seconds."""
        links = [self._links[name] for name in names]
        started_at = time.monotonic()
        await asyncio.gather(*(one.cut(form) for one in links))
        await asyncio.sleep(for_s)
        ended_at = time.monotonic()
        self.windows.append(CutWindow(frozenset(names), started_at, ended_at))
        await asyncio.gather(*(one.cut(Cut.NONE) for one in links))

    async def set_endpoint(self, address: str, form: Cut) -> None:
        """Set the links of all instances to one endpoint."""
        await asyncio.gather(
            *(one.cut(form, [address]) for one in self._links.values())
        )

    def was_cut(self, name: str, start: float, end: float) -> bool:
        """Whether an instance was cut off between two times.

        Requests that a cut link has held back arrive after its end, when their
        instance has given them up and gets no answer.
        """
        return any(
            name in window.instances
            and window.started_at <= end
            and start <= window.ended_at + _HELD_BACK_S
            for window in self.windows
        )


def find_unserved(
    records: Sequence[Record],
    windows: Sequence[CutWindow],
    list_in_touch: ListInTouch,
) -> Iterator[str]:
    """Yield a line for each cut whose instances served too few callers.

    ``list_in_touch`` returns the instances that were in touch between two
    times. Requests at others don't count, nor do those that no instance in
    touch could serve.
    """
    for window in windows:
        seen = [
            record
            for record in records
            if window.started_at + STABLE_S <= record.sent_at
            and record.ended_at <= window.ended_at
            and _counts(
                record,
                window,
                list_in_touch(record.sent_at, record.ended_at),
            )
        ]
        at_cut = [one for one in seen if one.instance in window.instances]
        at_others = [
            one for one in seen if one.instance not in window.instances
        ]
        if at_cut and at_others and _is_unserved(at_cut, at_others):
            names = ', '.join(sorted(window.instances))
            yield (
                f'{names}: without endpoints {_count_good(at_cut)} of'
                f' {len(at_cut)} served, at the others'
                f' {_count_good(at_others)} of {len(at_others)}'
            )


def _counts(
    record: Record, window: CutWindow, in_touch: frozenset[str]
) -> bool:
    """Whether a request tells how callers without endpoints are served.

    An instance whose store link is cut, too, does not know new keys and routes.
    """
    is_known = record.status not in _UNKNOWN
    has_helper = bool(in_touch - window.instances)
    return is_known and has_helper and record.instance in in_touch


def _is_unserved(at_cut: Sequence[Record], at_others: Sequence[Record]) -> bool:
    good = _count_good(at_cut)
    other_rate = _count_good(at_others) / len(at_others)
    allowed = _ALLOWED + _ALLOWED_SHARE * (len(at_cut) + len(at_others))
    is_rarer = good / len(at_cut) < _LEAST_SHARE * other_rate
    return is_rarer and len(at_cut) - good > allowed


def _count_good(records: Sequence[Record]) -> int:
    return sum(
        record.status == HTTPStatus.OK and record.complete for record in records
    )
