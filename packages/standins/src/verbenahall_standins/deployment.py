"""Starts the processes of a deployment described under ``examples/``."""

import asyncio
import itertools
import subprocess
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import aiohttp

from verbenahall_standins import process
from verbenahall_standins.description import Description, set_values

_Child = subprocess.Popen[str]

_PLATFORM: Final = ('log', 'registry', 'weights')
_HOST: Final = '127.0.0.1:0'


class Deployment:
    """The processes of one deployment, by name."""

    __slots__ = ('_folder', 'description', 'running')

    def __init__(self, description: Description, folder: Path) -> None:
        """Keep the instances' configuration and log files in ``folder``."""
        self.description = description
        self.running: dict[str, process.RunningProcess] = {}
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def address(self, name: str) -> str:
        """Return the ``IP:port`` of a process."""
        return self.running[name].address

    def start_platform(self) -> None:
        """Start the log, the instance list and the weight store."""
        self._start_all({name: _launch(name) for name in _PLATFORM})

    def start_endpoints(self) -> None:
        """Start the engines and the plain services."""
        launched = {
            name: _launch('service', '--name', name)
            for name in self.description.services
        }
        for engine in self.description.engines:
            launched[engine] = self._launch_engine(engine)
        self._start_all(launched)

    def start_instances(self) -> None:
        """Start all entry instances, each with its own configuration file."""
        instances = self.description.instances
        self._start_all(
            {name: self._launch_instance(name) for name in instances},
        )

    def stop(self) -> None:
        """Stop the instances first, then the processes that they use."""
        instances = self.description.instances
        first = [self.running[name] for name in self.running.keys() & instances]
        rest = [self.running[name] for name in self.running.keys() - instances]
        process.stop_all(first)
        process.stop_all(rest)
        self.running.clear()

    async def register(self, session: aiohttp.ClientSession) -> None:
        """Register every endpoint and instance in the instance list."""
        names = self.running.keys() - set(_PLATFORM)
        await asyncio.gather(
            *(self._register(session, name) for name in names),
        )

    def _launch_engine(self, name: str) -> _Child:
        options = {
            '--name': name,
            '--speed': str(self.description.speed),
            '--weights': self.address('weights'),
        }
        models = [f'--model={model}' for model in self.description.models]
        return _launch('engine', *itertools.chain(*options.items()), *models)

    def _launch_instance(self, name: str) -> _Child:
        example = (self.description.folder / 'instance.toml').read_text()
        values = {
            'name': name,
            'data_centre': self.description.instances[name],
            'listen': _HOST,
            'log': self.address('log'),
            'instance_list': self.address('registry'),
        }
        config = self._folder / f'{name}.toml'
        config.write_text(set_values(example, values))
        script = process.find_script('verbenahall')
        return process.launch_command(
            (script, 'serve', '--config', str(config)),
            self._folder / f'{name}.log',
        )

    def _start_all(self, launched: Mapping[str, _Child]) -> None:
        """Wait until all are ready; raise if any of them failed.

        Processes that did start are kept, so that ``stop`` ends them.
        """
        failed = []
        for name, child in launched.items():
            try:
                self.running[name] = process.wait_until_ready(child)
            except process.NotReadyError:
                failed.append(name)
        if failed:
            raise process.NotReadyError(f'not started: {failed}')

    async def _register(
        self,
        session: aiohttp.ClientSession,
        name: str,
    ) -> None:
        incarnation = str(self.running[name].pid)
        if name in self.description.engines:
            # The list must show the incarnation that the engine reports.
            incarnation = await fetch_incarnation(session, self.address(name))
        registry = self.address('registry')
        entry = self._build_entry(name, incarnation)
        await _post(session, f'http://{registry}/register', entry)

    def _build_entry(self, name: str, incarnation: str) -> dict[str, Any]:
        description = self.description
        entry = {
            'name': name,
            'address': self.address(name),
            'incarnation': incarnation,
        }
        if name in description.services:
            entry['service'] = description.service
        return {**entry, **description.get_placement(name)}


def _launch(name: str, *arguments: str) -> _Child:
    return process.launch(f'verbenahall_standins.{name}', *arguments)


async def fetch_incarnation(
    session: aiohttp.ClientSession,
    address: str,
) -> str:
    """Return the incarnation that an engine reports."""
    async with session.get(f'http://{address}/state') as answer:
        return (await answer.json())['incarnation']


async def _post(
    session: aiohttp.ClientSession,
    url: str,
    body: Mapping[str, Any],
) -> None:
    async with session.post(url, json=body) as answer:
        answer.raise_for_status()
