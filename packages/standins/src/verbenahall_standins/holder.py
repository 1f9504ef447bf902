"""One controller as a process of its own, which can stop itself.

``python -m verbenahall_standins.holder --name a --log IP:port --engine
IP:port --version 1`` claims the data centre and brings one engine to a model
version. With ``--stop`` it sends itself SIGSTOP at its first order, just
before or just after its check of the lease, which no outside signal can hit.
"""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from typing import Final

import aiohttp
import uvloop

from verbenahall import clock
from verbenahall.authority import AuthorityState, LeaseManager, LeaseTiming
from verbenahall.authority import apply_record as apply_authority
from verbenahall.fleet import Endpoint, EndpointKind, Role, EndpointStatus
from verbenahall.log import LogClient, LogFollower
from verbenahall.orders import Dispatch, OrderSender, OrdersState, OrderTiming
from verbenahall.orders import apply_record as apply_orders
from verbenahall.records import Record
from verbenahall.rollout import Controller
from verbenahall.settings import EffectiveSettings, ModelSettings, PoolSettings

_SCOPE: Final = 'cardigan'
_ENGINE: Final = 'engine-1'
_MODEL: Final = 'drafter'
#: Which of the sender's looks at the clock is the check beside the write.
_CHECK: Final = 2


class StoppingClock:
    """The monotonic clock, which stops the process at one look."""

    __slots__ = ('_looks', '_stop')

    def __init__(self, stop: str) -> None:
        """Stop ``before`` or ``after`` the check's look, or not at all."""
        self._looks = 0
        self._stop = stop

    def __call__(self) -> float:
        """Return monotonic seconds."""
        self._looks += 1
        if self._looks == _CHECK and self._stop == 'before':
            os.kill(os.getpid(), signal.SIGSTOP)
        now = clock.monotonic()
        if self._looks == _CHECK and self._stop == 'after':
            os.kill(os.getpid(), signal.SIGSTOP)
        return now


class Surroundings:
    """One engine, one pool, one model."""

    __slots__ = ('_endpoint', '_settings')

    def __init__(self, options: argparse.Namespace) -> None:
        """Build the settings that the options ask for."""
        self._endpoint = Endpoint(
            name=_ENGINE,
            kind=EndpointKind.ENGINE,
            address=options.engine,
            data_centre=_SCOPE,
            incarnation='',
            checks_fencing=not options.ignores,
        )
        self._settings = EffectiveSettings()
        self._settings.models[_MODEL] = ModelSettings(
            name=_MODEL,
            version=options.version,
            floor=0,
            weight_gb=1,
            team='desk',
        )
        self._settings.pools['main'] = PoolSettings(
            name='main',
            data_centre=_SCOPE,
            engines=(_ENGINE,),
            models=(_MODEL,),
            adapters=(),
            prefill=0,
            decode=0,
            automatic=False,
            team='desk',
        )

    def read_settings(self) -> EffectiveSettings:
        """Return the settings."""
        return self._settings

    def list_engines(
        self, now: float
    ) -> Sequence[tuple[Endpoint, EndpointStatus]]:
        """Return the engine as live."""
        return ((self._endpoint, EndpointStatus.LIVE),)

    def read_roles(self) -> Mapping[str, Role]:
        """Return no roles."""
        return {}


class Holder:
    """The parts of one instance that order engines."""

    def __init__(
        self,
        options: argparse.Namespace,
        session: aiohttp.ClientSession,
    ) -> None:
        """Compose them."""
        timing = OrderTiming(options.order_timeout, options.longest_pause)
        client = LogClient(options.log, session, options.name)
        self._authority = AuthorityState()
        self._orders = OrdersState(self._authority)
        self._follower = LogFollower(client, (self._apply_record,))
        self._lease_manager = LeaseManager(
            self._authority,
            client,
            _SCOPE,
            options.name,
            LeaseTiming(options.lease, options.margin),
            caught_up=self._is_caught_up,
        )
        self._controller = Controller(
            Surroundings(options),
            self._orders,
            self._lease_manager,
            client,
            OrderSender(self._hold, timing, StoppingClock(options.stop)),
            Dispatch(timing),
        )

    async def run(self) -> None:
        """Run all parts until killed."""
        sys.stdout.write('listening 127.0.0.1:0\n')
        sys.stdout.flush()
        await asyncio.gather(
            self._follower.run(),
            self._lease_manager.run(),
            self._controller.run(),
        )

    def _apply_record(self, record: Record) -> None:
        apply_authority(self._authority, record, clock.monotonic())
        apply_orders(self._orders, record)

    def _is_caught_up(self) -> bool:
        head = self._follower.head
        return 0 <= head <= self._follower.position

    def _hold(self, now: float) -> int | None:
        return self._lease_manager.find_token(_SCOPE, now)


async def run(options: argparse.Namespace) -> None:
    """Run one holder until it is killed."""
    async with aiohttp.ClientSession() as session:
        await Holder(options, session).run()


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser()
    for name in ('--name', '--log', '--engine', '--version'):
        parser.add_argument(name, required=True)
    parser.add_argument('--ignores', action='store_true')
    parser.add_argument('--stop', choices=('', 'before', 'after'), default='')
    parser.add_argument('--lease', type=float, default=1)
    parser.add_argument('--margin', type=float, default=0.1)
    parser.add_argument('--order-timeout', type=float, default=0.5)
    parser.add_argument('--longest-pause', type=float, default=4)
    uvloop.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
