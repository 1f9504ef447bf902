"""What an admitted request may use, and how its use is told."""

from typing import Protocol, final

from verbenahall.gateway._core import Core
from verbenahall.gateway._messages import Call
from verbenahall.gateway._prefill_queues import PrefillQueues
from verbenahall.placement import Admitted, Plan


class Grant(Protocol):
    """The engines of one request, and who is told how it goes there."""

    @property
    def plan(self) -> Plan:
        """Where the request goes."""

    @property
    def holds_decode(self) -> bool:
        """Whether a place at the decode engine is kept for the request."""

    def start(self) -> None:
        """Note that the request is sent now."""

    def note_prefill(self, seconds: float) -> None:
        """Note that the prompt was prefilled."""

    def note_first(self, handover_s: float) -> None:
        """Note the first event, so long after a handover if there was one."""

    def end(self, *, step_s: float = 0, refused: str = '') -> None:
        """Note that nothing is open any more; again changes nothing."""


@final
class LocalGrant:
    """A place that this instance's own queue has given."""

    __slots__ = ('_admitted', '_call', '_core', '_granted_at', '_queues')

    #: The engine that goes on is chosen anew once the prompt was read.
    holds_decode = False

    def __init__(
        self,
        core: Core,
        queues: PrefillQueues,
        call: Call,
        admitted: Admitted,
    ) -> None:
        """Tell the queue of this process."""
        self._core = core
        self._queues = queues
        self._call = call
        self._admitted = admitted
        self._granted_at = core.now()

    @property
    def plan(self) -> Plan:
        """Where the request goes."""
        return self._admitted.plan

    def start(self) -> None:
        """Take the reservation back: the send counts from now."""
        self._core.placement.ledger.close(self._admitted.flight)

    def note_prefill(self, seconds: float) -> None:
        """Admit the next request."""
        self._queues.admit_waiting(self._call.service)

    def note_first(self, handover_s: float) -> None:
        """Let the queue learn how long first events take."""
        self._queues.note_first(
            self._call,
            self._admitted.pending,
            self._granted_at,
        )

    def end(self, *, step_s: float = 0, refused: str = '') -> None:
        """Admit the next request."""
        self.start()
        self._queues.admit_waiting(self._call.service)


@final
class UnqueuedGrant:
    """A request that goes on without waiting: its prompt was read before."""

    __slots__ = ('plan',)

    holds_decode = False

    def __init__(self, plan: Plan) -> None:
        """Go where the plan says."""
        self.plan = plan

    def start(self) -> None:
        """Nothing was kept for it."""

    def note_prefill(self, seconds: float) -> None:
        """Nobody waits for it."""

    def note_first(self, handover_s: float) -> None:
        """Nobody learns from it."""

    def end(self, *, step_s: float = 0, refused: str = '') -> None:
        """Nothing was kept for it."""
