"""When a window is decided, and until when its report is sent."""

import dataclasses
from collections.abc import Iterator
from typing import Final

#: Time after a window's end in which its counts may still grow, as a share of
#: the time in which it must be reported. Plain requests are counted when they
#: are answered.
_SETTLED_SHARE: Final = 0.2
#: Time after a window's end at which it is decided without the instances that
#: have not answered, as a share of the same time.
_MAX_WAIT_SHARE: Final = 0.4
#: Time after a window's end at which an instance that was not polled writes its
#: counts to the store, as a share of the same time.
_WRITE_SHARE: Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Windows:
    """The windows of a deployment.

    Window ``k`` begins ``k * length_s`` seconds after the start of 1970. Its
    report is overdue ``late_s`` seconds after its end.
    """

    length_s: float
    late_s: float

    def find(self, now: float) -> int:
        """Return the window that contains a time."""
        return int(now // self.length_s)

    def find_end(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self.length_s

    def find_overdue(self, now: float) -> int:
        """Return the last window whose report is overdue."""
        return self.find(now - self.late_s) - 1


def list_undecided(
    windows: Windows,
    last: int,
    now: float,
) -> Iterator[int]:
    """Yield the windows after ``last`` that have ended and are not overdue."""
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
    """Whether a window may be decided with the counts gathered so far.

    ``is_complete`` is true if all instances have answered since the window's
    counts settled.
    """
    share = _SETTLED_SHARE if is_complete else _MAX_WAIT_SHARE
    return now >= windows.find_end(window) + windows.late_s * share


def find_last_due(windows: Windows, now: float) -> int:
    """Return the last window that any holder may have decided by a time."""
    return windows.find(now - windows.late_s * _SETTLED_SHARE) - 1


def find_settled(windows: Windows, window: int) -> float:
    """Return the time from which an answer is complete for a window.

    The window's counts hardly grow after it.
    """
    return windows.find_end(window) + windows.late_s * _SETTLED_SHARE / 2


def find_unpolled(
    windows: Windows,
    polled_at: float,
    now: float,
) -> int | None:
    """Return the last window that was not polled in time, None without one."""
    window = windows.find(now - windows.late_s * _WRITE_SHARE) - 1
    return window if polled_at < windows.find_end(window) else None
