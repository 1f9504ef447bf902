"""Runs an instance as a process: loops, listener and graceful stop."""

import asyncio
import functools
import sys
from typing import Final, final

import aiomisc
from absl import logging
from aiohttp import web

from verbenahall.config import InstanceConfig
from verbenahall.front import Runner
from verbenahall.instance._control import CONTROLLER_LOOP, LEASE_LOOP
from verbenahall.instance._wiring import Instance
from verbenahall.process import listen, run_service
from verbenahall.shutdown import GracefulStop, StopTiming
from verbenahall.supervisor import Supervisor

_EXIT_MARGIN_S: Final = 10.0


@final
class InstanceService(aiomisc.Service):
    """The instance as an aiomisc service."""

    def __init__(self, config: InstanceConfig) -> None:
        """Store the settings; the instance is built on its event loop."""
        super().__init__()
        self._config = config
        self._supervisor = Supervisor()
        self._ended = asyncio.Event()

    async def start(self) -> None:
        """Listen, then run until the graceful stop is complete."""
        instance = Instance(self._config)
        stop = GracefulStop(StopTiming(grace_s=self._config.timing.grace_s))
        runner = await self._open(instance, stop)
        self.start_event.set()
        await stop.run()
        await self._close(instance, runner)

    async def wait(self) -> None:
        """Wait until the process may exit."""
        await self._ended.wait()

    async def _open(
        self,
        instance: Instance,
        stop: GracefulStop,
    ) -> web.AppRunner:
        stop.add_to(instance.app)
        instance.core.stop = stop.state
        for name, loop in instance.loops().items():
            self._supervisor.start(name, loop)
        runner = Runner(
            instance.app,
            self._config.limits,
            account=instance.core.sessions.budget.account,
        )
        site = await _listen(runner, self._config)
        stop.hooks.announce.append(instance.announce_stop)
        stop.hooks.close.append(site.stop)
        stop.hooks.hand_over.append(
            functools.partial(_hand_over, instance, self._supervisor),
        )
        return runner

    async def _close(self, instance: Instance, runner: web.AppRunner) -> None:
        await self._supervisor.stop()
        await runner.cleanup()
        await instance.core.close()
        self._ended.set()


async def _listen(
    runner: web.AppRunner,
    config: InstanceConfig,
) -> web.TCPSite:
    site = await listen(runner, config.listen)
    _print_address(runner, config)
    return site


def _print_address(runner: web.AppRunner, config: InstanceConfig) -> None:
    """Print the listening address; with port 0 the system chooses the port."""
    host, port = runner.addresses[0]
    logging.info(
        'instance %s of deployment %s listens on %s:%d',
        config.name,
        config.deployment,
        host,
        port,
    )
    sys.stdout.write(f'listening {host}:{port}\n')
    sys.stdout.flush()


async def _hand_over(instance: Instance, supervisor: Supervisor) -> None:
    """Release the lease after the last order under it.

    The release signals to the successor that no order of this holder is in
    flight, so the controller must have ended before.
    """
    await supervisor.stop(CONTROLLER_LOOP)
    await supervisor.stop(LEASE_LOOP)
    await instance.control.lease_manager.release()


def serve(config: InstanceConfig) -> None:
    """Run an instance until it has stopped."""
    service = InstanceService(config)
    run_service(service, config.timing.grace_s + _EXIT_MARGIN_S)
