"""Grants: the engines of an admitted request and reports of their use."""

from typing import Protocol, final

from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.gateway._prefill_queues import PrefillQueues
from verbenahall.placement import Admitted, Plan


class Grant(Protocol):
    """The engines assigned to one request, with the reports of its progress."""

    @property
    def plan(self) -> Plan:
        """The engines that prefill and decode the request."""

    @property
    def holds_decode(self) -> bool:
        """Whether a place at the decode engine is reserved."""

    def start(self) -> None:
        """Record that the request is sent now."""

    def record_prefill(self, seconds: float) -> None:
        """Record the end of the prefill, which took ``seconds``."""

    def record_first_event(self, handover_s: float) -> None:
        """Record the first event.

        ``handover_s`` is the time from the send of the KV cache handle to the
        decode engine until now, 0 for a send without a handle.
        """

    def end(
        self, *, step_s: float = 0, refused: str = '', failed: str = ''
    ) -> None:
        """Release the engines; further calls have no effect.

        ``step_s`` is the time between two tokens, 0 if unknown, ``refused`` the
        name of the engine that refused the request, if any, and ``failed`` that
        of the engine that refused or failed it.
        """


@final
class LocalGrant:
    """Engines that were assigned by a local queue."""

    __slots__ = ('_admitted', '_call', '_core', '_granted_at', '_queues')

    #: The decode engine is chosen again after the prefill.
    holds_decode = False

    def __init__(
        self,
        core: Core,
        queues: PrefillQueues,
        call: Call,
        admitted: Admitted,
    ) -> None:
        """Report to ``queues``."""
        self._core = core
        self._queues = queues
        self._call = call
        self._admitted = admitted
        self._granted_at = core.now()

    @property
    def plan(self) -> Plan:
        """The engines that prefill and decode the request."""
        return self._admitted.plan

    def start(self) -> None:
        """Close the reservation: from now on the send itself is counted."""
        self._core.placement.load_table.close(self._admitted.flight)

    def record_prefill(self, seconds: float) -> None:
        """Correct the charge of the request, and admit the next one."""
        self._core.fair_shares.record_prefill(
            self._admitted, self._core.placement, seconds
        )
        self._queues.admit_waiting(self._call.service)

    def record_first_event(self, handover_s: float) -> None:
        """Record the time to the first event in the queue."""
        self._queues.record_first_event(
            self._call,
            self._admitted.pending,
            self._granted_at,
        )

    def end(
        self, *, step_s: float = 0, refused: str = '', failed: str = ''
    ) -> None:
        """Admit the next request."""
        self.start()
        self._core.fair_shares.record_end(self._admitted, refused=bool(refused))
        self._queues.admit_waiting(self._call.service)


@final
class UnqueuedGrant:
    """Engines of a request that does not wait in a queue.

    Nothing is reserved for it, and its progress is not reported.
    """

    __slots__ = ('plan',)

    holds_decode = False

    def __init__(self, plan: Plan) -> None:
        """Use the engines of the plan."""
        self.plan = plan

    def start(self) -> None:
        """Do nothing: nothing is reserved."""

    def record_prefill(self, seconds: float) -> None:
        """Do nothing: no queue depends on it."""

    def record_first_event(self, handover_s: float) -> None:
        """Do nothing: no queue measures it."""

    def end(
        self, *, step_s: float = 0, refused: str = '', failed: str = ''
    ) -> None:
        """Do nothing: nothing is reserved."""
