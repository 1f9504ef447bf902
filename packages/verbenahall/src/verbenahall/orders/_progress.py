"""How far an order has got, by what its engine last said."""

import enum
from typing import Final, final

from verbenahall.orders._messages import EngineReport, Order


@final
class Progress(enum.Enum):
    """How far an order has got, by what the engine last said."""

    #: The engine has not told that it took the order.
    UNCONFIRMED = 'unconfirmed'
    RUNNING = 'running'
    DONE = 'done'
    #: The engine took the order, stopped changing, and holds another target.
    FAILED = 'failed'
    #: Another process answers under the engine's name; plan again.
    VOID = 'void'


#: An order in one of these is still to be seen to.
OUTSTANDING: Final = frozenset((Progress.UNCONFIRMED, Progress.RUNNING))


def find_progress(order: Order, report: EngineReport | None) -> Progress:
    """Tell how far ``order`` has got."""
    if report is None:
        return Progress.UNCONFIRMED
    if report.incarnation != order.incarnation:
        return Progress.VOID
    if report.order != order.number:
        return Progress.UNCONFIRMED
    if report.changing:
        return Progress.RUNNING
    return Progress.DONE if report.holding == order.target else Progress.FAILED
