"""Decides which requests and parts are in quarantine, and for how long."""

import math
from collections.abc import Iterable, Sequence
from typing import Final

from verbenahall.quarantine._fingerprint import is_part
from verbenahall.quarantine._messages import Crash, CrashReport
from verbenahall.quarantine._state import CrashLog, Suspect

#: Number of crashes that puts a request in quarantine. An innocent request that
#: was running at the same time is involved in one crash, seldom in two.
_MAX_CRASHES: Final = 3
#: The same for a part of prompts. Parts are shared by many requests, which are
#: open at one crash after the other while a deadly part crashes engines.
_MAX_PART_CRASHES: Final = 5
#: The same for a part of a prompt that was answered lately, and for how long
#: that counts, in seconds. It may have become deadly since, but it is open at
#: each crash of all engines, too: crashes at one moment count as one, and what
#: has not been answered lately explains them first, which takes a while to be
#: reported. Times in seconds.
_MAX_TRUSTED_CRASHES: Final = 8
TRUSTED_S: Final = 300.0
_MOMENT_S: Final = 0.5
_REPORTED_S: Final = 0.5
#: Number of crashes from which on a suspect is reported repeatedly.
_REPEATED_CRASHES: Final = 2
#: Most suspects in a repeated report.
_MAX_REPORTED: Final = 100
#: Requests with unknown parts that an instance may have open at once.
_MAX_UNKNOWN: Final = 2
#: Duration of the quarantine after the last crash, in seconds. After it, one
#: more crash starts the quarantine again.
_QUARANTINE_S: Final = 600.0
#: How long a suspect is kept after its last crash, in seconds.
_RETENTION_S: Final = 3600.0


def record_crash(
    log: CrashLog,
    incarnation: str,
    fingerprint: str,
    at: float,
) -> bool:
    """Record that a request ran at a crashed endpoint.

    False if that is known, or if the endpoint is known to have run since.
    """
    if at <= log.alive_at.get(incarnation, -math.inf):
        return False
    suspect = log.suspects.get(fingerprint)
    if suspect is not None and incarnation in suspect.crashes:
        return False
    log.record_crash_time(incarnation, at)
    return log.touch(fingerprint).add(incarnation, at)


def record_answered(log: CrashLog, fingerprint: str, at: float) -> bool:
    """Record a complete response; True if it clears a suspect of its crashes.

    A request that a caller sends all the time is running whenever an endpoint
    crashes, without being the cause.
    """
    if is_part(fingerprint):
        log.keep_answered(fingerprint, at)
    suspect = log.suspects.get(fingerprint)
    if suspect is None or at <= suspect.answered_at:
        return False
    cleared = suspect.answered_at < suspect.last_at < at
    suspect.answered_at = at
    if cleared:
        log.forget_attributed(fingerprint)
    return cleared


def record_alive(log: CrashLog, incarnation: str, at: float) -> bool:
    """Record that an incarnation ran at a time; True if that refutes a crash.

    An instance that is cut off from an endpoint may take refused connections
    for a crash, while the endpoint answers others. Without the refutation, the
    requests that were open there would stay in quarantine.
    """
    crashed_at = log.crashed_at.get(incarnation)
    if crashed_at is None or at <= crashed_at:
        return False
    log.crashed_at.pop(incarnation)
    log.attributed.pop(incarnation, None)
    log.alive_at[incarnation] = at
    for suspect in log.suspects.values():
        suspect.crashes.pop(incarnation, None)
    return True


def find_quarantine_s(log: CrashLog, fingerprint: str, now: float) -> float:
    """Return the rest of a suspect's quarantine in seconds, or 0."""
    suspect = log.suspects.get(fingerprint)
    if suspect is None or not _is_over_limit(log, fingerprint, now):
        return 0
    return max(0, suspect.last_at + _QUARANTINE_S - now)


def find_longest_quarantine_s(
    log: CrashLog, keys: Iterable[str], now: float
) -> float:
    """Return the longest rest of a quarantine of several keys, or 0."""
    return max((find_quarantine_s(log, key, now) for key in keys), default=0)


def count_crashes(log: CrashLog, keys: Iterable[str]) -> int:
    """Return the most crashes that count against one of several keys."""
    if not log.suspects:
        return 0
    return max((len(log.list_unattributed(key)) for key in keys), default=0)


def is_held(log: CrashLog, key: str, now: float) -> bool:
    """Whether a request or part is in quarantine."""
    return find_quarantine_s(log, key, now) > 0


def list_held(log: CrashLog, now: float) -> set[str]:
    """Return the requests and parts that are in quarantine."""
    return {
        key
        for key in log.suspects
        if is_repeated(log, key) and is_held(log, key, now)
    }


def _is_over_limit(log: CrashLog, key: str, now: float) -> bool:
    crashed = log.list_unattributed(key)
    if len(crashed) >= find_limit(log, key, now):
        return True
    suspect = log.suspects.get(key)
    if suspect is None or len(crashed) < _MAX_PART_CRASHES:
        return False
    times = [suspect.crashes[one] for one in crashed]
    is_reported = now - max(times) >= _REPORTED_S
    return is_reported and _count_moments(times) >= _MAX_PART_CRASHES


