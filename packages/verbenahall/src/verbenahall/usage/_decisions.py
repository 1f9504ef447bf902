"""When a window is decided, and how long its report is tried."""

import dataclasses
from collections.abc import Iterator
from typing import Final

#: How long after a window's end its counts may still grow, as a share of the
#: time within which it is reported. Plain requests count once they are
#: answered.
_SETTLED_SHARE: Final = 0.2
#: Until when instances that were not heard are waited for, as such a share.
_WAITED_SHARE: Final = 0.4
#: After this share instances that were not asked write their counts down.
_WRITTEN_SHARE: Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Windows:
    """The windows of a deployment: their length, and when reports are late.

    Window ``k`` begins ``k * length_s`` seconds after the start of 1970.
    """

    length_s: float
    late_s: float

    def find(self, now: float) -> int:
        """Return the window that a time falls into."""
        return int(now // self.length_s)

    def find_end(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self.length_s

    def find_overdue(self, now: float) -> int:
        """Return the last window whose report would come too late."""
        return self.find(now - self.late_s) - 1


def list_undecided(
    windows: Windows,
    last: int,
    now: float,
) -> Iterator[int]:
    """Yield the windows after ``last`` that are over and not overdue."""
    first = max(last, windows.find_overdue(now)) + 1
    for window in range(first, windows.find(now)):
        yield window


def may_decide(
    windows: Windows,
    window: int,
    now: float,
    *,
    is_complete: bool,
) -> bool:
    """Whether a window is reported by what is known.

    ``is_complete`` tells that all instances were heard since its counts settled.
    """
    share = _SETTLED_SHARE if is_complete else _WAITED_SHARE
    return now >= windows.find_end(window) + windows.late_s * share


def find_settled(windows: Windows, window: int) -> float:
    """Return when the counts of a window hardly grow any more."""
    return windows.find_end(window) + windows.late_s * _SETTLED_SHARE / 2


def find_unpolled(
    windows: Windows,
    polled_at: float,
    now: float,
) -> int | None:
    """Return the last window whose counts nobody has asked for in time."""
    window = windows.find(now - windows.late_s * _WRITTEN_SHARE) - 1
    return window if polled_at < windows.find_end(window) else None
