"""Decodes the platform's list; encodes and decodes heartbeats."""

from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall import wire
from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.membership._messages import (
    Heartbeat,
    InstanceStatus,
    LeavingNotice,
    ListAnswer,
    ListEntry,
    Suspicion,
)

_UNREADABLE: Final = (KeyError, TypeError, ValueError, AttributeError)


def decode_list(table: dict[str, Any]) -> Result[ListAnswer, Problem]:
    """Decode the list; fail if any entry is invalid.

    An entry that was left out would look as if it had been removed.
    """
    try:
        return Success(_build_list(table))
    except _UNREADABLE as error:
        return Failure(Problem(ErrorKind.BAD_REQUEST, f'list: {error!r}'))


def _build_list(table: dict[str, Any]) -> ListAnswer:
    return ListAnswer(
        int(table['version']),
        tuple(_decode_entry(row) for row in table['entries']),
    )


def _decode_entry(row: dict[str, Any]) -> ListEntry:
    endpoint = Endpoint(
        name=str(row['name']),
        kind=EndpointKind(row['kind']),
        address=str(row['address']),
        data_centre=str(row['data_centre']),
        incarnation=str(row['incarnation']),
        service=str(row.get('service') or ''),
        checks_fencing=bool(row.get('checks_fencing', True)),
    )
    return ListEntry(endpoint, leaving=row.get('state') == 'leaving')


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat; empty lists are left out."""
    message: dict[str, Any] = {
        'sender': heartbeat.sender,
        'incarnation': heartbeat.incarnation,
        'ready': heartbeat.report.ready,
        'position': heartbeat.report.position,
    }
    if heartbeat.leaving:
        message['leaving'] = True
    if heartbeat.leaving_notices:
        message['words'] = [
            (notice.name, notice.incarnation, notice.age_s)
            for notice in heartbeat.leaving_notices
        ]
    if heartbeat.suspicions:
        message['suspicions'] = [
            (one.name, one.incarnation, one.failures)
            for one in heartbeat.suspicions
        ]
    return wire.encode(message)


def decode_heartbeat(body: bytes) -> Result[Heartbeat, Problem]:
    """Decode a heartbeat."""
    return wire.decode_table(body).bind(_read_heartbeat)


def _read_heartbeat(table: dict[str, Any]) -> Result[Heartbeat, Problem]:
    try:
        return Success(_build_heartbeat(table))
    except _UNREADABLE as error:
        return Failure(Problem(ErrorKind.BAD_REQUEST, f'heartbeat: {error!r}'))


def _build_heartbeat(table: dict[str, Any]) -> Heartbeat:
    return Heartbeat(
        sender=str(table['sender']),
        incarnation=str(table['incarnation']),
        report=InstanceStatus(bool(table['ready']), int(table['position'])),
        leaving=bool(table.get('leaving')),
        leaving_notices=tuple(
            LeavingNotice(str(name), str(incarnation), max(float(age_s), 0))
            for name, incarnation, age_s in table.get('words', ())
        ),
        suspicions=tuple(
            Suspicion(str(name), str(incarnation), int(failures))
            for name, incarnation, failures in table.get('suspicions', ())
        ),
    )
