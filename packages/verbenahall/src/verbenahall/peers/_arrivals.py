"""When a datagram arrived at the latest, seen from a loop that may stall."""

from collections.abc import Mapping
from typing import Final, final

from verbenahall import journal
from verbenahall.peers._messages import Heartbeat
from verbenahall.peers._state import ConfirmedOffset

#: A tick that comes later than this is told in the log, in seconds.
_STALL_S: Final = 0.25


@final
class ArrivalClock:
    """Bounds the time for which a datagram may have waited unread.

    Datagrams wait in the socket's buffer while the process stands still. Each
    turn of the loop empties the buffer, so one that is read now came after
    the tick before the last one.
    """

    __slots__ = ('_every_s', '_received_after', '_ticked_at')

    def __init__(self, every_s: float) -> None:
        """Expect a tick every so many seconds."""
        self._every_s = every_s
        self._received_after = -float('inf')
        self._ticked_at = -float('inf')

    def record_tick(self, now: float) -> None:
        """Note a tick, and write a line if it comes late."""
        late_s = now - self._ticked_at - self._every_s
        if _STALL_S < late_s < float('inf'):
            late_s = journal.round_seconds(late_s)
            journal.write_decision('stalled', late_s=late_s)
        self._received_after = self._ticked_at
        self._ticked_at = now

    def find_confirmations(
        self, word: Heartbeat
    ) -> Mapping[str, ConfirmedOffset]:
        """Return when the store confirmed what a peer has read."""
        return {
            topic: ConfirmedOffset(
                word.followed[topic],
                self._received_after - age_s,
            )
            for topic, age_s in word.ages.items()
            if topic in word.followed
        }
