"""Streams that callers take up again, and checks of what they hold.

The users' rules: no stream holds events of two software versions, in one answer
or over its caller's attempts; and of the streams that are taken up, while two
engines of their version serve, at least half as many go on as new ones begin.
"""

import collections
import dataclasses
import re
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from verbenahall_standins.platform import EngineStandIn

#: Takings-up from which on their share is checked.
_MIN_TAKEN_UP: Final = 12
#: Engines of its version that have to serve for a stream to count.
_MIN_SERVING: Final = 2
_LEAST_SHARE: Final = 0.5
_EVENT: Final = re.compile(
    r'^id: (\d+)\ndata: token-\d+ of (\S+)$', re.MULTILINE
)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamAttempt:
    """One attempt at a stream as its caller saw it; times are monotonic.

    ``first_id`` is the id of the attempt that brought the stream's first event,
    or its own. ``after_event`` is the last event that the caller had before, 0
    for a new stream. ``versions`` are those of the events that it got now, and
    ``serving`` is how many engines of the stream's version served when it was
    taken up.
    """

    first_id: str
    request_id: str
    instance: str
    sent_at: float
    status: int
    after_event: int
    last_event: int
    versions: frozenset[str]
    serving: int = 0

    @property
    def has_events(self) -> bool:
        """Whether the attempt brought an event."""
        return bool(self.versions)


def read_events(body: str) -> tuple[int, frozenset[str]]:
    """Return the last whole event of a body, and the versions of its events."""
    events = _EVENT.findall(body)
    last_event = int(events[-1][0]) if events else 0
    return last_event, frozenset(version for _, version in events)


def count_serving(engines: Iterable[EngineStandIn], version: str) -> int:
    """Return how many decode engines of a version serve.

    They are up, do not leave, and neither refuse nor break off all requests.
    """
    return sum(
        engine.version == version
        and engine.role == 'decode'
        and _serves(engine)
        for engine in engines
    )


def _serves(engine: EngineStandIn) -> bool:
    is_gone = engine.notices.leaving or engine.is_down
    return not (is_gone or engine.faults.are_set)


def find_mixed(attempts: Iterable[StreamAttempt]) -> Iterator[str]:
    """Yield a line for each stream that holds events of several versions."""
    versions: dict[str, set[str]] = collections.defaultdict(set)
    for attempt in attempts:
        versions[attempt.first_id].update(attempt.versions)
    for first_id, found in versions.items():
        if len(found) > 1:
            names = ', '.join(sorted(found))
            yield f'{first_id}: the stream holds events of {names}'


def find_not_resumed(
    attempts: Sequence[StreamAttempt],
    is_in_touch: Callable[[str, float], bool],
) -> Iterator[str]:
    """Yield a line if too few of the streams that are taken up go on.

    ``is_in_touch`` is whether an instance was in touch at a time.
    """
    seen = [one for one in attempts if is_in_touch(one.instance, one.sent_at)]
    new = [one for one in seen if not one.after_event]
    taken_up = [
        one for one in seen if one.after_event and one.serving >= _MIN_SERVING
    ]
    if len(taken_up) < _MIN_TAKEN_UP or not new:
        return
    begun = sum(one.has_events for one in new)
    gone_on = sum(one.has_events for one in taken_up)
    if gone_on / len(taken_up) < _LEAST_SHARE * begun / len(new):
        yield (
            f'{gone_on} of {len(taken_up)} streams went on that were taken up,'
            f' and {begun} of {len(new)} new ones began'
        )
