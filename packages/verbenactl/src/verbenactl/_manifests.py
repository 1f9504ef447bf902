"""How fast manifests came into force at all instances, from logs."""

import collections
from collections.abc import Iterable, Sequence
from typing import Final

from verbenactl._explanations import LogLine

#: Columns of the table: ``last_s`` is the time from the first instance with a
#: version to the last one, which is named with the source of its copy.
MANIFEST_COLUMNS: Final = (
    'version',
    'instances',
    'half_s',
    'last_s',
    'last',
    'source',
    'store',
    'peer',
    'relay',
)
#: Format of a time in seconds.
_SECONDS: Final = '.3f'
_SOURCES: Final = ('store', 'peer', 'relay')


def count_manifests(lines: Iterable[LogLine]) -> Sequence[tuple[str, ...]]:
    """Return a row for each version, in their order.

    Only the first line of an instance on a version counts. The times are those
    of the lines, so they include how far the instances' clocks are apart.
    """
    firsts: dict[int, dict[str, LogLine]] = collections.defaultdict(dict)
    for line in lines:
        decision = line.decision
        if decision['event'] == 'manifest' and decision.get('in_force'):
            version = int(decision['version'])
            firsts[version].setdefault(line.source, line)
    return [
        _make_row(version, sorted(found.values(), key=lambda one: one.at))
        for version, found in sorted(firsts.items())
    ]


def _make_row(version: int, lines: Sequence[LogLine]) -> tuple[str, ...]:
    last = lines[-1]
    delays_s = [line.at - lines[0].at for line in lines]
    sources = collections.Counter(line.decision['source'] for line in lines)
    cells = [
        version,
        len(lines),
        format(delays_s[len(lines) // 2], _SECONDS),
        format(delays_s[-1], _SECONDS),
        last.source,
        last.decision['source'],
        *(sources[source] for source in _SOURCES),
    ]
    return tuple(map(str, cells))
