"""Decides when roles follow the speeds of engines and the demand.

A role change takes an engine out of service for seconds, so roles follow only
what has lasted for several of them.
"""

import dataclasses
import math
from collections.abc import Iterator, Mapping, Sequence
from typing import Final, final

from verbenahall.fleet import Role
from verbenahall.roster import Entry

#: Ratio of the long-term speeds of two engines from which they exchange roles.
_EXCHANGE_RATIO: Final = 1.3
#: Roles of the two engines before the exchange.
_EXCHANGED_ROLES: Final = (Role.PREFILL, Role.DECODE)
#: Role changes for which a reason must last. An exchange takes two engines out
#: of service for one role change each, and an empty prefix cache costs about as
#: much engine time again. Engines that are half in use and differ by 1.3 to 2.4
#: gain that back within 16 to 40 role changes.
_LASTING_CHANGES: Final = 30.0
#: Share of an engine's time or slots that is used at its intended load.
_INTENDED_USE: Final = 0.7
#: Number and share of the engines by which the number of decode engines must be
#: off to be changed; the greater of both applies.
_DEAD_BAND: Final = 1.0
_DEAD_BAND_SHARE: Final = 0.05
#: Least share of the engines in use for the mix of demand to be known.
_MIN_USE: Final = 0.3
#: Least and largest share of the engines that decode.
_MIN_DECODE_SHARE: Final = 1 / 6
_MAX_DECODE_SHARE: Final = 1 / 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineUse:
    """What is in use of a service's engines, each between 0 and their number.

    ``prefilling`` is the number of engines with open prefills, ``decoding``
    the open streams divided by the slots of an engine.
    """

    prefilling: float
    decoding: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRoles:
    """What the roles of a service are to follow.

    ``decode_count`` is the number of engines that decode, None for the usual
    share. ``exchanges`` holds pairs of a prefill engine and a decode engine
    that are to exchange their roles.
    """

    decode_count: int | None = None
    exchanges: tuple[tuple[Entry, Entry], ...] = ()


#: Roles of a service whose engines are equally fast.
USUAL_ROLES: Final = ServiceRoles()


