"""Memory and time of a function call."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Final

from verbenahall_standins.capacity._report import Point, Series

_REPEATS: Final = 200
_MICRO: Final = 1e6

#: A size and the values measured at it.
Row = tuple[int, tuple[float, ...]]


def measure_bytes(work: Callable[[], None]) -> float:
    """Return the bytes still allocated after ``work`` has returned."""
    gc.collect()
    tracemalloc.start()
    work()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes


def time_us(work: Callable[[], object]) -> float:
    """Return the minimum of several timings: noise only adds time."""
    return min(_time_once_us(work) for _ in range(_REPEATS))


def _time_once_us(work: Callable[[], object]) -> float:
    started = time.perf_counter()
    work()
    return (time.perf_counter() - started) * _MICRO


def make_series(
    name: str,
    per: str,
    rows: Sequence[Row],
    column: int,
) -> Series:
    """Return one column of the rows as a series."""
    points = [Point(size, measured[column]) for size, measured in rows]
    return Series(name, per, points)
