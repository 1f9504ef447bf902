"""Tells the peers of endpoints whose answers say that they leave.

The store may confirm an endpoint's leaving many seconds after its answers say
so, and an instance that sends it few requests gets few answers.
"""

import asyncio
from collections.abc import Iterable
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.gateway._core import Core
from verbenahall.peers import (
    NoticeChannel,
    Peer,
    PeerExchange,
    list_recipients,
)
from verbenahall.roster import (
    Incarnation,
    LeavingNotice,
    apply_notice,
    decode_notice,
    encode_notice,
)

#: Interval at which notices are repeated to some peers, in seconds: datagrams
#: get lost, and peers may be partitioned or start later.
_REPEAT_INTERVAL_S: Final = 1.0
#: Number of randomly chosen peers that get the repeated notices.
_REPEAT_FANOUT: Final = 2
#: How long a notice is repeated, in seconds.
_REPEAT_S: Final = 20.0


@final
class LeavingReplicator:
    """Sends and receives notices of endpoints that leave."""

    __slots__ = ('_channel', '_core', '_noticed_at')

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Install the handlers in the core and in the peers' exchange."""
        self._core = core
        self._channel = NoticeChannel(exchange, decode_notice, self._receive)
        self._noticed_at: dict[Incarnation, float] = {}
        core.endpoints.notices.on_leaving = self.announce

    async def run(self) -> None:
        """Repeat the notices of this instance, until cancelled."""
        while True:
            await asyncio.sleep(_REPEAT_INTERVAL_S)
            self._repeat(self._core.now())

    def announce(self, incarnation: Incarnation) -> None:
        """Tell the peers what an answer to this instance says."""
        self._noticed_at[incarnation] = self._core.now()
        self._send(incarnation, list_recipients(self._core.peer_table))

    def _receive(self, notice: LeavingNotice, sender: str) -> None:
        if apply_notice(self._core.roster, notice):
            metrics.LEAVING_ANNOUNCED.add('peer')
            journal.write_decision(
                'leaving_announced',
                endpoint='{}/{}'.format(*notice.incarnation),
                source=sender,
            )

    def _repeat(self, now: float) -> None:
        peers = list(self._core.peer_table.peers.values())
        fanout = min(len(peers), _REPEAT_FANOUT)
        for incarnation, noticed_at in tuple(self._noticed_at.items()):
            if now - noticed_at > _REPEAT_S:
                self._noticed_at.pop(incarnation)
            else:
                self._send(incarnation, self._core.random.sample(peers, fanout))

    def _send(self, incarnation: Incarnation, peers: Iterable[Peer]) -> None:
        self._channel.send(encode_notice(LeavingNotice(incarnation)), peers)
