"""Which engines have room for one more prefill, and for whose."""

import dataclasses
from collections.abc import Iterator, Sequence
from typing import Final, final

from returns.result import Result

from verbenahall.catalog import EngineTraits
from verbenahall.errors import Problem
from verbenahall.fleet import Role
from verbenahall.placement._decisions import place
from verbenahall.placement._ledger import InFlight, Totals
from verbenahall.placement._messages import Plan
from verbenahall.placement._queue import QueuedRequest
from verbenahall.placement._state import PlacementState
from verbenahall.roster import Entry

#: Work that keeps an engine busy until the next read reaches it, in seconds,
#: beside the start of a read: a round trip and a turn of this process.
_DEPTH_S: Final = 0.02
#: Share of a request's objective that the reads before it may take at an
#: engine; the rest is for its own read and its first token.
_SHARED_DEPTH: Final = 0.5
#: Share of that for a request that is late anyway, so that those on time that
#: come next do not wait for it.
_LATE_DEPTH: Final = 0.5
#: Waiting requests that are placed though their home has no room, at one
#: look: placing is what a look at a long queue spends its time on.
_SPILLED: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The engines of a service that may get work, and who waits for them."""

    state: PlacementState
    engines: Sequence[Entry]
    traits: EngineTraits
    waiting: int = 0

    @property
    def readers(self) -> Sequence[Entry]:
        """The engines that only read, or all if there is none."""
        readers = [one for one in self.engines if one.role is Role.PREFILL]
        return readers or self.engines

    @property
    def generates(self) -> bool:
        """Whether any engine generates."""
        return any(one.role is not Role.PREFILL for one in self.engines)

    def place(
        self, pending: QueuedRequest, now: float
    ) -> Result[Plan, Problem]:
        """Choose engines for a request, other than those that failed it."""
        usable = [one for one in self.engines if one.name not in pending.tried]
        engines = usable or self.engines
        return place(
            self.state,
            pending.wanted,
            engines,
            self.traits,
            now,
            self.waiting,
        )


@final
class AdmissionSlots:
    """The engines that have room for one more prefill; ``known`` are all."""

    __slots__ = ('known', 'open', '_state', '_depth_s', '_share_s')

    def __init__(self, fleet: Fleet) -> None:
        """Look at the engines once; ``take`` keeps the picture up."""
        self._state = fleet.state
        self._depth_s = fleet.state.read_speed.start_s + _DEPTH_S
        self._share_s = self._depth_s / (fleet.state.ledger.readers + 1)
        self.known = frozenset(one.name for one in fleet.engines)
        self.open = {name for name in self.known if self._is_open(name)}

    def choose(
        self, ranked: Sequence[QueuedRequest]
    ) -> Iterator[QueuedRequest]:
        """Yield who may find room, in order, while there is any."""
        spilled = 0
        for pending in ranked:
            if not self.open:
                return
            if pending.home in self.known - self.open:
                spilled += 1
                if spilled > _SPILLED:
                    continue
            yield pending

    def has_room(self, pending: QueuedRequest, plan: Plan, now: float) -> bool:
        """Whether the plan's engine still has a short backlog with it."""
        name = _reader(plan)
        if not self._is_open(name):
            return False
        most_s = pending.objective_s * _SHARED_DEPTH
        if pending.is_late(now):
            most_s *= _LATE_DEPTH
        return plan.ahead_s < max(most_s, self._depth_s)

    def take(self, plan: Plan) -> InFlight:
        """Count the plan's read."""
        name = _reader(plan)
        flight = self._state.ledger.open(name, Totals(reading=plan.missing))
        if not self._is_open(name):
            self.open.discard(name)
        return flight

    def _is_open(self, name: str) -> bool:
        """Whether this instance may have one more read at an engine.

        One, and more only as its share of what all may have: what peers tell
        is a moment old, and with a common bound all instances see the same
        engine idle and send it a prompt each.
        """
        own = self._state.ledger.own_of(name).reading
        return own * self._state.read_speed.token_s < self._share_s


def _reader(plan: Plan) -> str:
    """Return the engine that reads the prompt."""
    return (plan.reader or plan.generator).name
