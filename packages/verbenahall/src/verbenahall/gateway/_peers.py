"""Discovers the other instances through the store, and runs the exchange."""

import asyncio
from typing import Final, final

from returns.result import Success

from verbenahall import journal, metrics, wire
from verbenahall.gateway._core import Core
from verbenahall.peers import PeerExchange, add_peer
from verbenahall.platform import (
    INSTANCES_TOPIC,
    Appended,
    KeyedRecord,
    encode_keyed,
    is_address,
)
from verbenahall.isolation import isolate_record

#: Pause before a failed call to the store is retried, in seconds. An instance
#: also works without peers, so a long pause does no harm.
_PAUSE_S: Final = 3.0
#: How often an instance checks whether the store has returned from an older
#: copy, and over which time the instances spread their writes then, in seconds.
_CHECK_S: Final = 0.5
_SPREAD_S: Final = 2.0
#: A copy is not older than this, in seconds: an instance that was registered
#: before is in it.
_MAX_COPY_AGE_S: Final = 60.0


@final
class PeerFinder:
    """Writes this instance's address and reads the others', once per start.

    An instance that starts later sends a heartbeat to the existing ones, so
    the topic need not be followed: two calls per start replace endless polls.
    If the store returns without the address of an instance, instances that
    start later would not find it, so it is written again.
    """

    __slots__ = ('_core', '_registered_at', '_registered_in', 'exchange')

    def __init__(self, core: Core) -> None:
        """Create the exchange for the core's open work."""
        self._core = core
        self._registered_at = -float('inf')
        #: The era of the store for which the address was written.
        self._registered_in = 0
        self.exchange = PeerExchange(
            core.peer_table,
            core.placement,
            self._avoid_engine,
        )

    async def run(self) -> None:
        """Register, and exchange heartbeats until cancelled."""
        settings = self._core.settings
        await self.exchange.open(settings.ip, settings.peer_port)
        try:
            await asyncio.gather(
                self.exchange.run(), self._join(), self._stay_registered()
            )
        finally:
            # The supervisor restarts a failed loop, which binds the port again.
            self.exchange.close()

    def _avoid_engine(self, engine: str) -> None:
        self._core.endpoint_health.record_refusal(engine, self._core.now())

    async def _join(self) -> None:
        while not await self._register():
            await asyncio.sleep(_PAUSE_S)
        while not await self._read_others():
            await asyncio.sleep(_PAUSE_S)
        self.exchange.announce()

    async def _stay_registered(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_S)
            if not self._may_be_lost():
                continue
            await asyncio.sleep(_SPREAD_S * self._core.random.random())
            if await self._register():
                metrics.RESTORED_RECORDS.add(INSTANCES_TOPIC)
                journal.write_decision('registered_again')

    def _may_be_lost(self) -> bool:
        """Whether the store may have returned without the address."""
        if self._core.store.era.latest == self._registered_in:
            return False
        age_s = self._core.now() - self._registered_at
        return age_s < _MAX_COPY_AGE_S

    def _add_peer(self, name: str, content: bytes) -> None:
        with isolate_record(INSTANCES_TOPIC, name):
            self._decode_peer(name, content)

    def _decode_peer(self, name: str, content: bytes) -> None:
        match wire.decode(content):
            case Success(
                [str(address), str(data_centre), int() | float() as cores]
            ) if is_address(address):
                add_peer(
                    self._core.peer_table, name, address, data_centre, cores
                )
            case _:
                journal.write_decision('peer_unreadable', peer=name)

    async def _register(self) -> bool:
        settings = self._core.settings
        content = wire.encode(
            [settings.peer_address, settings.data_centre, settings.cores],
        )
        record = encode_keyed(KeyedRecord(settings.name, content))
        era = self._core.store.era
        reported = era.latest
        outcome = await self._core.store.append(INSTANCES_TOPIC, [record])
        if not isinstance(outcome, Appended):
            return False
        self._registered_at = self._core.now()
        self._registered_in = max(reported, era.current)
        return True

    async def _read_others(self) -> bool:
        match await self._core.store.read_newest(INSTANCES_TOPIC):
            case Success(newest):
                for name, content in newest.items.items():
                    self._add_peer(name, content)
                known = len(self._core.peer_table.peers)
                journal.write_decision('peers', known=known)
                return True
            case _:
                return False
