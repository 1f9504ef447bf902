"""A rollout controller in its own process, which can suspend itself.

``python -m verbenahall_standins.holder --name a --log IP:port --engine
IP:port --version 1`` claims the lease of the data centre and brings one engine
to a model version. With ``--stop`` the process sends itself SIGSTOP at its
first order, immediately before or after it checks the lease. A signal from
another process cannot be timed that precisely.
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
#: Number of the sender's clock reading at its lease check, which comes right
#: before the write.
_LEASE_CHECK_READ: Final = 2


class SelfStoppingClock:
    """A monotonic clock that suspends the process at the lease check."""

    __slots__ = ('_reads', '_stop')

    def __init__(self, stop: str) -> None:
        """Stop ``before`` or ``after`` the lease check, or never if empty."""
        self._reads = 0
        self._stop = stop

    def __call__(self) -> float:
        """Return monotonic seconds."""
        self._reads += 1
        if self._reads == _LEASE_CHECK_READ and self._stop == 'before':
            os.kill(os.getpid(), signal.SIGSTOP)
        now = clock.monotonic()
        if self._reads == _LEASE_CHECK_READ and self._stop == 'after':
            os.kill(os.getpid(), signal.SIGSTOP)
        return now


class SingleEngineDependencies:
    """Controller dependencies with one engine, one pool and one model."""

    __slots__ = ('_endpoint', '_settings')

    def __init__(self, options: argparse.Namespace) -> None:
        """Build the endpoint and the settings from the options."""
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
        """Return the effective settings."""
        return self._settings

    def list_engines(
        self, now: float
    ) -> Sequence[tuple[Endpoint, EndpointStatus]]:
        """Return the engine, always as live."""
        return ((self._endpoint, EndpointStatus.LIVE),)

    def read_roles(self) -> Mapping[str, Role]:
        """Return no role assignments."""
        return {}


class Holder:
    """The parts of an instance that send orders to engines."""

    def __init__(
        self,
        options: argparse.Namespace,
        session: aiohttp.ClientSession,
    ) -> None:
        """Wire the log follower, the lease keeper and the controller."""
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
            SingleEngineDependencies(options),
            self._orders,
            self._lease_manager,
            client,
            OrderSender(
                self._get_held_token, timing, SelfStoppingClock(options.stop)
            ),
            Dispatch(timing),
        )

    async def run(self) -> None:
        """Run all parts until the process is killed."""
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

    def _get_held_token(self, now: float) -> int | None:
        return self._lease_manager.find_token(_SCOPE, now)


async def run(options: argparse.Namespace) -> None:
    """Run one holder until the process is killed."""
    async with aiohttp.ClientSession() as session:
        await Holder(options, session).run()


def main() -> None:
    """Parse the command line and run the holder."""
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
