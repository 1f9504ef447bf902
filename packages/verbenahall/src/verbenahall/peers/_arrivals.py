"""Lower bound on the arrival time of datagrams, for a loop that may stall."""

from collections.abc import Mapping
from typing import Final, final

from verbenahall import journal
from verbenahall.peers._messages import Heartbeat
from verbenahall.peers._state import ConfirmedPosition

#: Delay of a tick, in seconds, from which a stall is logged.
_STALL_S: Final = 0.25


@final
class ArrivalClock:
    """Bounds how long a datagram may have waited in the socket's buffer.

    Datagrams wait in the buffer while the process is stalled. Each iteration
    of the event loop empties the buffer, so a datagram that is read now
    arrived after the tick before the last one.
    """

    __slots__ = ('_interval_s', '_received_after', '_ticked_at')

    def __init__(self, interval_s: float) -> None:
        """Expect one tick per interval."""
        self._interval_s = interval_s
        self._received_after = -float('inf')
        self._ticked_at = -float('inf')

    def record_tick(self, now: float) -> None:
        """Record a tick, and log a stall if it is late."""
        late_s = now - self._ticked_at - self._interval_s
        if _STALL_S < late_s < float('inf'):
            late_s = journal.round_to_ms(late_s)
            journal.write_decision('stalled', late_s=late_s)
        self._received_after = self._ticked_at
        self._ticked_at = now

    def find_confirmations(
        self,
        heartbeat: Heartbeat,
    ) -> Mapping[str, ConfirmedPosition]:
        """Return when the store confirmed the offsets in a heartbeat.

        The times are by the local monotonic clock, and never too late.
        """
        return {
            topic: ConfirmedPosition(
                heartbeat.followed_positions[topic],
                self._received_after - age_s,
            )
            for topic, age_s in heartbeat.ages.items()
            if topic in heartbeat.followed_positions
        }
