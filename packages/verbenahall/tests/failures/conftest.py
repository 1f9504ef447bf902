"""A small fleet of processes: platform, endpoints and instances."""

import asyncio
import contextlib
import dataclasses
import uuid
from pathlib import Path

import pytest
from aiohttp import ClientError, ClientSession, TCPConnector

from verbenahall import wire
from verbenahall.records import SETTINGS_STREAM
from verbenahall_standins import process

MODEL = 'drafter'
CONFIG = """
[instance]
name = "{name}"
data_centre = "ain"
deployment = "atlas"
listen = "127.0.0.1:0"
[platform]
log = "{log}"
instance_list = "{registry}"
[limits]
in_flight_per_engine = 256
[timing]
list_poll_s = 0.2
load_poll_s = 0.2
heartbeat_s = 0.2
grace_s = 20.0
"""
SETTINGS = (
    ('fleet/models/drafter', {'version': '1', 'floor': 1, 'weight_gb': 1}),
    (
        'fleet/pools/ain',
        {
            'data_centre': 'ain',
            'engines': ['engine-1', 'engine-2'],
            'models': [MODEL],
            'adapters': [],
            'prefill': 0,
            'decode': 0,
            'automatic': False,
        },
    ),
)


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer as its caller got it; a broken connection has status 0."""

    status: int
    body: str
    headers: dict

    @property
    def error(self):
        return wire.decode(self.body.encode()).value_or({}).get('error', {})


class Fleet:
    """Running processes by name, and a caller's HTTP session."""

    def __init__(self, folder, session):
        self.folder = folder
        self.session = session
        self.processes = {}
        self.config = CONFIG

    def start(self, name, module, *options):
        running = process.start(f'verbenahall_standins.{module}', *options)
        self.processes[name] = running

    async def start_all(self, instances, speed):
        for platform in ('log', 'registry', 'weights'):
            self.start(platform, platform)
        for engine in ('engine-1', 'engine-2'):
            options = ['--name', engine, '--model', f'{MODEL}=1']
            self.start(engine, 'engine', *options, '--speed', str(speed))
        self.start('pages-1', 'service', '--name', 'pages-1')
        # The settings name the engines but no service. With the service
        # registered first, an instance that has listed the engines has also
        # listed the service.
        await self.register('pages-1', 'service')
        await asyncio.gather(
            self.register('engine-1', 'engine'),
            self.register('engine-2', 'engine'),
            self.publish(),
        )
        await asyncio.gather(*(self.start_instance(one) for one in instances))
        await asyncio.gather(*map(self.wait_until_ready, instances))

    async def start_instance(self, name, log='', registry='registry'):
        config = self.folder / f'{name}.toml'
        log = log or self.processes['log'].address
        registry = self.processes[registry].address
        config.write_text(
            self.config.format(name=name, log=log, registry=registry),
        )
        command = (process.find_script('verbenahall'), 'serve', '--config')
        child = process.launch_command(
            (*command, str(config)),
            self.folder / f'{name}.log',
        )
        self.processes[name] = await asyncio.to_thread(
            process.wait_until_ready, child
        )
        await self.register(name, 'instance')

    async def register(self, name, kind):
        incarnation = uuid.uuid4().hex
        if kind == 'engine':
            state = await self.call('GET', name, '/state')
            incarnation = wire.decode(state.body.encode()).unwrap()[
                'incarnation'
            ]
        entry = {
            'name': name,
            'kind': kind,
            'address': self.processes[name].address,
            'data_centre': 'ain',
            'incarnation': incarnation,
            'service': 'pages' if kind == 'service' else '',
        }
        await self.call('POST', 'registry', '/register', json=entry)

    async def publish(self):
        changes = [
            {'path': path, 'base': 0, 'value': table}
            for path, table in SETTINGS
        ]
        body = {'team': 'fleet', 'author': 'test', 'changes': changes}
        record = {'stream': SETTINGS_STREAM, 'id': 'first', 'body': body}
        await self.call('POST', 'log', '/append', json=record)

    async def call(self, method, name, path, **options):
        address = self.processes[name].address
        url = f'http://{address}{path}'
        try:
            async with self.session.request(method, url, **options) as answer:
                body = await answer.text()
                return Answer(answer.status, body, answer.headers)
        except (ClientError, OSError) as error:
            return Answer(0, repr(error), {})

    async def complete(self, name, tokens=2, *, stream=False, text='breaker'):
        body = {
            'model': MODEL,
            'prompt': text,
            'max_tokens': tokens,
            'stream': stream,
        }
        return await self.call('POST', name, '/v1/completions', json=body)

    async def bill(self, name, key):
        return await self.call(
            'POST',
            name,
            '/services/pages/bill',
            headers={'Idempotency-Key': key},
            data=b'summary',
        )

    async def read_started(self, name):
        """Return the requests that an endpoint recorded as started."""
        record = await self.call('GET', name, '/record')
        return wire.decode(record.body.encode()).unwrap()['started']

    async def count_streams(self):
        records = await asyncio.gather(
            self.read_started('engine-1'),
            self.read_started('engine-2'),
        )
        return len(records[0]) + len(records[1])

    async def count_runs(self):
        """Return the number of the service's runs by idempotency key."""
        keys = [run['key'] for run in await self.read_started('pages-1')]
        return {key: keys.count(key) for key in keys}

    async def open_link(self, name):
        link = Link(self.processes[name].address)
        return link, await link.open()

    async def set_fault(self, process_name, **fault):
        await self.call('POST', process_name, '/faults', json=fault)

    async def wait_until_ready(self, name):
        async with asyncio.timeout(30):
            while (await self.call('GET', name, '/readyz')).status != 200:
                await asyncio.sleep(0.05)


