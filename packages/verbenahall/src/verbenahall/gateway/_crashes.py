"""Finds out whether an endpoint crashed, and which requests ran there."""

import asyncio
import dataclasses
from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.gateway._crash_reports import CrashReports
from verbenahall.gateway._hooks import name_start
from verbenahall.gateway._probes import Contact, contact
from verbenahall.quarantine import Crash
from verbenahall.roster import Entry

#: How long the connections of a crashed endpoint take to end, in seconds.
_COLLECT_S: Final = 0.02
#: How often losses that are over are looked for, in seconds.
_EVERY_S: Final = 5.0
#: How long a crashed start is remembered for connections that end later, in
#: seconds.
_LATE_S: Final = 30.0


@dataclasses.dataclass(slots=True)
class _Losses:
    """The requests whose connection to one start of an endpoint was lost."""

    at: float
    fingerprints: set[str]
    crashed: bool = False
    told: frozenset[str] = frozenset()


@final
class CrashWatch:
    """Tells crashes from connections that were lost.

    A lost connection may be the network's doing, and an endpoint that leaves
    ends what is still open. An endpoint has crashed if it was listed and takes
    no new connection.
    """

    __slots__ = ('_core', '_losses', '_reports')

    def __init__(self, core: Core, reports: CrashReports) -> None:
        """Look at the core's sends."""
        self._core = core
        self._losses: dict[str, _Losses] = {}
        self._reports = reports
        core.observer = self

    async def run(self) -> None:
        """Forget what is over, until cancelled."""
        while True:
            await asyncio.sleep(_EVERY_S)
            self._forget(self._core.now())

    def note_lost(self, fingerprint: str, endpoint: Entry) -> None:
        """Note a connection that was lost with a request on it."""
        core = self._core
        if not core.roster.may_get_work(endpoint.name, core.now()):
            return
        start = name_start(endpoint)
        losses = self._losses.get(start)
        if losses is None:
            losses = _Losses(core.now(), set())
            self._losses[start] = losses
            core.spawn(self._look(start, endpoint.address, losses))
        losses.fingerprints.add(fingerprint)
        if losses.crashed:
            self._report(start, losses)

    def note_answered(self, fingerprint: str) -> None:
        """Note that a request was answered whole."""
        self._reports.note_answered(fingerprint)

    async def _look(self, start: str, address: str, losses: _Losses) -> None:
        """Find out whether an endpoint has crashed."""
        found = await contact(address)
        losses.crashed = found is Contact.REFUSES
        if losses.crashed:
            await asyncio.sleep(_COLLECT_S)
            self._report(start, losses)
        else:
            self._losses.pop(start, None)
        journal.write_decision(
            'crash' if losses.crashed else 'no_crash',
            endpoint=start,
            contact=found.value,
            requests=len(losses.fingerprints),
        )

    def _report(self, start: str, losses: _Losses) -> None:
        """Report the requests that were not reported yet."""
        fresh = losses.fingerprints - losses.told
        losses.told = frozenset(losses.fingerprints)
        age_s = self._core.now() - losses.at
        self._reports.report(Crash(start, age_s, tuple(sorted(fresh))))

    def _forget(self, now: float) -> None:
        old = [
            start
            for start, losses in self._losses.items()
            if now - losses.at > _LATE_S
        ]
        for start in old:
            self._losses.pop(start)
