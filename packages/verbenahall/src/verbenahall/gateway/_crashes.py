"""Detects crashes of endpoints and the requests that were running there."""

import asyncio
import dataclasses
from collections.abc import Collection
from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.gateway._crash_reports import CrashLogReplicator
from verbenahall.gateway._probes import ConnectOutcome, try_connect
from verbenahall.gateway._reach import reaches_any
from verbenahall.quarantine import Crash, is_part
from verbenahall.roster import Entry, format_incarnation

#: Time within which all connections to a crashed endpoint have ended, in
#: seconds.
_SETTLE_S: Final = 0.02
#: Interval at which expired records are removed, in seconds.
_CLEANUP_INTERVAL_S: Final = 5.0
#: How long a crashed incarnation is kept for connections that end later, in
#: seconds.
_RETENTION_S: Final = 30.0


@dataclasses.dataclass(slots=True)
class _LostConnections:
    """Requests whose connection to an endpoint's incarnation was lost.

    ``lost_at`` is the time of the first loss, ``fingerprints`` holds their keys
    and those of the parts of their prompts, and ``reported`` those that were
    reported already.
    """

    lost_at: float
    fingerprints: set[str]
    requests: int = 0
    crashed: bool = False
    reported: frozenset[str] = frozenset()


@final
class CrashDetector:
    """Distinguishes crashes of endpoints from other lost connections.

    A connection may also be lost because of the network, or because an
    endpoint that leaves closes its open connections. An endpoint has crashed
    if it is listed as serving and refuses a new connection, and another
    endpoint accepts one: where the path from this instance to all endpoints is
    lost, refused connections say nothing about the endpoints.
    """

    __slots__ = ('_core', '_losses', '_replicator')

    def __init__(self, core: Core, replicator: CrashLogReplicator) -> None:
        """Install the detector as the core's observer."""
        self._core = core
        self._losses: dict[str, _LostConnections] = {}
        self._replicator = replicator
        core.observer = self

    async def run(self) -> None:
        """Remove expired records until cancelled."""
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL_S)
            self._remove_expired(self._core.now())

    def record_lost_connection(
        self, fingerprint: str, endpoint: Entry, parts: Collection[str] = ()
    ) -> None:
        """Record a connection that was lost while a request was open."""
        core = self._core
        if not core.roster.is_live(endpoint.name, core.now()):
            return
        incarnation = format_incarnation(endpoint)
        losses = self._losses.get(incarnation)
        if losses is None:
            losses = _LostConnections(core.now(), set())
            self._losses[incarnation] = losses
            core.spawn(self._check_endpoint(incarnation, endpoint, losses))
        losses.fingerprints.update((fingerprint, *parts))
        losses.requests += 1
        if losses.crashed:
            self._report_new(incarnation, losses)

    def record_alive(self, endpoint: Entry, sent_at: float) -> None:
        """Record a response of an endpoint to a request sent at ``sent_at``."""
        self._replicator.record_alive(format_incarnation(endpoint), sent_at)

    def record_answered(
        self, fingerprint: str, parts: Collection[str] = ()
    ) -> None:
        """Record that a request received a complete response."""
        for key in (fingerprint, *parts):
            self._replicator.record_answered(key)

    async def _check_endpoint(
        self, incarnation: str, endpoint: Entry, losses: _LostConnections
    ) -> None:
        """Connect to an endpoint; report a crash if it refuses."""
        outcome = await try_connect(self._core, endpoint.address)
        refuses = outcome is ConnectOutcome.REFUSES
        has_path = not refuses or await self._reaches_others(endpoint)
        losses.crashed = refuses and has_path
        if losses.crashed:
            self._core.endpoints.record_unreachable(
                endpoint, ConnectionRefusedError()
            )
            await asyncio.sleep(_SETTLE_S)
            self._report_new(incarnation, losses)
        else:
            self._losses.pop(incarnation, None)
        journal.write_decision(
            'crash' if losses.crashed else 'no_crash',
            endpoint=incarnation,
            contact=outcome.value,
            path='good' if has_path else 'lost',
            requests=losses.requests,
            parts=sum(map(is_part, losses.fingerprints)),
        )

    async def _reaches_others(self, endpoint: Entry) -> bool:
        """Whether another endpoint is reached; True if there is none."""
        roster = self._core.roster
        now = self._core.now()
        others = [
            listing.entry
            for name, listing in roster.listings.items()
            if name != endpoint.name and roster.is_live(name, now)
        ]
        return not others or await reaches_any(self._core, others)

    def _report_new(self, incarnation: str, losses: _LostConnections) -> None:
        """Report the requests that have not been reported yet."""
        unreported = losses.fingerprints - losses.reported
        losses.reported = frozenset(losses.fingerprints)
        age_s = self._core.now() - losses.lost_at
        self._replicator.report(
            Crash(incarnation, age_s, tuple(sorted(unreported)))
        )

    def _remove_expired(self, now: float) -> None:
        expired = [
            incarnation
            for incarnation, losses in self._losses.items()
            if now - losses.lost_at > _RETENTION_S
        ]
        for incarnation in expired:
            self._losses.pop(incarnation)
