"""Grants for requests whose engines were assigned by a scheduler."""

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
    """Address and key for messages to the scheduler of one assignment."""

    send: Send
    address: str
    key: str


@final
class ScheduledGrant:
    """Engines that a scheduler keeps reserved until ``end`` is called."""

    __slots__ = (
        'plan',
        '_channel',
        '_core',
        '_ended',
        '_flight',
        '_granted_at',
    )

    #: The scheduler has reserved the decode engine, too: it has chosen it by
    #: the whole load of its group.
    holds_decode = True

    def __init__(
        self,
        core: Core,
        plan: Plan,
        flight: InFlight,
        channel: AssignmentChannel,
    ) -> None:
        """Report the progress of the request to the scheduler."""
        self.plan = plan
        self._core = core
        self._ended = False
        self._flight = flight
        self._granted_at = core.now()
        self._channel = channel

    def start(self) -> None:
        """Remove the local reservation: from now on the send itself counts."""
        self._core.placement.load_table.close(self._flight)

    def record_prefill(self, seconds: float) -> None:
        """Report the end of the prefill, which took ``seconds``."""
        self._send(Prefilled(self._channel.key, seconds))

    def record_first_event(self, handover_s: float) -> None:
        """Report the time to the first event."""
        took_s = self._core.now() - self._granted_at
        self._send(FirstEvent(self._channel.key, took_s, handover_s))

    def end(
        self, *, step_s: float = 0, refused: str = '', failed: str = ''
    ) -> None:
        """Release the engines; further calls have no effect."""
        if not self._ended:
            self._ended = True
            self.start()
            self._send(Released(self._channel.key, step_s, refused, failed))

    def _send(self, message: Message) -> None:
        self._channel.send(self._channel.address, message)
