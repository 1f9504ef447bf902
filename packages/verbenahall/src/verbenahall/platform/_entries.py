"""Decodes the entries that endpoints write into the store."""

from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.fleet import Role
from verbenahall.platform import _fields as fields
from verbenahall.roster import Entry

#: The platform's states, and whether the endpoint is leaving.
_LEAVING: Final = MappingProxyType({'ready': False, 'draining': True})
#: Longest software version in characters; it is sent in headers and datagrams.
_MAX_VERSION: Final = 64
#: The platform calls the role of an engine its stage.
_ROLES: Final = MappingProxyType(
    {'prefill': Role.PREFILL, 'decode': Role.DECODE},
)


def decode_entry(name: str, record: bytes) -> Maybe[Entry]:
    """Decode an endpoint's entry; Nothing if it is invalid.

    Other programs write entries too. An invalid entry is skipped and does
    not affect the others.
    """
    match wire.decode_table(record):
        case Success(table):
            return _decode_table(name, table)
        case _:
            return Nothing


def is_leaving(record: bytes) -> bool:
    """Whether an entry says that its endpoint leaves, if it is invalid, too."""
    match wire.decode_table(record):
        case Success({'state': str(state)}):
            return _LEAVING.get(state, False)
        case _:
            return False


def _decode_table(name: str, table: dict[str, Any]) -> Maybe[Entry]:
    try:
        return Some(_build(name, table))
    except (KeyError, TypeError, ValueError):
        return Nothing


def _build(name: str, table: dict[str, Any]) -> Entry:
    stage = table.get('stage')
    if not (name.isascii() and name.isprintable()):
        # It is sent in a header.
        raise ValueError(f'a name must be printable ASCII, not {name!r}')
    return Entry(
        name=name,
        service=fields.text(table, 'service'),
        address=fields.address(table, 'address'),
        # The platform calls a data centre a zone.
        data_centre=fields.text(table, 'zone'),
        leaving=_LEAVING[fields.text(table, 'state')],
        slots=max(1, fields.integer(table, 'slots', 1)),
        role=None if stage is None else _ROLES[stage],
        # The endpoint's start in Unix milliseconds by its own clock. It only
        # distinguishes two starts and is not compared with local time.
        born=fields.integer(table, 'born', 0),
        # Counts changes of the entry, not accepted role orders.
        change=fields.integer(table, 'seq', 0),
        cold_s=fields.seconds(table, 'coldLeftMs', 0),
        spot=table.get('spot') is True,
        version=_read_version(table.get('version')),
    )


def _read_version(found: Any) -> str:
    """Return a software version, empty if it is missing or no short text."""
    is_version = (
        isinstance(found, str)
        and len(found) <= _MAX_VERSION
        and found.isascii()
        and found.isprintable()
    )
    return found if is_version else ''
