"""Typed access to decoded JSON; a wrong type raises ``TypeError``.

Other programs write records too. A string in place of a number would
otherwise fail a request in code far from the cause.
"""

from typing import Any, Final

_MS_IN_SECOND: Final = 1000.0
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
    """Return a finite number of at least zero."""
    found = table[name] if default is _REQUIRED else table.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f'{name} must be a number, not {found!r}')
    if not 0 <= found < float('inf'):
        raise ValueError(
            f'{name} must be finite and not negative, not {found!r}'
        )
    return found


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
