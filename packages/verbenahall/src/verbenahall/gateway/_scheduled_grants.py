"""Engines that a scheduler has assigned to a request."""

import dataclasses
from collections.abc import Callable
from typing import final

from verbenahall.gateway._core import Core
from verbenahall.placement import InFlight, Plan
from verbenahall.scheduling import (
    FirstEvent,
    Message,
    Prefilled,
    Released,
)

#: Sends a message to the instance at an address.
Send = Callable[[str, Message], None]


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentChannel:
    """How the scheduler of one assignment is told of it."""

    send: Send
    address: str
    key: str


@final
class ScheduledGrant:
    """Engines that a scheduler has assigned, and keeps until the end."""

    __slots__ = (
        'plan',
        '_contact',
        '_core',
        '_ended',
        '_flight',
        '_granted_at',
    )

    #: The scheduler has chosen by the whole load of its group.
    holds_decode = True

    def __init__(
        self,
        core: Core,
        plan: Plan,
        flight: InFlight,
        contact: AssignmentChannel,
    ) -> None:
        """Tell the scheduler how it goes."""
        self.plan = plan
        self._core = core
        self._ended = False
        self._flight = flight
        self._granted_at = core.now()
        self._contact = contact

    def start(self) -> None:
        """Take the reservation back: the send counts from now."""
        self._core.placement.ledger.close(self._flight)

    def note_prefill(self, seconds: float) -> None:
        """Tell that the prefill engine has room for the next prompt."""
        self._say(Prefilled(self._contact.key, seconds))

    def note_first(self, handover_s: float) -> None:
        """Tell how long the first event took."""
        took_s = self._core.now() - self._granted_at
        self._say(FirstEvent(self._contact.key, took_s, handover_s))

    def end(self, *, step_s: float = 0, refused: str = '') -> None:
        """Tell that the engines' places are free again."""
        if not self._ended:
            self._ended = True
            self.start()
            self._say(Released(self._contact.key, step_s, refused))

    def _say(self, message: Message) -> None:
        self._contact.send(self._contact.address, message)
