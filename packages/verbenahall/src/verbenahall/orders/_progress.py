"""Progress of an order according to the latest report of its engine."""

import enum
from typing import Final, final

from verbenahall.orders._messages import EngineReport, Order


@final
class Progress(enum.Enum):
    """Progress of an order according to the latest report of its engine."""

    #: No report shows yet that the engine has accepted the order.
    UNCONFIRMED = 'unconfirmed'
    RUNNING = 'running'
    DONE = 'done'
    #: The engine accepted the order, ended the change, and holds another
    #: target.
    FAILED = 'failed'
    #: The engine has another incarnation; a new plan is needed.
    VOID = 'void'


#: Progress of an order that still has to be sent or completed.
OUTSTANDING: Final = frozenset((Progress.UNCONFIRMED, Progress.RUNNING))


def find_progress(order: Order, report: EngineReport | None) -> Progress:
    """Return the progress of ``order``; the report may be missing."""
    if report is None:
        return Progress.UNCONFIRMED
    if report.incarnation != order.incarnation:
        return Progress.VOID
    if report.order != order.number:
        return Progress.UNCONFIRMED
    if report.changing:
        return Progress.RUNNING
    return Progress.DONE if report.holding == order.target else Progress.FAILED
