"""Forwards store updates from other data centres to the local peers."""

import asyncio
from typing import Final, final

from verbenahall import journal
from verbenahall.gateway._core import Core
from verbenahall.peers import (
    PeerExchange,
    TopicUpdate,
    find_contact_rank,
    forward_update,
    is_local_author,
)
from verbenahall.store_relay import Standby

#: How long a local follower may send the same update, in seconds, and how much
#: longer for each contact that is ranked before this instance.
_DELAY_S: Final = 0.05
_RANK_DELAY_S: Final = 0.1


@final
class UpdateForwarder:
    """Forwards updates that no local instance has sent."""

    __slots__ = ('_core', '_exchange')

    def __init__(self, core: Core, exchange: PeerExchange) -> None:
        """Forward by ``exchange``."""
        self._core = core
        self._exchange = exchange

    def receive(self, update: TopicUpdate, standby: Standby) -> None:
        """Forward an update later if it comes from another data centre."""
        peer_table = self._core.peer_table
        if update.is_forwarded or is_local_author(peer_table, update.author):
            return
        rank = find_contact_rank(peer_table, update.topic)
        if rank is not None and standby.local_end < update.end:
            delay_s = _DELAY_S + _RANK_DELAY_S * rank
            self._core.spawn(self._forward_later(update, standby, delay_s))

    async def _forward_later(
        self, update: TopicUpdate, standby: Standby, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        if standby.local_end >= update.end:
            return
        standby.local_end = update.end
        forward_update(self._exchange, self._core.peer_table, update)
        journal.write_decision(
            'update_forwarded',
            topic=update.topic,
            author=update.author,
            end=update.end,
        )
