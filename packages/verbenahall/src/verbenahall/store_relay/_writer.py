"""Writes records to the store through peers, for a refused instance."""

import asyncio
from typing import Final, final

from verbenahall import journal, metrics
from verbenahall.platform import ANSWER_S, CALL_FAILURES, OPERATOR_TOPIC
from verbenahall.store_relay._fetches import RelayDependencies
from verbenahall.store_relay._decisions import list_candidates
from verbenahall.store_relay._messages import RELAY_PATH

#: Time for the hop beyond the peer's own call to the store, in seconds.
_HOP_S: Final = 0.2
#: Peers that are tried for one record.
_MAX_PEERS: Final = 3


@final
class RelayWriter:
    """Has peers append records that this instance can't append itself.

    A record whose answer is lost may have been appended, as with a call to the
    store itself. So this is for records that may be written twice.
    """

    __slots__ = ('_dependencies',)

    def __init__(self, dependencies: RelayDependencies) -> None:
        """Send nothing yet."""
        self._dependencies = dependencies

    async def append(self, topic: str, record: bytes) -> bool:
        """Append a record through a peer; return whether one has done so."""
        dependencies = self._dependencies
        candidates = list_candidates(
            dependencies.peer_table,
            OPERATOR_TOPIC,
            {},
            dependencies.now(),
            dependencies.rng,
        )
        for peer in candidates[:_MAX_PEERS]:
            appended = await self._send(peer, topic, record)
            outcome = 'appended' if appended else 'not_appended'
            metrics.RELAY_REQUESTS.add(topic, outcome)
            if appended:
                journal.write_decision('record_relayed', topic=topic, peer=peer)
                return True
        return False

    async def _send(self, peer: str, topic: str, record: bytes) -> bool:
        found = self._dependencies.peer_table.peers[peer]
        try:
            async with (
                asyncio.timeout(ANSWER_S + _HOP_S),
                self._dependencies.session.post(
                    f'http://{found.address}{RELAY_PATH}',
                    params={'topic': topic},
                    data=record,
                    allow_redirects=False,
                ) as response,
            ):
                return response.ok
        except CALL_FAILURES:
            return False
