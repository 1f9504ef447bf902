"""Replicates the crash log between instances by datagrams."""

import asyncio
from collections.abc import Iterable
from typing import Final, final

from verbenahall import journal, metrics, quarantine
from verbenahall.gateway._core import Core
from verbenahall.gateway._crash_history import CrashHistory
from verbenahall.peers import (
    NoticeChannel,
    Peer,
    PeerExchange,
)

#: Delays after which a report is sent again, in seconds, because datagrams get
#: lost.
_RESEND_DELAYS_S: Final = (0.2, 1.0)
#: Interval at which suspects with several crashes are sent to peers again, in
#: seconds.
_GOSSIP_INTERVAL_S: Final = 1.0
#: Number of randomly chosen peers that receive the suspects in each interval.
_GOSSIP_FANOUT: Final = 2


@final
class CrashLogReplicator:
    """Keeps the crash logs of all instances consistent."""

    __slots__ = ('_channel', '_core', '_held', 'history')

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Install the handler of crash reports in the peers' exchange."""
        self._core = core
        self._channel = NoticeChannel(exchange, quarantine.decode, self._merge)
        self._held: set[str] = set()
        self.history = CrashHistory(core, self._merge)

    async def run(self) -> None:
        """Repeat reports that may have been lost, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.history.run())
            group.create_task(self._repeat())

    def report(self, crash: quarantine.Crash) -> None:
        """Record a crash that this instance detected; send it to the peers."""
        report = quarantine.CrashReport((crash,))
        self._merge(report, 'own')
        log = self._core.crash_log
        if any(quarantine.is_repeated(log, one) for one in crash.fingerprints):
            self.history.share()
        self._core.spawn(self._broadcast_repeatedly(report))

    def record_answered(self, fingerprint: str) -> None:
        """Record that a request received a complete response."""
        log = self._core.crash_log
        if quarantine.record_answered(log, fingerprint, self._core.now()):
            journal.write_decision('suspect_cleared', fingerprint=fingerprint)
            self._broadcast(quarantine.CrashReport(answered={fingerprint: 0}))

    def record_alive(self, incarnation: str, at: float) -> None:
        """Refute a reported crash of an endpoint that has answered since."""
        core = self._core
        if quarantine.record_alive(core.crash_log, incarnation, at):
            journal.write_decision('crash_refuted', endpoint=incarnation)
            report = quarantine.CrashReport(
                alive={incarnation: core.now() - at}
            )
            core.spawn(self._broadcast_repeatedly(report))

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL_S)
            now = self._core.now()
            quarantine.remove_expired(self._core.crash_log, now)
            self._gossip_repeated(now)
            # A part that was answered lately is held a while after a report.
            held = quarantine.list_held(self._core.crash_log, now)
            self._log_held(held, 'reported', now)
            self._held = held

    async def _broadcast_repeatedly(
        self, report: quarantine.CrashReport
    ) -> None:
        self._broadcast(report)
        for pause_s in _RESEND_DELAYS_S:
            await asyncio.sleep(pause_s)
            report = quarantine.add_age(report, pause_s)
            self._broadcast(report)

    def _merge(self, report: quarantine.CrashReport, source: str) -> None:
        log = self._core.crash_log
        now = self._core.now()
        changed = quarantine.merge(log, report, now)
        if changed or report.answered or report.alive:
            self.history.notify()
        self._log_held(
            {key for key in changed if quarantine.is_held(log, key, now)},
            source,
            now,
        )

    def _log_held(self, held: set[str], source: str, now: float) -> None:
        """Log which of some suspects are in quarantine from now on."""
        for key in held - self._held:
            _log_quarantined(self._core.crash_log, key, source, now)
        self._held |= held

    def _broadcast(self, report: quarantine.CrashReport) -> None:
        self._send(report, self._core.peer_table.peers.values())

    def _gossip_repeated(self, now: float) -> None:
        """Send suspects with several crashes to a random sample of peers."""
        repeated = quarantine.list_repeated(self._core.crash_log, now)
        if repeated.crashes:
            peers = list(self._core.peer_table.peers.values())
            sample_size = min(len(peers), _GOSSIP_FANOUT)
            self._send(repeated, self._core.random.sample(peers, sample_size))

    def _send(
        self, report: quarantine.CrashReport, peers: Iterable[Peer]
    ) -> None:
        recipients = tuple(peers)
        for part in quarantine.split(report):
            self._channel.send(quarantine.encode(part), recipients)


def _log_quarantined(
    log: quarantine.CrashLog, fingerprint: str, source: str, now: float
) -> None:
    """Log and count a request that is put in quarantine."""
    left_s = quarantine.find_quarantine_s(log, fingerprint, now)
    suspect = log.suspects[fingerprint]
    metrics.QUARANTINED.add()
    journal.write_decision(
        'quarantined',
        fingerprint=fingerprint,
        crashes=suspect.crash_count,
        allowed=quarantine.find_limit(log, fingerprint, now),
        endpoints=sorted(suspect.crashes),
        source=source,
        for_s=journal.round_to_ms(left_s),
    )