class Link:
    """A TCP proxy in front of a process; the link can be cut."""

    def __init__(self, target):
        self.target = target
        self.is_open = True
        self.writers = set()

    async def open(self):
        server = await asyncio.start_server(
            self.handle_connection, '127.0.0.1', 0
        )
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    def cut(self):
        self.is_open = False
        for writer in self.writers:
            writer.transport.abort()

    async def handle_connection(self, reader, writer):
        self.writers.add(writer)
        if not self.is_open:
            writer.transport.abort()
            return
        host, port = self.target.split(':')
        target_reader, target_writer = await asyncio.open_connection(host, port)
        self.writers.add(target_writer)
        await asyncio.gather(
            copy_bytes(reader, target_writer),
            copy_bytes(target_reader, writer),
        )


async def copy_bytes(reader, writer):
    with contextlib.suppress(OSError):
        while chunk := await reader.read(65_536):
            writer.write(chunk)
    writer.close()


def run_fleet(folder, scenario, instances=('i-1', 'i-2'), speed=20):
    """Start a fleet, run a scenario against it, then kill all processes."""

    async def start_and_run(fleet):
        await fleet.start_all(instances, speed)
        await asyncio.wait_for(scenario(fleet), 90)

    async def main():
        async with ClientSession(connector=TCPConnector(limit=0)) as session:
            fleet = Fleet(Path(folder), session)
            try:
                await start_and_run(fleet)
            finally:
                await asyncio.to_thread(kill_all, fleet.processes.values())

    asyncio.run(main())


def kill_all(started):
    for running in started:
        with contextlib.suppress(ProcessLookupError):
            running.kill()


async def open_session():
    return ClientSession(connector=TCPConnector(limit=0))


@pytest.fixture(scope='module')
def run_shared(tmp_path_factory):
    """Return a function that runs scenarios against one fleet per module.

    A scenario must leave every process running and clear all faults.
    """
    with asyncio.Runner() as runner:
        session = runner.run(open_session())
        fleet = Fleet(tmp_path_factory.mktemp('fleet'), session)
        with contextlib.ExitStack() as stack:
            stack.callback(lambda: runner.run(session.close()))
            stack.callback(lambda: kill_all(fleet.processes.values()))
            runner.run(fleet.start_all(('i-1', 'i-2'), 20))
            yield lambda scenario: runner.run(scenario(fleet))


@pytest.fixture
def run(tmp_path):
    """Return a function that runs a scenario against a new fleet."""

    def run_scenario(scenario, **options):
        run_fleet(tmp_path, scenario, **options)

    return run_scenario
