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
_MIN_QUEUE_S: Final = 0.02
#: Share of a request's objective that the reads before it may take at an
#: engine; the rest is for its own read and its first token.
_AHEAD_SHARE: Final = 0.5
#: Share of that for a request that is late anyway, so that those on time that
#: come next do not wait for it.
_LATE_AHEAD_SHARE: Final = 0.5
#: Waiting requests that are placed though their home has no room, at one
#: look: placing is what a look at a long queue spends its time on.
_MAX_SPILLED: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The engines of a service that may get work, and who waits for them."""

    state: PlacementState
    engines: Sequence[Entry]
    traits: EngineTraits
    waiting: int = 0

    @property
    def prefill_engines(self) -> Sequence[Entry]:
        """The engines that only read, or all if there is none."""
        prefill_engines = [
            one for one in self.engines if one.role is Role.PREFILL
        ]
        return prefill_engines or self.engines

    @property
    def can_decode(self) -> bool:
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
    """The engines that have room for one more prefill; ``engine_names`` are all."""

    __slots__ = (
        'engine_names',
        'open_engines',
        '_state',
        '_min_queue_s',
        '_local_share_s',
    )

    def __init__(self, fleet: Fleet) -> None:
        """Look at the engines once; ``reserve`` keeps the picture up."""
        self._state = fleet.state
        self._min_queue_s = fleet.state.read_speed.start_s + _MIN_QUEUE_S
        self._local_share_s = self._min_queue_s / (
            fleet.state.ledger.prefilling_peers + 1
        )
        self.engine_names = frozenset(one.name for one in fleet.engines)
        self.open_engines = {
            name for name in self.engine_names if self._is_open(name)
        }

    def list_candidates(
        self, ranked: Sequence[QueuedRequest]
    ) -> Iterator[QueuedRequest]:
        """Yield who may find room, in order, while there is any."""
        spilled = 0
        for pending in ranked:
            if not self.open_engines:
                return
            if (
                pending.preferred_engine
                in self.engine_names - self.open_engines
            ):
                spilled += 1
                if spilled > _MAX_SPILLED:
                    continue
            yield pending

    def has_room(self, pending: QueuedRequest, plan: Plan, now: float) -> bool:
        """Whether the plan's engine still has a short backlog with it."""
        name = _get_prefill_engine(plan)
        if not self._is_open(name):
            return False
        max_ahead_s = pending.objective_s * _AHEAD_SHARE
        if pending.is_late(now):
            max_ahead_s *= _LATE_AHEAD_SHARE
        return plan.ahead_s < max(max_ahead_s, self._min_queue_s)

    def reserve(self, plan: Plan) -> InFlight:
        """Count the plan's read."""
        name = _get_prefill_engine(plan)
        flight = self._state.ledger.open(name, Totals(reading=plan.missing))
        if not self._is_open(name):
            self.open_engines.discard(name)
        return flight

    def _is_open(self, name: str) -> bool:
        """Whether this instance may have one more read at an engine.

        One, and more only as its share of what all may have: what peers tell
        is a moment old, and with a common bound all instances see the same
        engine idle and send it a prompt each.
        """
        local_tokens = self._state.ledger.local_totals(name).reading
        return (
            local_tokens * self._state.read_speed.token_s < self._local_share_s
        )


def _get_prefill_engine(plan: Plan) -> str:
    """Return the engine that reads the prompt."""
    return (plan.reader or plan.generator).name
