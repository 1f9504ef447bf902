"""The datagrams and records by which instances tell each other of crashes."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire

#: How every message begins; other datagrams need not be decoded to be told.
_BEGINNING: Final = b'{"crashes":'
#: Fingerprints in a datagram at most: it stays under 1,400 bytes.
_MOST_IN_DATAGRAM: Final = 50
#: Digits of an age: milliseconds.
_AGE_DIGITS: Final = 3
_NOTHING: Final[Mapping[str, float]] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """What ran at an endpoint when it crashed, as one instance saw it.

    ``start`` names the endpoint's start, so that a crash that several
    instances report counts once. It happened ``age_s`` seconds ago.
    """

    start: str
    age_s: float
    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes, and how many seconds ago suspects were answered whole."""

    crashes: tuple[Crash, ...] = ()
    answered: Mapping[str, float] = dataclasses.field(
        default_factory=lambda: _NOTHING,
    )


def encode(report: CrashReport) -> bytes:
    """Encode a report."""
    return wire.encode(
        {
            'crashes': [
                (
                    crash.start,
                    round(crash.age_s, _AGE_DIGITS),
                    crash.fingerprints,
                )
                for crash in report.crashes
            ],
            'answered': {
                fingerprint: round(age_s, _AGE_DIGITS)
                for fingerprint, age_s in report.answered.items()
            },
        },
    )


def decode(datagram: bytes) -> Maybe[CrashReport]:
    """Decode a report; Nothing when it is something else."""
    if not datagram.startswith(_BEGINNING):
        return Nothing
    match wire.decode_table(datagram):
        case Success({'crashes': list(rows), 'answered': dict(answered)}):
            return _read(rows, answered)
        case _:
            return Nothing


def split(report: CrashReport) -> Iterator[CrashReport]:
    """Split a report into parts that each fit a datagram."""
    part: list[Crash] = []
    free = _MOST_IN_DATAGRAM
    for crash in _cut_long(report.crashes):
        if part and len(crash.fingerprints) > free:
            yield CrashReport(tuple(part))
            part, free = [], _MOST_IN_DATAGRAM
        part.append(crash)
        # The start's own name takes as much room as two fingerprints.
        free -= len(crash.fingerprints) + 2
    if part:
        yield CrashReport(tuple(part))
    for ages in _cut(tuple(report.answered.items())):
        yield CrashReport(answered=dict(ages))


def _cut_long(crashes: Sequence[Crash]) -> Iterator[Crash]:
    for crash in crashes:
        for fingerprints in _cut(crash.fingerprints):
            yield dataclasses.replace(crash, fingerprints=tuple(fingerprints))


def _cut(members: Sequence[Any]) -> Iterator[Sequence[Any]]:
    for begin in range(0, len(members), _MOST_IN_DATAGRAM):
        yield members[begin : begin + _MOST_IN_DATAGRAM]


def _read(
    rows: Sequence[Any],
    answered: Mapping[str, Any],
) -> Maybe[CrashReport]:
    """Check what the containers hold; a report is believed whole or not."""
    try:
        return Some(
            CrashReport(
                tuple(_read_crash(*row) for row in rows),
                {
                    fingerprint: _read_age(age_s)
                    for fingerprint, age_s in answered.items()
                },
            ),
        )
    except (TypeError, ValueError):
        return Nothing


def _read_crash(start: Any, age_s: Any, fingerprints: Any) -> Crash:
    names = (start, *fingerprints)
    if not all(isinstance(name, str) for name in names):
        raise TypeError('names are text')
    return Crash(start, _read_age(age_s), tuple(fingerprints))


def _read_age(age_s: Any) -> float:
    age_s = float(age_s)
    if not 0 <= age_s < float('inf'):
        raise ValueError('an age is a time in the past')
    return age_s
