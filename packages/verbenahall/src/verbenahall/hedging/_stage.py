"""The stages of an attempt, and which other attempts each one ends."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final


@final
class Stage(enum.Enum):
    """How far an attempt has come.

    ``PREPARING`` is before the request itself is sent, ``SENT`` while it may
    still be refused, ``RUNNING`` before its answer, and ``ANSWERING`` once part
    of its answer is passed on.
    """

    PREPARING = 'preparing'
    SENT = 'sent'
    RUNNING = 'running'
    ANSWERING = 'answering'


_StageTable = Mapping[Stage, frozenset[Stage]]
#: Stages of other attempts that an attempt ends by entering a stage: one that
#: runs makes further preparations useless, and only one may answer.
_SUPERSEDED: Final[_StageTable] = MappingProxyType(
    {
        Stage.PREPARING: frozenset(),
        Stage.SENT: frozenset(),
        Stage.RUNNING: frozenset((Stage.PREPARING,)),
        Stage.ANSWERING: frozenset(Stage),
    },
)


def is_superseded(stage: Stage, entered: Stage) -> bool:
    """Whether an attempt at ``stage`` ends as another one enters a stage."""
    return stage in _SUPERSEDED[entered]
