"""Groups of requests that were never served while others were, from logs.

Averages hide a group whose requests all fail. A group is listed if requests
for it were sent repeatedly over some time and none was answered. By chance, a
group of ``n`` requests is unserved with the ``n``-th power of the share of its
route's requests that are unserved; the sum over all groups is the number that
would be unserved by chance.
"""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

#: Least number of requests of a group, and the time between the first and the
#: last of them in seconds, from which on it may be listed.
_MIN_REQUESTS: Final = 4
_MIN_SPAN_S: Final = 8.0
#: Decimals of an expected number of groups.
_DECIMALS: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """One request: its groups by dimension, when it came, and its result.

    ``groups`` maps a dimension, such as ``subject``, to the group's name.
    ``result`` is a result of the command ``losses``.
    """

    route: str
    groups: Mapping[str, str]
    at: float
    served: bool
    result: str


#: A dimension, a group's route and its name.
_Key = tuple[str, str, str]


def list_unserved(requests: Iterable[Ended]) -> Iterator[tuple[str, ...]]:
    """Yield a row for each group of which no request was served.

    A row has the dimension, the route, the group's name, its requests, the
    time between the first and the last, and how most of them ended.
    """
    for key, members in _find_steady(requests).items():
        if not _is_unserved(members):
            continue
        results = collections.Counter(one.result for one in members)
        yield (
            *key,
            str(len(members)),
            f'{_find_span_s(members):.1f}',
            results.most_common(1)[0][0],
        )


def count_groups(requests: Sequence[Ended]) -> Iterator[tuple[str, ...]]:
    """Yield a row for each dimension and route with groups asked for steadily.

    A row has the dimension, the route, the number of groups, that of unserved
    ones, and how many would be unserved by chance.
    """
    unserved_shares = _find_unserved_shares(requests)
    kinds = collections.defaultdict(list)
    for (dimension, route, _), members in _find_steady(requests).items():
        kinds[dimension, route].append(members)
    for kind, groups in sorted(kinds.items()):
        share = unserved_shares[kind[1]]
        expected = sum(share ** len(group) for group in groups)
        yield (
            *kind,
            str(len(groups)),
            str(sum(map(_is_unserved, groups))),
            str(round(expected, _DECIMALS)),
        )


def _find_steady(requests: Iterable[Ended]) -> Mapping[_Key, Sequence[Ended]]:
    """Return the groups with enough requests over enough time."""
    groups: dict[_Key, list[Ended]] = collections.defaultdict(list)
    for request in requests:
        for dimension, name in request.groups.items():
            groups[dimension, request.route, name].append(request)
    return {
        key: members
        for key, members in groups.items()
        if len(members) >= _MIN_REQUESTS and _find_span_s(members) > _MIN_SPAN_S
    }


def _find_unserved_shares(requests: Iterable[Ended]) -> Mapping[str, float]:
    """Return the share of unserved requests by route."""
    totals: collections.Counter[str] = collections.Counter()
    unserved: collections.Counter[str] = collections.Counter()
    for request in requests:
        totals[request.route] += 1
        unserved[request.route] += not request.served
    return {route: unserved[route] / totals[route] for route in totals}


def _is_unserved(members: Iterable[Ended]) -> bool:
    return not any(one.served for one in members)


def _find_span_s(members: Sequence[Ended]) -> float:
    times = [one.at for one in members]
    return max(times) - min(times)
