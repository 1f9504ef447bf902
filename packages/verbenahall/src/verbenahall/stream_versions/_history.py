"""The software versions that each service has had."""

import math
from collections.abc import Iterable, Mapping
from typing import final

from returns.maybe import Maybe, Nothing, Some

from verbenahall.roster import Entry


@final
class VersionHistory:
    """When each version of each service was last known to serve.

    ``since`` is when this instance began to follow a list of endpoints that was
    recent all the time, ``listed_since`` when it began to follow any, both in
    monotonic seconds and infinite before.
    """

    __slots__ = ('listed_since', 'since', '_seen_at')

    def __init__(self) -> None:
        """Start without any version."""
        self.listed_since = math.inf
        self.since = math.inf
        self._seen_at: dict[str, dict[str, float]] = {}

    def record_listed(
        self, entries: Iterable[Entry], now: float, *, is_recent: bool
    ) -> None:
        """Record the listed endpoints, the leaving ones included.

        While the list is not recent, versions come and go without being seen,
        so that the following starts anew.
        """
        self.listed_since = min(self.listed_since, now)
        self.since = min(self.since, now) if is_recent else math.inf
        for entry in entries:
            self.record(entry.service, entry.version, now)

    def record(self, service: str, version: str, at: float) -> None:
        """Record that a version of a service served at a time."""
        seen_at = self._seen_at.setdefault(service, {})
        seen_at[version] = max(at, seen_at.get(version, -math.inf))

    def assume_past(self) -> None:
        """Take the versions that are known for all that there were."""
        self.listed_since = -math.inf
        self.since = -math.inf

    def list_ages(
        self, since: float, now: float
    ) -> dict[str, dict[str, float]]:
        """Return for how long each version has not served, in seconds.

        Versions that have not served since a time are left out.
        """
        ages = {
            service: {
                version: max(0, now - at)
                for version, at in self.list_versions(service, since).items()
            }
            for service in self._seen_at
        }
        return {service: found for service, found in ages.items() if found}

    def forget(self, before: float) -> None:
        """Forget the versions that have not served since a time."""
        for service, seen_at in tuple(self._seen_at.items()):
            for version, at in tuple(seen_at.items()):
                if at < before:
                    seen_at.pop(version)
            if not seen_at:
                self._seen_at.pop(service)

    def list_versions(self, service: str, since: float) -> Mapping[str, float]:
        """Return the versions that served since a time, and when last."""
        return {
            version: at
            for version, at in self._seen_at.get(service, {}).items()
            if at >= since
        }

    def find_sole(self, service: str, since: float) -> Maybe[str]:
        """Return the only version that a service has had since a time.

        Nothing if there were several, or if the list is followed for a shorter
        time.
        """
        if self.since > since:
            return Nothing
        return self._find_only(service, since)

    def find_listed(self, service: str, since: float) -> Maybe[str]:
        """Return the same by a list that may have been old in between."""
        if self.listed_since > since:
            return Nothing
        return self._find_only(service, since)

    def _find_only(self, service: str, since: float) -> Maybe[str]:
        versions = self.list_versions(service, since)
        if len(versions) != 1:
            return Nothing
        return Some(next(iter(versions)))
