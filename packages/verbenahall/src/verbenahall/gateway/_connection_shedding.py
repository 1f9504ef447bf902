"""Refuses new connections while most of them come to this instance."""

import asyncio
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.admission import SheddingState
from verbenahall.gateway._core import Core
from verbenahall.peers import list_live_peers

#: Interval at which the delay of the event loop is measured, in seconds.
_TICK_S: Final = 0.1
#: Peers without a heartbeat for this long could not serve the callers either,
#: in seconds.
_PEER_TIMEOUT_S: Final = 1.0
#: Delay of the event loop that is logged, in seconds.
_LATE_S: Final = 0.15


@final
class ConnectionShedder:
    """Decides for each new connection of callers whether it is accepted."""

    __slots__ = ('state', '_core', '_refused', '_tick_at')

    def __init__(self, core: Core) -> None:
        """Accept connections until ``run`` finds an overload."""
        self.state = SheddingState(core.now())
        self._core = core
        self._refused = 0
        self._tick_at = core.now()

    async def run(self) -> None:
        """Measure the delay of the event loop, until cancelled."""
        while True:
            self._tick_at = self._core.now()
            await asyncio.sleep(_TICK_S)
            late_s = self._find_late_s()
            if late_s > _LATE_S:
                journal.write_decision(
                    'event_loop_late', late_s=journal.round_to_ms(late_s)
                )
            self._update(late_s)

    def accepts(self) -> bool:
        """Count a new connection; return whether it is accepted."""
        self.state.count_connection()
        late_s = self._find_late_s()
        if self.state.is_overdue(late_s):
            # The process stood still, and so did the callers that now wait.
            self._update(late_s)
        if self.state.is_refusing:
            self._refused += 1
            metrics.CONNECTIONS_REFUSED.add()
        return not self.state.is_refusing

    def get_rate(self) -> float:
        """Return the rate of new connections, for heartbeats."""
        return round(self.state.rate, 1)

    def _find_late_s(self) -> float:
        return self._core.now() - self._tick_at - _TICK_S

    def _update(self, late_s: float) -> None:
        now = self._core.now()
        peer_rates = self._list_peer_rates(now)
        if self.state.update(late_s, peer_rates, now):
            journal.write_decision(
                'refusing_connections'
                if self.state.is_refusing
                else 'accepting_connections',
                late_s=journal.round_to_ms(late_s),
                rate=round(self.state.rate, 1),
                peer_rates=[round(rate, 1) for rate in peer_rates],
                refused=self._refused,
            )
            self._refused = 0

    def _list_peer_rates(self, now: float) -> list[float]:
        peer_table = self._core.peer_table
        live = list_live_peers(peer_table, now, _PEER_TIMEOUT_S)
        rates = (peer_table.peers[name].connection_rate for name in live)
        return [rate for rate in rates if rate is not None]
