"""Checks how often requests with a part that crashes engines are sent.

The users' rule: at most three of them reach engines, sent by instances in
touch, later than some time after the fifth crash.
"""

import collections
import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Final

from verbenahall_standins.platform import EngineStandIn, PartRun

#: Crashes that are allowed, sends after them, and the time in which instances
#: may learn of the last of these crashes, in seconds.
_MAX_CRASHES: Final = 5
_MAX_SENDS: Final = 3
_STABLE_S: Final = 3.0
#: Times of crashes, and runs.
_Seen = tuple[list[float], list[PartRun]]


def find_resent_parts(
    engines: Iterable[EngineStandIn],
    instances: Mapping[str, str],
    is_in_touch: Callable[[str, float], bool],
) -> Iterator[str]:
    """Yield a line for each part that was sent too often.

    ``instances`` holds the instance that got each request, ``is_in_touch`` is
    whether an instance was in touch at a time.
    """
    by_part = _group(engines)
    for part, (crashes, runs) in by_part.items():
        late = {
            run.request_id
            for run in runs
            if run.at > _find_bound(crashes)
            and is_in_touch(instances[run.request_id], run.at)
        }
        if len(late) > _MAX_SENDS:
            yield (
                f'{part}: sent {len(late)} times after the fifth of'
                f' {len(crashes)} crashes'
            )


def _group(engines: Iterable[EngineStandIn]) -> Mapping[str, _Seen]:
    """Return the times of the crashes and the runs of each part."""
    by_part: dict[str, _Seen] = collections.defaultdict(lambda: ([], []))
    for engine in engines:
        for part, at in engine.part_crashes:
            by_part[part][0].append(at)
        for run in engine.part_runs:
            by_part[run.part][1].append(run)
    return by_part


def _find_bound(crashes: Sequence[float]) -> float:
    """Return the time from which on few sends are allowed."""
    allowed = sorted(crashes)[:_MAX_CRASHES]
    if len(allowed) < _MAX_CRASHES:
        return math.inf
    return allowed[-1] + _STABLE_S
