"""Decides which requests crash endpoints, and for how long none is sent."""

from collections.abc import Sequence
from typing import Final

from verbenahall.quarantine._messages import Crash, CrashReport
from verbenahall.quarantine._state import CrashLog, Suspect

#: Endpoints that may crash under a request before it is sent no more. Requests
#: beside it run at one of them, seldom at two.
_MOST_CRASHES: Final = 3
#: Crashes from which on others are told again and again.
_TOLD_CRASHES: Final = 2
#: Suspects that are told again, the latest ones first.
_MOST_TOLD: Final = 100
#: For how long suspects of a single crash are told to those who may not have
#: heard of it, in seconds.
_RECENT_S: Final = 10.0
#: For how long a request is not sent after the last crash, in seconds. After
#: that one more crash is enough.
_QUARANTINE_S: Final = 600.0
#: After this time without a crash nothing is kept of a request, in seconds.
_KEPT_S: Final = 3600.0


def note_crash(
    log: CrashLog,
    start: str,
    fingerprint: str,
    at: float,
) -> bool:
    """Note that a request ran at an endpoint that crashed; False if known."""
    known = log.suspects.get(fingerprint)
    if known is not None and start in known.crashes:
        return False
    return log.open(fingerprint).add(start, at)


def note_answered(log: CrashLog, fingerprint: str, at: float) -> bool:
    """Note a whole answer; False when it clears nobody.

    A request that a caller sends all the time runs at every endpoint that
    crashes, and crashes none.
    """
    suspect = log.suspects.get(fingerprint)
    if suspect is None or at <= suspect.answered_at:
        return False
    cleared = suspect.answered_at < suspect.last_at < at
    suspect.answered_at = at
    return cleared


def find_quarantine_s(log: CrashLog, fingerprint: str, now: float) -> float:
    """Return for how many seconds a request may not be sent, 0 for none."""
    suspect = log.suspects.get(fingerprint)
    if suspect is None or suspect.count < _MOST_CRASHES:
        return 0
    return max(0, suspect.last_at + _QUARANTINE_S - now)


def merge(
    log: CrashLog,
    report: CrashReport,
    now: float,
) -> frozenset[str]:
    """Take what another instance has seen; return whom it is news of."""
    news = frozenset(
        fingerprint
        for crash in report.crashes
        for fingerprint in crash.fingerprints
        if note_crash(log, crash.start, fingerprint, now - crash.age_s)
    )
    for fingerprint, age_s in report.answered.items():
        note_answered(log, fingerprint, now - age_s)
    return news


def is_repeated(log: CrashLog, fingerprint: str) -> bool:
    """Whether several endpoints have crashed under a request."""
    suspect = log.suspects.get(fingerprint)
    return suspect is not None and suspect.count >= _TOLD_CRASHES


def list_repeated(log: CrashLog, now: float) -> CrashReport:
    """Return the suspects of several crashes."""
    return _describe(
        log,
        now,
        [one for one in reversed(log.suspects) if is_repeated(log, one)],
    )


def list_recent(log: CrashLog, now: float) -> CrashReport:
    """Return the suspects of several crashes, and those of the last ones."""
    recent = [
        fingerprint
        for fingerprint, suspect in reversed(log.suspects.items())
        if now - suspect.last_at < _RECENT_S
    ]
    recent.sort(key=lambda one: is_repeated(log, one), reverse=True)
    return _describe(log, now, recent)


def _describe(
    log: CrashLog,
    now: float,
    fingerprints: Sequence[str],
) -> CrashReport:
    return CrashReport(
        tuple(
            Crash(start, max(0, now - at), (fingerprint,))
            for fingerprint in fingerprints[:_MOST_TOLD]
            for start, at in log.suspects[fingerprint].list_counted()
        ),
    )


def forget_old(log: CrashLog, now: float) -> None:
    """Forget the requests under which nothing has crashed for long."""
    old = [
        fingerprint
        for fingerprint, suspect in log.suspects.items()
        if _is_old(suspect, now)
    ]
    for fingerprint in old:
        log.suspects.pop(fingerprint)


def _is_old(suspect: Suspect, now: float) -> bool:
    return now - suspect.last_at > _KEPT_S
