"""Typed access to decoded JSON; a wrong type raises ``TypeError``.

Other programs write records too. A string in place of a number would
otherwise fail a request in code far from the cause.
"""

import ipaddress
from typing import Any, Final

_MS_IN_SECOND: Final = 1000.0
#: Largest number: above it, JSON numbers are not exact (2 to the power of 53).
#: What is computed from it fits into 64 bits.
_MAX_NUMBER: Final = 9_007_199_254_740_992
_LAST_PORT: Final = 65_535
_PORT_DIGITS: Final = 5
#: Default of a required field.
_REQUIRED: Final = object()


def text(table: dict[str, Any], name: str) -> str:
    """Return a string that is not empty."""
    found = table[name]
    if not isinstance(found, str) or not found:
        raise TypeError(f'{name} must be a string, not {found!r}')
    return found


def number(
    table: dict[str, Any],
    name: str,
    default: Any = _REQUIRED,
) -> float:
    """Return a number of at least zero that is exact as an integer."""
    found = table[name] if default is _REQUIRED else table.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f'{name} must be a number, not {found!r}')
    if not 0 <= found <= _MAX_NUMBER:
        raise ValueError(
            f'{name} must be from 0 to {_MAX_NUMBER}, not {found!r}'
        )
    return found


def address(table: dict[str, Any], name: str) -> str:
    """Return an IPv4 address with a port, ``IP:port``."""
    found = text(table, name)
    if not is_address(found):
        raise ValueError(f'{name} must be an address, not {found!r}')
    return found


def is_address(found: str) -> bool:
    """Whether a text is an IPv4 address with a port, as sockets take it."""
    host, _, port = found.rpartition(':')
    if not (port.isascii() and port.isdecimal()):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return len(port) <= _PORT_DIGITS and 0 < int(port) <= _LAST_PORT


def integer(
    table: dict[str, Any],
    name: str,
    default: Any = _REQUIRED,
) -> int:
    """Return an integer of at least zero."""
    found = number(table, name, default)
    if int(found) != found:
        raise ValueError(f'{name} must be an integer, not {found!r}')
    return int(found)


def seconds(
    table: dict[str, Any],
    name: str,
    default: Any = _REQUIRED,
) -> float:
    """Return a duration in seconds that is given in milliseconds."""
    return number(table, name, default) / _MS_IN_SECOND
