"""Virtual times of the workspaces, and of their callers, at one queue."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import TYPE_CHECKING, Final, final

from verbenahall.fair_shares._levels import Level
from verbenahall.fair_shares._queue import (
    DEFAULT_BOUNDS,
    NO_BOUNDS,
    Workspaces,
)
from verbenahall.fair_shares._waiting import WaitingRequests

if TYPE_CHECKING:
    from verbenahall.placement import QueuedRequest

#: Half-life of what was charged, in seconds. A workspace pays for about three
#: seconds for what it got beyond its share.
HALF_LIFE_S: Final = 2.0
#: Name of the entry of all requests without a known workspace.
COMMON_ENTRY: Final = ''
#: Workspaces with an entry of their own at most.
_MAX_WORKSPACES: Final = 1000
#: Half-lives after which the stored values are scaled back. They double in
#: each half-life, and a float has room for a thousand doublings.
_MAX_HALF_LIVES: Final = 64
#: Lead in seconds of engine time that is not worth keeping.
_NEGLIGIBLE_S: Final = 0.001
#: Age in seconds after which a charge is no longer corrected: its request has
#: ended without a report.
_MAX_OPEN_S: Final = 10.0
#: Initial engine time of a token that no other request shares, in seconds.
_TOKEN_S: Final = 0.000012
_TOKEN_SMOOTHING: Final = 0.2
#: Shortest engine time of a token, in seconds; the costs of waiting requests
#: are divided by it.
_MIN_TOKEN_S: Final = 0.0000001


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """The engine time that a request was charged, in seconds, and when."""

    priority: int
    workspace: str
    caller: str
    engine_s: float
    at: float


@final
class Report:
    """What a peer reported as charged, by workspace, in stored units.

    ``reported`` is the last value of each workspace, ``added`` what the reports
    have added to its virtual time here.
    """

    __slots__ = ('added', 'received_at', 'reported')

    def __init__(self) -> None:
        """Start with nothing reported."""
        self.added: collections.Counter[str] = collections.Counter()
        self.received_at = -float('inf')
        self.reported: dict[str, float] = {}

    def scale(self, factor: float) -> None:
        """Multiply all values by a factor."""
        for values in (self.added, self.reported):
            for name in values:
                values[name] *= factor


@final
class ShareState:
    """The shares at one queue.

    ``names`` are the workspaces in force; while there are none, nothing is
    marked or charged. ``bounds`` has the shares that differ from 1. ``charged``
    is what was charged here, by workspace. Virtual times and charges are stored
    in units that double in each half-life, so that earlier ones weigh less
    without being changed: one second at ``now`` is ``find_unit(now)``.
    ``token_s`` is the engine time of a token that is not cached. ``marked`` is
    how many requests were beyond their share at the last marking, and
    ``admitted`` counts admissions by whether they were. ``waiting`` has the
    requests of the last marking.
    """

    __slots__ = (
        'admitted',
        'bounds',
        'charged',
        'levels',
        'marked',
        'names',
        'open_charges',
        'reports',
        'token_s',
        'waiting',
        '_epoch',
    )

    def __init__(
        self,
        names: Iterable[str] = (),
        bounds: Workspaces = NO_BOUNDS,
    ) -> None:
        """Start with nothing charged."""
        self.admitted: collections.Counter[bool] = collections.Counter()
        self.bounds = bounds
        self.charged: collections.Counter[str] = collections.Counter()
        self.levels: dict[int, Level] = {}
        self.marked = 0
        self.names = _select(names)
        self.open_charges: dict[QueuedRequest, Charge] = {}
        self.reports: dict[str, Report] = {}
        self.token_s = _TOKEN_S
        self.waiting = WaitingRequests()
        self._epoch: float = 0

    def apply_workspaces(self, names: Iterable[str]) -> None:
        """Put workspaces in force; removes the state of all others."""
        selected = _select(names)
        removed = self.names - selected if selected else self.names
        if not selected:
            removed |= {COMMON_ENTRY}
        self.names = selected
        self.waiting.clear()
        for one in self.levels.values():
            one.forget_waiting()
        for name in removed:
            self.charged.pop(name, None)
            for level in self.levels.values():
                level.remove(name)
            for report in self.reports.values():
                report.added.pop(name, None)
                report.reported.pop(name, None)

    def classify(self, workspace: str) -> str:
        """Return the entry that a workspace uses."""
        return workspace if workspace in self.names else COMMON_ENTRY

    def get_share(self, workspace: str) -> float:
        """Return the share of an entry."""
        return self.bounds.get(workspace, DEFAULT_BOUNDS).share

    def find_unit(self, now: float) -> float:
        """Return the stored value of one second that is charged now."""
        half_lives = (now - self._epoch) / HALF_LIFE_S
        if half_lives > _MAX_HALF_LIVES:
            self._scale(0.5**half_lives)
            self._epoch = now
            return 1
        return 2**half_lives

    def find_level(self, priority: int) -> Level:
        """Return the shares of a priority; reports count in a new one."""
        level = self.levels.get(priority)
        if level is None:
            level = Level()
            self.levels[priority] = level
            for report in self.reports.values():
                for name, added in report.added.items():
                    self.charge_level(level, name, added)
        return level

    def charge_level(self, level: Level, workspace: str, cost: float) -> None:
        """Advance the virtual time of a workspace in one priority."""
        share = self.get_share(workspace)
        level.workspaces.charge(workspace, cost, share)

    def observe_cost(self, tokens: int, engine_s: float) -> None:
        """Update the engine time of a token by a request that has run.

        Expected times would not do: where engines are faster than expected,
        three waiting requests would count as many more.
        """
        if tokens > 0:
            error_s = engine_s / tokens - self.token_s
            smoothed_s = self.token_s + _TOKEN_SMOOTHING * error_s
            self.token_s = max(_MIN_TOKEN_S, smoothed_s)

    def prune(self, now: float) -> None:
        """Remove what has no effect on later decisions."""
        margin = self.find_unit(now) * _NEGLIGIBLE_S
        for level in self.levels.values():
            level.prune(margin)
        for name, stored in tuple(self.charged.items()):
            if stored < margin:
                self.charged.pop(name)
        for pending, charge in tuple(self.open_charges.items()):
            if now - charge.at > _MAX_OPEN_S:
                self.open_charges.pop(pending)

    def _scale(self, factor: float) -> None:
        for level in self.levels.values():
            level.scale(factor)
        for report in self.reports.values():
            report.scale(factor)
        for name in self.charged:
            self.charged[name] *= factor


def _select(names: Iterable[str]) -> frozenset[str]:
    """Return the names that get an entry of their own."""
    return frozenset(sorted(names)[:_MAX_WORKSPACES])
