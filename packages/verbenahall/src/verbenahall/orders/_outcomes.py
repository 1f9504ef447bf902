"""Outcomes of an attempt to send an order."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final


@final
class Outcome(enum.Enum):
    """Outcome of one attempt to send an order."""

    #: The engine started the change.
    STARTED = 'started'
    #: The engine already holds the target.
    ALREADY = 'already'
    #: Requests are in flight or another change is running; retry later.
    BUSY = 'busy'
    #: The engine has seen a higher fencing token or order number.
    FENCED = 'fenced'
    REFUSED = 'refused'
    #: Nothing was written: there was no lease or no connection.
    NOT_SENT = 'not_sent'
    #: The order was written and got no response; the engine may carry it out
    #: until the connection's TCP user timeout has passed.
    UNKNOWN = 'unknown'


OUTCOMES: Final[Mapping[int, Outcome]] = MappingProxyType(
    {
        200: Outcome.ALREADY,
        202: Outcome.STARTED,
        409: Outcome.FENCED,
        423: Outcome.BUSY,
    },
)
