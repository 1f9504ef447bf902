"""Engines that are ordered, boot, are billed, and are taken back."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Coroutine
from typing import Any, Final, final

from verbenahall_standins.platform._engine import EngineStandIn
from verbenahall_standins.platform._site import Site

_ROLES: Final = ('prefill', 'decode')
_ZONE: Final = 'lampeter'
_MS: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePool:
    """The engines of one kind in one data centre, the wire's zone."""

    zone: str
    spot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Billed:
    """One engine, and since when it is billed."""

    pool: EnginePool
    engine: EngineStandIn
    since: float


@final
class EnginePools:
    """The engines of a site by pool; ``empty`` pools have none to give.

    ``seconds`` are those that engines which are gone were billed for.
    """

    def __init__(self, site: Site, boot_s: float) -> None:
        """Have engines boot for so long, and leave as slowly."""
        self.boot_s = boot_s
        self.empty: set[EnginePool] = set()
        self.seconds: dict[EnginePool, float] = {}
        self._site = site
        self._engines: dict[str, _Billed] = {}
        self._numbers = itertools.count(1)
        self._ordered: dict[EnginePool, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def adopt(self) -> None:
        """Take the engines that the site has for engines on demand."""
        for engine in self._site.engines:
            self._bill(EnginePool(_ZONE, spot=False), engine)

    async def stop(self) -> None:
        """End what is under way, and every engine."""
        for task in tuple(self._tasks):
            task.cancel()
        for billed in self._engines.values():
            await billed.engine.stop()

    def count(self, pool: EnginePool) -> int:
        """Return how many engines of a pool serve."""
        return len(self._list(pool))

    def order(self, pool: EnginePool, desired: int) -> bool:
        """Bring a pool to a size; False when it has no engine to give."""
        more = desired - self._ordered.get(pool, self.count(pool))
        if more > 0 and pool in self.empty:
            return False
        self._ordered[pool] = desired
        if more > 0:
            self._spawn(self._boot(pool, more))
        for engine in self._list(pool)[: max(0, -more)]:
            self._spawn(self._drain(pool, engine))
        return True

    async def reclaim(self, zone: str, notice_s: float) -> None:
        """Take all spot instances of a data centre back, with a notice."""
        pool = EnginePool(zone, spot=True)
        self.empty.add(pool)
        gone = self._list(pool)
        for engine in gone:
            self._site.list_endpoint(
                engine,
                zone=zone,
                spot=True,
                state='draining',
                leaves_ms=int(notice_s * _MS),
            )
        await asyncio.sleep(notice_s)
        for engine in gone:
            await self._end(pool, engine)

    async def _boot(self, pool: EnginePool, count: int) -> None:
        await asyncio.sleep(self.boot_s)
        for _ in range(count):
            number = next(self._numbers)
            role = _ROLES[number % len(_ROLES)]
            engine = EngineStandIn(f'{role}-new-{number}', role)
            await engine.start()
            self._bill(pool, engine)
            self._site.list_endpoint(engine, zone=pool.zone, spot=pool.spot)

    async def _drain(self, pool: EnginePool, engine: EngineStandIn) -> None:
        self._site.list_endpoint(
            engine,
            zone=pool.zone,
            spot=pool.spot,
            state='draining',
        )
        await asyncio.sleep(self.boot_s)
        await self._end(pool, engine)

    async def _end(self, pool: EnginePool, engine: EngineStandIn) -> None:
        billed = self._engines.pop(engine.name)
        seconds = time.monotonic() - billed.since
        self.seconds[pool] = self.seconds.get(pool, 0) + seconds
        self._site.unlist(engine.name)
        await engine.stop()

    def _bill(self, pool: EnginePool, engine: EngineStandIn) -> None:
        self._engines[engine.name] = _Billed(pool, engine, time.monotonic())

    def _list(self, pool: EnginePool) -> list[EngineStandIn]:
        return [
            billed.engine
            for billed in self._engines.values()
            if billed.pool == pool
        ]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
