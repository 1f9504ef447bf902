"""Crash reports, as instances send them in datagrams and store them."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire

#: First bytes of every report, by which other datagrams are recognised without
#: being decoded.
_PREFIX: Final = b'{"crashes":'
#: Most fingerprints in a datagram, which keeps it under 1,400 bytes.
_MAX_FINGERPRINTS: Final = 50
#: Decimal places of an age in seconds, that is milliseconds.
_AGE_DIGITS: Final = 3
_NO_AGES: Final[Mapping[str, float]] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Requests that an instance had running at an endpoint when it crashed.

    ``incarnation`` identifies the endpoint's incarnation, so that a crash that
    several instances report counts once. It happened ``age_s`` seconds ago.
    """

    incarnation: str
    age_s: float
    fingerprints: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes, and what refutes them, with ages in seconds.

    ``answered`` holds the ages of suspects' last complete responses, ``alive``
    how long ago incarnations with a reported crash were known to run.
    """

    crashes: tuple[Crash, ...] = ()
    answered: Mapping[str, float] = dataclasses.field(
        default_factory=lambda: _NO_AGES,
    )
    alive: Mapping[str, float] = dataclasses.field(
        default_factory=lambda: _NO_AGES,
    )


def encode(report: CrashReport) -> bytes:
    """Encode a report."""
    return wire.encode(_make_table(report))


def encode_record(report: CrashReport, at: float) -> bytes:
    """Encode a report that is made ``at`` a time of day, to be stored."""
    return wire.encode({**_make_table(report), 'at': round(at, _AGE_DIGITS)})


def decode_record(content: bytes, at: float) -> Maybe[CrashReport]:
    """Decode a stored report that is read ``at`` a time of day.

    The clocks of two instances may differ by seconds, so a report that seems to
    come from the future is taken for a new one.
    """
    match wire.decode_table(content):
        case Success({'at': float() | int() as made_at}):
            age_s = max(0, at - made_at)
            return decode(content).map(
                lambda report: add_age(report, age_s),
            )
        case _:
            return Nothing


def add_age(report: CrashReport, age_s: float) -> CrashReport:
    """Return a report that is some seconds older."""
    return CrashReport(
        tuple(
            dataclasses.replace(crash, age_s=crash.age_s + age_s)
            for crash in report.crashes
        ),
        {key: known_s + age_s for key, known_s in report.answered.items()},
        {name: known_s + age_s for name, known_s in report.alive.items()},
    )


def _make_table(report: CrashReport) -> dict[str, Any]:
    return {
        'crashes': [
            (
                crash.incarnation,
                round(crash.age_s, _AGE_DIGITS),
                crash.fingerprints,
            )
            for crash in report.crashes
        ],
        'answered': _round_ages(report.answered),
        'alive': _round_ages(report.alive),
    }


def _round_ages(ages: Mapping[str, float]) -> Mapping[str, float]:
    return {name: round(age_s, _AGE_DIGITS) for name, age_s in ages.items()}


def decode(datagram: bytes) -> Maybe[CrashReport]:
    """Decode a report; Nothing if the datagram is not a valid one."""
    if not datagram.startswith(_PREFIX):
        return Nothing
    match wire.decode_table(datagram):
        case Success(
            {'crashes': list(rows), 'answered': dict(answered), **others}
        ):
            # Instances of earlier versions do not send ``alive``.
            return _read(rows, answered, others.get('alive', {}))
        case _:
            return Nothing


def split(report: CrashReport) -> Iterator[CrashReport]:
    """Split a report into parts that each fit into a datagram."""
    part: list[Crash] = []
    remaining = _MAX_FINGERPRINTS
    for crash in _split_crashes(report.crashes):
        if part and len(crash.fingerprints) > remaining:
            yield CrashReport(tuple(part))
            part, remaining = [], _MAX_FINGERPRINTS
        part.append(crash)
        # The incarnation's name takes as many bytes as two fingerprints.
        remaining -= len(crash.fingerprints) + 2
    if part:
        yield CrashReport(tuple(part))
    for ages in _split_chunks(tuple(report.answered.items())):
        yield CrashReport(answered=dict(ages))
    for alive_ages in _split_chunks(tuple(report.alive.items())):
        yield CrashReport(alive=dict(alive_ages))


def _split_crashes(crashes: Sequence[Crash]) -> Iterator[Crash]:
    for crash in crashes:
        for fingerprints in _split_chunks(crash.fingerprints):
            yield dataclasses.replace(crash, fingerprints=tuple(fingerprints))


def _split_chunks(members: Sequence[Any]) -> Iterator[Sequence[Any]]:
    for offset in range(0, len(members), _MAX_FINGERPRINTS):
        yield members[offset : offset + _MAX_FINGERPRINTS]


def _read(
    rows: Sequence[Any],
    answered: Mapping[str, Any],
    alive: Any,
) -> Maybe[CrashReport]:
    """Check and convert the contents; one invalid item rejects the report."""
    try:
        return Some(
            CrashReport(
                tuple(_read_crash(*row) for row in rows),
                _read_ages(answered),
                _read_ages(dict(alive)),
            ),
        )
    except (TypeError, ValueError):
        return Nothing


def _read_ages(ages: Mapping[str, Any]) -> Mapping[str, float]:
    return {name: _read_age(age_s) for name, age_s in ages.items()}


def _read_crash(incarnation: Any, age_s: Any, fingerprints: Any) -> Crash:
    names = (incarnation, *fingerprints)
    if not all(isinstance(name, str) for name in names):
        raise TypeError('names and fingerprints must be strings')
    return Crash(incarnation, _read_age(age_s), tuple(fingerprints))


def _read_age(age_s: Any) -> float:
    age_s = float(age_s)
    if not 0 <= age_s < float('inf'):
        raise ValueError('an age must be finite and not negative')
    return age_s
