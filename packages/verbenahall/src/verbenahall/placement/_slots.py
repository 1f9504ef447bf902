"""Limits how many prefills are open at each engine."""

import dataclasses
from collections.abc import Iterator, Sequence
from typing import Final, final

from returns.result import Failure, Result

from verbenahall.catalog import EngineTraits
from verbenahall.errors import Problem
from verbenahall.fleet import Role
from verbenahall.placement._decisions import place
from verbenahall.placement._load_table import InFlight, Totals
from verbenahall.placement._messages import Plan
from verbenahall.placement._queue import QueuedRequest
from verbenahall.placement._state import PlacementState
from verbenahall.roster import Entry

#: Prefill work that keeps an engine busy until the next prompt reaches it, in
#: seconds, in addition to the fixed start time of a prefill: a network round
#: trip and one iteration of the event loop.
_MIN_QUEUE_S: Final = 0.02
#: Share of a request's objective that the prefills ahead of it at an engine
#: may take; the rest is for its own prefill and first token.
_AHEAD_SHARE: Final = 0.5
#: Share of that limit for a request that is already past its objective, so
#: that later requests that can be on time don't wait for it.
_LATE_AHEAD_SHARE: Final = 0.5
#: Maximum number of queued requests per dispatch for which engines are chosen
#: although their preferred engine has no room. These choices take most of the
#: time of a dispatch with a long queue.
_MAX_SPILLED: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The usable engines of a service.

    ``waiting_count`` is the number of requests queued for them.
    """

    state: PlacementState
    engines: Sequence[Entry]
    traits: EngineTraits
    waiting_count: int = 0

    @property
    def prefill_engines(self) -> Sequence[Entry]:
        """The engines that only prefill, or all engines if there are none."""
        prefill_engines = [
            one for one in self.engines if one.role is Role.PREFILL
        ]
        return prefill_engines or self.engines

    @property
    def can_decode(self) -> bool:
        """Whether any engine decodes."""
        return any(one.role is not Role.PREFILL for one in self.engines)

    def place(
        self, pending: QueuedRequest, now: float
    ) -> Result[Plan, Problem]:
        """Choose engines for a request; avoids those that failed it."""
        available = [
            one for one in self.engines if one.name not in pending.unavailable
        ]
        usable = [one for one in available if one.name not in pending.tried]
        placed = self._place_at(usable, pending, now)
        if isinstance(placed, Failure):
            return self._place_at(available, pending, now)
        return placed

    def _place_at(
        self, engines: Sequence[Entry], pending: QueuedRequest, now: float
    ) -> Result[Plan, Problem]:
        return place(
            self.state,
            pending.placement_request,
            engines,
            self.traits,
            now,
            self.waiting_count,
            pending.due_at - now,
        )


@final
class AdmissionSlots:
    """The engines with room for one more prefill from this instance.

    ``open_engines`` are those with room, ``engine_names`` all of them.
    """

    __slots__ = (
        'engine_names',
        'open_engines',
        '_state',
        '_min_queue_s',
        '_local_share_s',
        '_factors',
    )

    def __init__(self, fleet: Fleet) -> None:
        """Find the engines with room; ``reserve`` keeps the set current."""
        self._state = fleet.state
        self._min_queue_s = fleet.state.prefill_speed.start_s + _MIN_QUEUE_S
        self._local_share_s = self._min_queue_s / (
            fleet.state.load_table.prefilling_peers + 1
        )
        self._factors = fleet.state.engine_speeds.list_prefill_factors(
            fleet.engines
        )
        self.engine_names = frozenset(one.name for one in fleet.engines)
        self.open_engines = {
            name for name in self.engine_names if self._is_open(name)
        }

    def list_candidates(
        self, ranked: Sequence[QueuedRequest]
    ) -> Iterator[QueuedRequest]:
        """Yield the requests that may find room, in order."""
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
        """Whether the backlog of the planned engine is short enough."""
        name = _get_prefill_engine(plan)
        if not self._is_open(name):
            return False
        max_ahead_s = pending.objective_s * _AHEAD_SHARE
        if pending.is_late(now):
            max_ahead_s *= _LATE_AHEAD_SHARE
        return plan.ahead_s < max(max_ahead_s, self._min_queue_s)

    def reserve(self, plan: Plan) -> InFlight:
        """Add the prefill of a plan to the load table."""
        name = _get_prefill_engine(plan)
        flight = self._state.load_table.open(
            name, Totals(prefill_tokens=plan.missing)
        )
        if not self._is_open(name):
            self.open_engines.discard(name)
        return flight

    def _is_open(self, name: str) -> bool:
        """Whether this instance may open one more prefill at an engine.

        It may always have one, and more only within its share of the common
        limit. Reports of peers are slightly outdated: with a common limit
        alone, all instances would see the same engine idle and send it a
        prompt each.
        """
        local_tokens = self._state.load_table.local_totals(name).prefill_tokens
        local_s = local_tokens * self._state.prefill_speed.token_s
        return local_s * self._factors.get(name, 1) < self._local_share_s


def _get_prefill_engine(plan: Plan) -> str:
    """Return the name of the engine that prefills the prompt."""
    return (plan.prefill_engine or plan.decode_engine).name
