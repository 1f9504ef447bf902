"""The time that an engine gives to each of its open prefills."""

import dataclasses
from typing import final


@dataclasses.dataclass(slots=True)
class _EngineClock:
    """The open prefills of an engine, and the time that each has got.

    ``given_s`` is the time that a prefill has got that is open all along.
    """

    open_count: int = 0
    given_s: float = 0
    advanced_to: float = 0

    def advance(self, now: float) -> None:
        if self.open_count:
            self.given_s += max(0, now - self.advanced_to) / self.open_count
        self.advanced_to = now


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenPrefill:
    engine: str
    started_at: float
    given_before_s: float


@final
class SharedTime:
    """The share of an engine's time that each prefill gets.

    An engine divides its time equally among its open prefills. The share of
    one is known from their starts and ends alone, whatever the engine's speed.
    """

    __slots__ = ('_clocks', '_open')

    def __init__(self) -> None:
        """Start without open prefills."""
        self._clocks: dict[str, _EngineClock] = {}
        self._open: dict[int, _OpenPrefill] = {}

    def start(self, number: int, engine: str, now: float) -> None:
        """Record the start of a prefill under a number."""
        clock = self._clocks.setdefault(engine, _EngineClock())
        clock.advance(now)
        clock.open_count += 1
        self._open[number] = _OpenPrefill(engine, now, clock.given_s)

    def end(self, number: int, now: float) -> float:
        """Record the end; return the share of the engine's time, 0 to 1.

        Returns 0 for a prefill that is not open.
        """
        prefill = self._open.pop(number, None)
        if prefill is None:
            return 0
        clock = self._clocks[prefill.engine]
        clock.advance(now)
        clock.open_count -= 1
        if not clock.open_count:
            self._clocks.pop(prefill.engine)
        took_s = now - prefill.started_at
        if took_s <= 0:
            return 0
        return min(1, (clock.given_s - prefill.given_before_s) / took_s)
