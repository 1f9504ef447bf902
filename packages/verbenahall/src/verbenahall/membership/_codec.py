"""The list service's JSON as messages."""

from collections.abc import Iterable
from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall.errors import ErrorKind, Problem
from verbenahall.fleet import Endpoint, EndpointKind
from verbenahall.membership._messages import ListEntry


_UNREADABLE: Final = (KeyError, TypeError, ValueError, AttributeError)


def decode_entries(
    rows: Iterable[Any],
) -> Result[tuple[ListEntry, ...], Problem]:
    """Decode the list's entries; one bad entry refuses the whole list.

    Leaving out what can't be read would look like its removal.
    """
    try:
        return Success(tuple(_decode_entry(row) for row in rows))
    except _UNREADABLE as error:
        return Failure(
            Problem(ErrorKind.BAD_REQUEST, f'list entry: {error!r}'),
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
