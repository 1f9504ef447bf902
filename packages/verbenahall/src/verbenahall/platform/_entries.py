"""Decodes what endpoints write about themselves in the store."""

from types import MappingProxyType
from typing import Any, Final

from returns.maybe import Maybe, Nothing, Some
from returns.result import Success

from verbenahall import wire
from verbenahall.fleet import Role
from verbenahall.platform import _fields as fields
from verbenahall.roster import Entry

#: The wire's states: whether the endpoint is leaving.
_LEAVING: Final = MappingProxyType({'ready': False, 'draining': True})
_OCTETS: Final = 4
_LAST_PORT: Final = 65_535
#: What the wire calls a stage is the engine's role.
_ROLES: Final = MappingProxyType(
    {'prefill': Role.PREFILL, 'decode': Role.DECODE},
)


def decode_entry(name: str, record: bytes) -> Maybe[Entry]:
    """Decode one endpoint's entry; Nothing when it names no usable one.

    Entries may come from another writer. One that cannot be read is no
    endpoint, and the others hold.
    """
    match wire.decode_table(record):
        case Success(table):
            return _decode_table(name, table)
        case _:
            return Nothing


def _decode_table(name: str, table: dict[str, Any]) -> Maybe[Entry]:
    try:
        return Some(_build(name, table))
    except (KeyError, TypeError, ValueError):
        return Nothing


def _build(name: str, table: dict[str, Any]) -> Entry:
    stage = table.get('stage')
    return Entry(
        name=name,
        service=fields.text(table, 'service'),
        address=_check_address(fields.text(table, 'address')),
        # The wire's zone is our data centre.
        data_centre=fields.text(table, 'zone'),
        leaving=_LEAVING[fields.text(table, 'state')],
        slots=max(1, fields.integer(table, 'slots', 1)),
        role=None if stage is None else _ROLES[stage],
        # The Unix millisecond of the endpoint's start, from its own clock:
        # it tells two starts apart and says nothing about our time.
        born=fields.integer(table, 'born', 0),
        # Counts the entry's changes, not the orders that were accepted.
        change=fields.integer(table, 'seq', 0),
        cold_s=fields.seconds(table, 'coldLeftMs', 0),
        spot=table.get('spot') is True,
    )


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(':')
    octets = [int(octet) for octet in host.split('.')]
    if len(octets) != _OCTETS or not 0 < int(port) <= _LAST_PORT:
        raise ValueError(f'not an address: {address}')
    return address
