"""What a piece of work takes: bytes left allocated and microseconds."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Final

from verbenahall_standins.capacity._report import Point, Series

_REPEATS: Final = 200
_MICRO: Final = 1e6

#: A size and what was measured at it.
Row = tuple[int, tuple[float, ...]]


def trace(work: Callable[[], None]) -> float:
    """Return the bytes that the work has left allocated."""
    gc.collect()
    tracemalloc.start()
    work()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def time_us(work: Callable[[], object]) -> float:
    """Return the least of several timings, which noise can only raise."""
    return min(_time_once_us(work) for _ in range(_REPEATS))


def _time_once_us(work: Callable[[], object]) -> float:
    started = time.perf_counter()
    work()
    return (time.perf_counter() - started) * _MICRO


def take_column(
    name: str,
    per: str,
    rows: Sequence[Row],
    column: int,
) -> Series:
    """Return one measured column of the rows as a series."""
    points = [Point(size, measured[column]) for size, measured in rows]
    return Series(name, per, points)
