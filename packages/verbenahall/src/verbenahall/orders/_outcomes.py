"""What may become of one attempt to send an order."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final


@final
class Outcome(enum.Enum):
    """What became of one attempt to send an order."""

    #: The engine started the change.
    STARTED = 'started'
    #: The engine already holds the target.
    ALREADY = 'already'
    #: Work is in flight or another change runs; try again later.
    BUSY = 'busy'
    #: The engine has seen a higher fencing token or order number.
    FENCED = 'fenced'
    REFUSED = 'refused'
    #: Nothing was written: no lease, or no connection.
    NOT_SENT = 'not_sent'
    #: Written without an answer; the engine may carry it out at any time
    #: until the connection's user timeout has passed.
    UNKNOWN = 'unknown'


OUTCOMES: Final[Mapping[int, Outcome]] = MappingProxyType(
    {
        200: Outcome.ALREADY,
        202: Outcome.STARTED,
        409: Outcome.FENCED,
        423: Outcome.BUSY,
    },
)
