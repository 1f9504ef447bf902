"""What instances tell each other of crashes, directly or by the store."""

import asyncio
import dataclasses
from collections.abc import Iterable
from typing import Final, final

from returns.maybe import Some

from verbenahall import journal, metrics, quarantine
from verbenahall.gateway._core import Core
from verbenahall.gateway._stored_crashes import StoredCrashes
from verbenahall.peers import (
    Peer,
    PeerBook,
    PeerExchange,
    find_missing,
    is_sampled,
)

#: A report is sent again after these times, in seconds: datagrams get lost.
_AGAIN_S: Final = (0.2, 1.0)
#: How often suspects of several crashes are told again, in seconds.
_EVERY_S: Final = 1.0
#: Peers that are told again, picked anew each time.
_TOLD_AGAIN: Final = 2
#: For how long an instance of a large fleet asks the store after a crash under
#: a suspect, in seconds.
_ASKS_S: Final = 10.0


@final
class CrashReports:
    """Keeps the log of crashes the same at all instances."""

    __slots__ = ('_asks_until', '_core', '_exchange', '_hear_other', '_stored')

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Speak through the exchange between peers."""
        self._core = core
        self._exchange = exchange
        self._hear_other = exchange.hear_other
        self._stored = StoredCrashes(core)
        self._asks_until = -float('inf')
        exchange.hear_other = self.hear

    async def run(self) -> None:
        """Tell again what may have got lost, until cancelled."""
        while True:
            await asyncio.sleep(_EVERY_S)
            now = self._core.now()
            quarantine.forget_old(self._core.crash_log, now)
            self._tell_again(now)
            if _may_be_cut_off(self._core.book, self._asks_until, now):
                await self._share_through_store(now)

    def report(self, crash: quarantine.Crash) -> None:
        """Note what ran here at a crashed endpoint, and tell the peers."""
        report = quarantine.CrashReport((crash,))
        self._merge(report, 'own')
        log = self._core.crash_log
        if any(quarantine.is_repeated(log, one) for one in crash.fingerprints):
            self._asks_until = self._core.now() + _ASKS_S
        self._core.spawn(self._repeat(report))

    def note_answered(self, fingerprint: str) -> None:
        """Note that a request was answered whole."""
        log = self._core.crash_log
        if quarantine.note_answered(log, fingerprint, self._core.now()):
            journal.write_decision('suspect_cleared', fingerprint=fingerprint)
            self._tell(quarantine.CrashReport(answered={fingerprint: 0}))

    def hear(self, datagram: bytes, sender: str) -> bool:
        """Take a peer's report; other datagrams are passed on."""
        found = quarantine.decode(datagram)
        if isinstance(found, Some):
            self._merge(found.unwrap(), sender)
            return True
        return self._hear_other(datagram, sender)

    async def _repeat(self, report: quarantine.CrashReport) -> None:
        self._tell(report)
        for pause_s in _AGAIN_S:
            await asyncio.sleep(pause_s)
            report = _age(report, pause_s)
            self._tell(report)

    def _merge(self, report: quarantine.CrashReport, source: str) -> None:
        log = self._core.crash_log
        now = self._core.now()
        for fingerprint in quarantine.merge(log, report, now):
            left_s = quarantine.find_quarantine_s(log, fingerprint, now)
            if left_s:
                self._tell_quarantined(fingerprint, source, left_s)

    def _tell_quarantined(
        self,
        fingerprint: str,
        source: str,
        left_s: float,
    ) -> None:
        """Write a line for a request that is sent no more."""
        suspect = self._core.crash_log.suspects[fingerprint]
        metrics.QUARANTINED.add()
        journal.write_decision(
            'quarantined',
            fingerprint=fingerprint,
            crashes=suspect.count,
            endpoints=sorted(suspect.crashes),
            source=source,
            for_s=journal.round_seconds(left_s),
        )

    def _tell(self, report: quarantine.CrashReport) -> None:
        self._send(report, self._core.book.peers.values())

    def _tell_again(self, now: float) -> None:
        """Tell some of the peers of suspects, others each time."""
        repeated = quarantine.list_repeated(self._core.crash_log, now)
        if repeated.crashes:
            peers = list(self._core.book.peers.values())
            most = min(len(peers), _TOLD_AGAIN)
            self._send(repeated, self._core.random.sample(peers, most))

    async def _share_through_store(self, now: float) -> None:
        """Reach peers that may not hear this instance."""
        recent = quarantine.list_recent(self._core.crash_log, now)
        if recent.crashes:
            await self._stored.write(recent)
            for report, author in await self._stored.read():
                self._merge(report, author)

    def _send(
        self, report: quarantine.CrashReport, peers: Iterable[Peer]
    ) -> None:
        datagrams = [
            quarantine.encode(part) for part in quarantine.split(report)
        ]
        for peer in peers:
            for datagram in datagrams:
                self._exchange.send(datagram, peer.address)


def _may_be_cut_off(book: PeerBook, asks_until: float, now: float) -> bool:
    """Whether peers may not hear of a request that crashes endpoints.

    In a large fleet the other data centres are not heard anyway. There the
    instances whose endpoints crash ask the store for a while.
    """
    if is_sampled(book):
        return now < asks_until
    return find_missing(book, now)


def _age(report: quarantine.CrashReport, by_s: float) -> quarantine.CrashReport:
    """Return a report that is sent later."""
    return quarantine.CrashReport(
        tuple(
            dataclasses.replace(crash, age_s=crash.age_s + by_s)
            for crash in report.crashes
        ),
    )
