"""Engines that are ordered, booted, billed and reclaimed."""

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
    """The engines of one kind in one data centre (``zone`` on the wire)."""

    zone: str
    spot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _BilledEngine:
    """One engine and the start of its billing, in monotonic seconds."""

    pool: EnginePool
    engine: EngineStandIn
    billed_from: float


@final
class EnginePools:
    """The engines of a site by pool; ``empty`` pools cannot grow.

    ``seconds`` is the billed time of stopped engines.
    """

    def __init__(self, site: Site, boot_s: float) -> None:
        """Prepare pools; booting and draining take ``boot_s`` seconds each."""
        self.boot_s = boot_s
        self.empty: set[EnginePool] = set()
        self.seconds: dict[EnginePool, float] = {}
        self._site = site
        self._engines: dict[str, _BilledEngine] = {}
        self._numbers = itertools.count(1)
        self._desired: dict[EnginePool, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def bill_site_engines(self) -> None:
        """Bill the site's existing engines as on demand."""
        for engine in self._site.engines:
            self._bill(EnginePool(_ZONE, spot=False), engine)

    async def stop(self) -> None:
        """Cancel open boots and drains, and stop every engine."""
        for task in tuple(self._tasks):
            task.cancel()
        for billed in self._engines.values():
            await billed.engine.stop()

    def count(self, pool: EnginePool) -> int:
        """Return the number of engines in a pool."""
        return len(self._list_engines(pool))

    def order(self, pool: EnginePool, desired: int) -> bool:
        """Resize a pool; return False if it cannot grow."""
        growth = desired - self._desired.get(pool, self.count(pool))
        if growth > 0 and pool in self.empty:
            return False
        self._desired[pool] = desired
        if growth > 0:
            self._start_task(self._boot(pool, growth))
        for engine in self._list_engines(pool)[: max(0, -growth)]:
            self._start_task(self._drain(pool, engine))
        return True

    async def reclaim(self, zone: str, notice_s: float) -> None:
        """Reclaim all spot engines of a data centre after a notice."""
        pool = EnginePool(zone, spot=True)
        self.empty.add(pool)
        reclaimed = self._list_engines(pool)
        for engine in reclaimed:
            self._site.list_endpoint(
                engine,
                zone=zone,
                spot=True,
                state='draining',
                leaves_ms=int(notice_s * _MS),
            )
        await asyncio.sleep(notice_s)
        for engine in reclaimed:
            await self._stop_engine(pool, engine)

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
        await self._stop_engine(pool, engine)

    async def _stop_engine(
        self, pool: EnginePool, engine: EngineStandIn
    ) -> None:
        billed = self._engines.pop(engine.name)
        seconds = time.monotonic() - billed.billed_from
        self.seconds[pool] = self.seconds.get(pool, 0) + seconds
        self._site.unlist(engine.name)
        await engine.stop()

    def _bill(self, pool: EnginePool, engine: EngineStandIn) -> None:
        self._engines[engine.name] = _BilledEngine(
            pool, engine, time.monotonic()
        )

    def _list_engines(self, pool: EnginePool) -> list[EngineStandIn]:
        return [
            billed.engine
            for billed in self._engines.values()
            if billed.pool == pool
        ]

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