@final
class RoleTimer:
    """Times the changes of roles of one service; a role change takes seconds.

    ::

        timer = RoleTimer(role_change_s=3)
        roles = timer.update(engines, factors, use, now)
    """

    __slots__ = (
        '_lasting_s',
        '_pairs',
        '_use',
        '_updated_at',
        '_shift',
        '_target',
    )

    def __init__(self, role_change_s: float) -> None:
        """Start without any reason to change roles."""
        self._lasting_s = _LASTING_CHANGES * role_change_s
        #: By data centre, the names of two engines and since when they differ.
        self._pairs: dict[str, tuple[str, str, float]] = {}
        self._use = EngineUse(0, 0)
        self._updated_at: float | None = None
        #: Sign of the error of the number of decode engines, and its start.
        self._shift: tuple[int, float] = (0, 0)
        #: Number of decode engines after a shift that has lasted.
        self._target: int | None = None

    def update(
        self,
        engines: Sequence[Entry],
        factors: Mapping[str, float],
        use: EngineUse | None,
        now: float,
        *,
        is_disturbed: bool = False,
    ) -> ServiceRoles:
        """Return what the roles are to follow from ``now`` on.

        ``factors`` are the long-term factors on durations by engine, empty if
        engines are equally fast. ``use`` is None if not all of it is known: the
        number of decode engines is the usual one then. While ``is_disturbed``,
        because engines were lost or are changing, no reason begins to last.
        """
        if not factors:
            self._pairs.clear()
            self._target = None
            self._updated_at = None
            return USUAL_ROLES
        if use is not None:
            self._smooth_use(use, now)
        if is_disturbed:
            self._pairs.clear()
            self._shift = (0, now)
            self._target = None
            return ServiceRoles()
        exchanges = tuple(self._find_exchanges(engines, factors, now))
        if use is None:
            return ServiceRoles(exchanges=exchanges)
        current = sum(one.role is Role.DECODE for one in engines)
        self._follow_demand(engines, current, now)
        return ServiceRoles(
            self._count_decode_engines(engines, current), exchanges
        )

    def _smooth_use(self, use: EngineUse, now: float) -> None:
        """Average the use over the time that a reason has to last.

        Swings of the mix that are shorter than two role changes average out.
        """
        if self._updated_at is None:
            self._use = use
            self._shift = (0, now)
        else:
            age_s = max(0, now - self._updated_at)
            gain = 1 - math.exp(-age_s / self._lasting_s)
            before = self._use
            self._use = EngineUse(
                _smooth(before.prefilling, use.prefilling, gain),
                _smooth(before.decoding, use.decoding, gain),
            )
        self._updated_at = now

    def _follow_demand(
        self, engines: Sequence[Entry], current: int, now: float
    ) -> None:
        """Aim at another number of decode engines after a lasting shift."""
        total = len(engines)
        in_use = (self._use.prefilling + self._use.decoding) / _INTENDED_USE
        wanted = total * self._use.decoding / _INTENDED_USE / max(in_use, 1)
        error = wanted - current
        sign = 0
        if in_use >= _MIN_USE * total and abs(error) > _find_dead_band(total):
            sign = 1 if error > 0 else -1
        if sign != self._shift[0]:
            self._shift = (sign, now)
            self._target = None
        elif sign and now - self._shift[1] >= self._lasting_s:
            self._target = round(wanted)

    def _count_decode_engines(
        self, engines: Sequence[Entry], current: int
    ) -> int:
        """Return how many engines decode: as many as now, or the new number.

        Each data centre with prefill engines and each version keeps one. Any
        number between the bounds is kept unless a shift has lasted, since
        other instances may have ordered it by what they have measured.
        """
        total = len(engines)
        data_centres = {
            one.data_centre for one in engines if one.role is Role.PREFILL
        }
        versions = {one.version for one in engines}
        least = max(1, len(data_centres), len(versions))
        least = max(least, math.ceil(total * _MIN_DECODE_SHARE))
        most = max(least, math.floor(total * _MAX_DECODE_SHARE))
        wanted = current if self._target is None else self._target
        return min(total, most, max(least, wanted))

    def _find_exchanges(
        self,
        engines: Sequence[Entry],
        factors: Mapping[str, float],
        now: float,
    ) -> Iterator[tuple[Entry, Entry]]:
        """Yield one pair of engines for each data centre that has one."""
        for data_centre in sorted({one.data_centre for one in engines}):
            local = [
                one
                for one in engines
                if one.data_centre == data_centre and one.name in factors
            ]
            pair = self._keep_pair(data_centre, local, factors)
            pair = pair or _find_pair(engines, local, factors)
            if pair is None:
                self._pairs.pop(data_centre, None)
            elif self._has_lasted(data_centre, pair, now):
                yield pair

    def _has_lasted(
        self, data_centre: str, pair: tuple[Entry, Entry], now: float
    ) -> bool:
        """Whether the two engines have differed for long enough."""
        names = (pair[0].name, pair[1].name)
        known = self._pairs.get(data_centre)
        if known is None or known[:2] != names:
            self._pairs[data_centre] = (*names, now)
            return False
        return now - known[2] >= self._lasting_s

    def _keep_pair(
        self,
        data_centre: str,
        engines: Sequence[Entry],
        factors: Mapping[str, float],
    ) -> tuple[Entry, Entry] | None:
        """Return the pair chosen before if it still differs.

        Among equal engines the extreme ones alternate by chance.
        """
        first, second, _ = self._pairs.get(data_centre, ('', '', 0))
        by_name = {one.name: one for one in engines}
        if first not in by_name or second not in by_name:
            return None
        pair = (by_name[first], by_name[second])
        return pair if _is_worth_exchanging(pair, factors) else None


def _find_pair(
    engines: Sequence[Entry],
    local: Sequence[Entry],
    factors: Mapping[str, float],
) -> tuple[Entry, Entry] | None:
    """Return the slowest prefill and the fastest decode engine, if worth it.

    A version that only one engine decodes keeps that engine.
    """
    decoding = [one.version for one in engines if one.role is Role.DECODE]
    ranked = sorted(local, key=lambda one: factors[one.name])
    fastest = next((one for one in ranked if one.role is Role.DECODE), None)
    if fastest is None:
        return None
    is_last = decoding.count(fastest.version) < 2
    for slowest in reversed(ranked):
        may_replace = not is_last or slowest.version == fastest.version
        if may_replace and _is_worth_exchanging((slowest, fastest), factors):
            return (slowest, fastest)
    return None


def _is_worth_exchanging(
    pair: tuple[Entry, Entry], factors: Mapping[str, float]
) -> bool:
    prefill_engine, decode_engine = pair
    if (prefill_engine.role, decode_engine.role) != _EXCHANGED_ROLES:
        return False
    ratio = factors[prefill_engine.name] / factors[decode_engine.name]
    return ratio > _EXCHANGE_RATIO


def _find_dead_band(total: int) -> float:
    """Return the error in engines up to which their number is kept."""
    return max(_DEAD_BAND, _DEAD_BAND_SHARE * total)


def _smooth(mean: float, sample: float, gain: float) -> float:
    return mean + gain * (sample - mean)
