"""Typed reading of decoded JSON; a wrong type raises ``TypeError``.

Records may come from other writers. A text where a number should be would
otherwise travel inwards and fail a request far from its cause.
"""

from typing import Any, Final

_MS_IN_SECOND: Final = 1000.0
#: Stands for a field without a default.
_REQUIRED: Final = object()


def text(table: dict[str, Any], name: str) -> str:
    """Return a text that is not empty."""
    found = table[name]
    if not isinstance(found, str) or not found:
        raise TypeError(f'{name} must be a text, not {found!r}')
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
        raise ValueError(f'{name} must be zero or more, not {found!r}')
    return found


def integer(
    table: dict[str, Any],
    name: str,
    default: Any = _REQUIRED,
) -> int:
    """Return a whole number of at least zero."""
    found = number(table, name, default)
    if int(found) != found:
        raise ValueError(f'{name} must be a whole number, not {found!r}')
    return int(found)


def seconds(
    table: dict[str, Any],
    name: str,
    default: Any = _REQUIRED,
) -> float:
    """Return a length given in milliseconds, in seconds."""
    return number(table, name, default) / _MS_IN_SECOND
