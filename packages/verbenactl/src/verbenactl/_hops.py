"""Requests that peers served, by the two instances, from logs."""

import collections
from collections.abc import Iterable, Sequence
from typing import Final

from verbenactl._explanations import LogLine

#: Columns of the table of hops.
HOP_COLUMNS: Final = (
    'instance',
    'peer',
    'forwarded',
    'answered',
    'refused',
    'failed',
)
#: Outcomes of hops after which the request certainly has not run.
_NOT_RUN: Final = frozenset(('refused', 'never_written'))


def count_hops(lines: Iterable[LogLine]) -> Sequence[tuple[str, ...]]:
    """Return how the hops between each two instances ended.

    An answer of any status counts as answered.
    """
    ends = [line for line in lines if line.decision['event'] == 'forward_ended']
    counts = collections.Counter(map(_read_end, ends))
    pairs = sorted({(instance, peer) for instance, peer, _ in counts})
    return [
        (instance, peer, *_format_counts(counts, instance, peer))
        for instance, peer in pairs
    ]


def _read_end(line: LogLine) -> tuple[str, str, str]:
    """Return the two instances of a hop, and how it ended."""
    # Collectors may write the time before the instance's name.
    instance = line.source.rpartition(' ')[2]
    decision = line.decision
    return instance, decision['peer'], _classify(decision['outcome'])


def _classify(outcome: str) -> str:
    if outcome.isdigit():
        return 'answered'
    return 'refused' if outcome in _NOT_RUN else 'failed'


def _format_counts(
    counts: collections.Counter[tuple[str, str, str]],
    instance: str,
    peer: str,
) -> tuple[str, ...]:
    ends = [
        counts[instance, peer, end] for end in ('answered', 'refused', 'failed')
    ]
    return tuple(str(count) for count in (sum(ends), *ends))
