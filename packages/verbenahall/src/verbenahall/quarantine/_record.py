"""What of the crash log is kept beyond the life of all instances.

One record holds the suspects of several crashes. It changes when one of these
gets another crash or is acquitted, not with each crash: an innocent request is
seldom involved in a second one.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Final

from verbenahall.quarantine._decisions import TRUSTED_S
from verbenahall.quarantine._messages import Crash, CrashReport
from verbenahall.quarantine._state import CrashLog

#: Number of crashes from which on a suspect is on record.
_REPEATED_CRASHES: Final = 2
#: Most suspects of several crashes that an instance puts on record, and of all
#: suspects that stay there: about 100 bytes each.
_MAX_NEEDED: Final = 100
_MAX_KEPT: Final = 200
#: How long after its last crash a suspect of one crash is on record, in
#: seconds, if parts of the fleet may be partitioned from each other.
_RECENT_S: Final = 10.0

#: Pairs of an incarnation that crashed and the key of a suspect.
CrashPairs = frozenset[tuple[str, str]]
NO_PAIRS: Final[CrashPairs] = frozenset()
_Groups = defaultdict[str, list[str]]


def list_pairs(report: CrashReport) -> CrashPairs:
    """Return the crashes of a report as pairs."""
    return frozenset(
        (crash.incarnation, key)
        for crash in report.crashes
        for key in crash.fingerprints
    )


def list_needed(
    log: CrashLog,
    now: float,
    *,
    with_recent: bool = False,
) -> CrashPairs:
    """Return the crashes that a started instance needs to know.

    All instances with the same log return the same ones. With ``with_recent``
    those of suspects of one crash are included for some seconds, as instances
    in other partitions may have seen the others.
    """
    by_key = {
        key: log.list_unattributed(key)
        for key in _list_candidates(log, now, with_recent=with_recent)
    }
    return _join(_limit(by_key, _MAX_NEEDED), by_key)


def _list_candidates(
    log: CrashLog,
    now: float,
    *,
    with_recent: bool,
) -> Iterator[str]:
    for key, suspect in log.suspects.items():
        is_recent = with_recent and now - suspect.last_at < _RECENT_S
        least = 1 if is_recent else _REPEATED_CRASHES
        # Most suspects have one crash, which is cheaper to see.
        if len(suspect.crashes) < least:
            continue
        if len(log.list_unattributed(key)) >= least:
            yield key


def list_counted(log: CrashLog, pairs: CrashPairs) -> CrashPairs:
    """Return those of some crashes that still count against their suspect."""
    counted: set[tuple[str, str]] = set()
    suspects = {key for _, key in pairs}
    for suspect in suspects:
        crashes = log.list_unattributed(suspect)
        counted.update((crashed, suspect) for crashed in crashes)
    return pairs & counted


def is_outdated(
    log: CrashLog,
    on_record: CrashPairs,
    needed: CrashPairs,
) -> bool:
    """Whether the record lacks a crash, or holds one that no longer counts."""
    return not needed <= on_record or on_record != list_counted(log, on_record)


def make_record(
    log: CrashLog,
    on_record: CrashPairs,
    needed: CrashPairs,
    now: float,
) -> CrashReport:
    """Return the next record: what is needed, and what still counts."""
    by_key = _group_by_key(needed | list_counted(log, on_record))
    needed_keys = {key for _, key in needed}
    others = {
        key: incarnations
        for key, incarnations in by_key.items()
        if key not in needed_keys
    }
    others_kept = _limit(others, _MAX_KEPT - len(needed_keys))
    kept = {*needed_keys, *others_kept}
    return CrashReport(
        tuple(_list_crashes(log, _join(kept, by_key), now)),
        answered=_list_answered(log, kept, now),
    )


def _list_answered(
    log: CrashLog,
    keys: set[str],
    now: float,
) -> dict[str, float]:
    """Return the ages of the last answers by which parts are trusted."""
    ages = {
        one: now - log.parts_answered[one]
        for one in keys & log.parts_answered.keys()
    }
    return {key: age_s for key, age_s in ages.items() if age_s < TRUSTED_S}


def _group_by_key(pairs: CrashPairs) -> dict[str, list[str]]:
    by_key = _Groups(list)
    for incarnation, key in pairs:
        by_key[key].append(incarnation)
    return by_key


def _limit(by_key: dict[str, list[str]], most: int) -> list[str]:
    """Return the keys with most crashes."""
    # The sort is stable: all instances choose the same ones of several.
    ranked = sorted(
        sorted(by_key), key=lambda one: len(by_key[one]), reverse=True
    )
    return ranked[: max(0, most)]


def _join(keys: Iterable[str], by_key: dict[str, list[str]]) -> CrashPairs:
    return frozenset((crashed, key) for key in keys for crashed in by_key[key])


def _list_crashes(
    log: CrashLog,
    pairs: CrashPairs,
    now: float,
) -> Iterator[Crash]:
    """Yield one crash for each incarnation, at the earliest of its times."""
    by_incarnation = _Groups(list)
    for incarnation, key in sorted(pairs):
        by_incarnation[incarnation].append(key)
    for crashed, keys in by_incarnation.items():
        at = min(log.suspects[one].crashes[crashed] for one in keys)
        yield Crash(crashed, max(0, now - at), tuple(keys))