def _count_moments(times: Iterable[float]) -> int:
    """Count crashes, those within half a second of the first one as one."""
    count = 0
    began_at = -math.inf
    for at in sorted(times):
        if at - began_at > _MOMENT_S:
            count += 1
            began_at = at
    return count


def find_limit(log: CrashLog, key: str, now: float) -> int:
    """Return the number of crashes that puts a suspect in quarantine."""
    if not is_part(key):
        return _MAX_CRASHES
    is_trusted = _is_trusted(log, key, now)
    return _MAX_TRUSTED_CRASHES if is_trusted else _MAX_PART_CRASHES


def _is_trusted(log: CrashLog, key: str, now: float) -> bool:
    return now - log.parts_answered.get(key, -math.inf) < TRUSTED_S


def attribute_crashes(log: CrashLog, keys: Iterable[str], now: float) -> None:
    """Attribute crashes to the parts among ``keys`` that are in quarantine.

    The parts with most crashes come first, all of them if several have as many:
    one of them is deadly. Whatever else was open at their crashes may be
    innocent, so these count against nothing else. Parts that were answered
    lately come last.
    """
    parts = [key for key in keys if is_part(key)]
    trusted = {key for key in parts if _is_trusted(log, key, now)}
    _attribute(log, [key for key in parts if key not in trusted], now)
    _attribute(log, trusted, now)


def _attribute(log: CrashLog, parts: Iterable[str], now: float) -> None:
    counts = {key: len(log.list_unattributed(key)) for key in parts}
    for count in sorted(set(counts.values()), reverse=True):
        over_limit = [
            key
            for key, found in counts.items()
            if found == count and _is_over_limit(log, key, now)
        ]
        crashes = {key: log.list_unattributed(key) for key in over_limit}
        for key, incarnations in crashes.items():
            for incarnation in incarnations:
                known = log.attributed.get(incarnation, frozenset())
                log.attributed[incarnation] = known | {key}


def merge(
    log: CrashLog,
    report: CrashReport,
    now: float,
) -> frozenset[str]:
    """Merge an instance's report; return the fingerprints with a new crash."""
    changed = frozenset(
        fingerprint
        for crash in report.crashes
        for fingerprint in crash.fingerprints
        if record_crash(log, crash.incarnation, fingerprint, now - crash.age_s)
    )
    for fingerprint, age_s in report.answered.items():
        record_answered(log, fingerprint, now - age_s)
    for incarnation, age_s in report.alive.items():
        record_alive(log, incarnation, now - age_s)
    attribute_crashes(log, changed, now)
    return changed


def is_unknown(log: CrashLog, keys: Iterable[str]) -> bool:
    """Whether a part may be deadly for all that this instance knows.

    That is the case until it has learnt what was known before its start, for
    parts that were not answered since.
    """
    return not log.is_complete and any(
        is_part(key) and key not in log.parts_answered for key in keys
    )


def may_try_unknown(log: CrashLog) -> bool:
    """Whether one more request with an unknown part may be sent."""
    return len(log.unknown_open) < _MAX_UNKNOWN


def is_repeated(log: CrashLog, fingerprint: str) -> bool:
    """Whether a request was running at several crashes."""
    suspect = log.suspects.get(fingerprint)
    return suspect is not None and suspect.crash_count >= _REPEATED_CRASHES


def list_repeated(log: CrashLog, now: float) -> CrashReport:
    """Return a report of the suspects with several crashes."""
    return _make_report(
        log,
        now,
        [
            fingerprint
            for fingerprint in reversed(log.suspects)
            if is_repeated(log, fingerprint)
        ],
    )


def _sort_by_crashes(log: CrashLog, keys: Iterable[str]) -> list[str]:
    """Order suspects, those with most crashes first.

    While engines crash, many innocent ones run at two or three crashes. They
    must not displace the one that has run at all.
    """
    return sorted(keys, key=lambda key: -log.suspects[key].crash_count)


def _make_report(
    log: CrashLog,
    now: float,
    fingerprints: Sequence[str],
) -> CrashReport:
    return CrashReport(
        tuple(
            Crash(incarnation, max(0, now - at), (fingerprint,))
            for fingerprint in _sort_by_crashes(log, fingerprints)[
                :_MAX_REPORTED
            ]
            for incarnation, at in log.suspects[fingerprint].list_uncleared()
        ),
    )


def remove_expired(log: CrashLog, now: float) -> None:
    """Remove suspects whose last crash is too long ago."""
    expired = [
        fingerprint
        for fingerprint, suspect in log.suspects.items()
        if _is_expired(suspect, now)
    ]
    for fingerprint in expired:
        log.suspects.pop(fingerprint)
    for incarnation in log.attributed.keys() - log.crashed_at.keys():
        log.attributed.pop(incarnation)
    for times in (log.alive_at, log.crashed_at):
        for incarnation, at in tuple(times.items()):
            if now - at > _RETENTION_S:
                times.pop(incarnation)


def _is_expired(suspect: Suspect, now: float) -> bool:
    return now - suspect.last_at > _RETENTION_S
