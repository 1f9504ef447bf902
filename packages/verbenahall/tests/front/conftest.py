"""Fake endpoints and a front that routes to them, on loopback."""

import asyncio
import contextlib
import dataclasses
import json
import random
from types import SimpleNamespace

import pytest
from aiohttp import ClientSession, TCPConnector, web
from returns.result import Success

from verbenahall import clock, front
from verbenahall.buffers import ByteBudget
from verbenahall.config import (
    AdminConfig,
    InstanceConfig,
    LimitsConfig,
    PlatformConfig,
    TimingConfig,
)
from verbenahall.errors import Problem
from verbenahall.fleet import Endpoint, EndpointKind, EndpointStatus, Role
from verbenahall.front._endpoints import Sessions
from verbenahall.load import (
    EngineState,
    EngineStates,
    LoadState,
    Report,
    record_report,
)

#: Bytes that the front may hold.
HELD_BYTES = 134_217_728
LIMITS = LimitsConfig(
    body_bytes=65_536,
    header_bytes=8192,
    json_depth=16,
    connections=512,
    body_timeout_s=0.5,
    queue_per_priority=256,
    queue_per_workspace=128,
    in_flight_per_engine=16,
    default_deadline_s=20,
)


def _no_fault(number):
    return ''


class FakeEndpoint:
    """A fake engine or service with injected faults.

    ``fault(number)`` returns the fault for the request of that number, or
    empty text; ``started`` lists the attempts that the endpoint started. With
    the fault ``pause`` it counts as silent for ``pause_s`` seconds, in a stream
    after ``pauses_at`` tokens, and then goes on; ``event_s`` is the time from
    one token to the next in seconds.
    """

    def __init__(self, name, fault=None):
        self.name = name
        self.fault = fault or _no_fault
        self.started = []
        self.keys = []
        self.cancelled = []
        self.seen = 0
        self.tokens = 5
        self.work_s = 0
        self.pause_s = 1.6
        self.pauses_at = 3
        self.event_s = 0
        self.running = 0
        self.status = EndpointStatus.LIVE
        self.address = ''
        self.data_centre = 'here'

    async def answer(self, request):
        fault = self.fault(self.seen)
        self.seen += 1
        body = await request.read()
        if fault == 'refuse':
            return web.Response(status=503, headers={'X-Not-Started': '1'})
        if fault == 'back_off':
            headers = {'X-Not-Started': '1', 'Retry-After': '3'}
            return web.Response(status=503, headers=headers)
        if fault == 'reset_before':
            request.transport.abort()
            return web.Response()
        attempt = request.headers['X-Attempt-Id']
        self.started.append(attempt)
        self.keys.append(request.headers.get('Idempotency-Key', ''))
        if fault == 'hang':
            await asyncio.sleep(3600)
        self.running += 1
        try:
            return await self.respond(request, body, attempt, fault)
        finally:
            self.running -= 1

    async def respond(self, request, body, attempt, fault):
        await asyncio.sleep(self.work_s)
        if fault == 'reset_after':
            request.transport.abort()
            return web.Response()
        if fault == 'error':
            return web.Response(status=500)
        headers = {'X-Load': f'{self.running},0,0.9'}
        if not request.path.startswith('/v1'):
            await self.pause(fault)
            answered = {'path': request.raw_path, 'by': self.name}
            return web.json_response(answered, headers=headers)
        table = json.loads(body)
        if table.get('stream'):
            return await self.stream(request, table, attempt, fault)
        await self.pause(fault)
        if fault == 'stray':
            attempt = 'another'
        answered = {
            'attempt': attempt,
            'echo': table['prompt'],
            'by': self.name,
        }
        return web.json_response(answered, headers=headers)

    async def stream(self, request, table, attempt, fault):
        response = web.StreamResponse()
        await response.prepare(request)
        for index in range(table.get('resume_from', 0), self.tokens):
            if index == self.pauses_at:
                await self.pause(fault)
            if fault == 'die' and index == 3:
                await response.write(b'data: {"attempt":"%b' % attempt.encode())
                request.transport.abort()
                return response
            if fault == 'gap' and index == 3:
                continue
            event = {'attempt': attempt, 'index': index}
            event['choices'] = [{'text': f'{table["prompt"]}{index} '}]
            copies = 2 if fault == 'duplicate' else 1
            for _ in range(copies):
                line = json.dumps(event, separators=(',', ':'))
                await response.write(f'data: {line}\n\n'.encode())
            await asyncio.sleep(self.event_s)
            if fault == 'stall' and index == 2:
                await asyncio.sleep(3600)
        if fault != 'truncate':
            await response.write(b'data: [DONE]\n\n')
        return response

    async def pause(self, fault):
        """Fall silent for a while, and go on."""
        if fault == 'pause':
            self.status = EndpointStatus.SILENT
            try:
                await asyncio.sleep(self.pause_s)
            finally:
                self.status = EndpointStatus.LIVE

    async def cancel(self, request):
        self.cancelled.append((await request.json())['attempt'])
        return web.Response()


@dataclasses.dataclass
class Recorder:
    """Records the front's calls to other slices, and holds its readiness."""

    claims: list = dataclasses.field(default_factory=list)
    released: list = dataclasses.field(default_factory=list)
    failures: list = dataclasses.field(default_factory=list)
    unready: Problem | None = None


@dataclasses.dataclass
class FrontHarness:
    """A running front with its address, its dependencies and its endpoints."""

    url: str
    dependencies: front.FrontDependencies
    fakes: list
    client: ClientSession
    recorder: Recorder
    server: front.Front

    def spend_budget(self):
        """Use up the retry budget."""
        charge = self.server._attempts.charge_retry
        assert not all(charge() for _ in range(1000))

    async def send_raw(self, sent):
        """Send raw bytes on a new connection; return all bytes received."""
        host, _, port = self.url.removeprefix('http://').partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(sent)
        try:
            return await asyncio.wait_for(reader.read(), 20)
        finally:
            writer.close()

    async def post(self, path='/v1/completions', headers=None, **body):
        body = {'model': 'm', 'prompt': 'p', 'max_tokens': 8, **body}
        async with self.client.post(
            self.url + path,
            json=body,
            headers=headers or {},
        ) as answer:
            return answer.status, answer.headers, await answer.read()


async def serve(runner, stack):
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    return f'127.0.0.1:{port}'


async def serve_fake(fake, stack):
    app = web.Application()
    app.router.add_post('/cancel', fake.cancel)
    app.router.add_route('*', '/{tail:.*}', fake.answer)
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        shutdown_timeout=0.1,
    )
    return await serve(runner, stack)


def build_dependencies(endpoints, fakes, kind, sessions, recorder, resumes):
    states = EngineStates()
    loads = LoadState()
    by_name = {fake.name: fake for fake in fakes}
    for name in by_name:
        states.put(
            EngineState(
                name=name,
                incarnation='1',
                role=Role.MIXED,
                models={'m': '1'},
                adapters=frozenset(),
                changing=False,
                leaving=False,
                resumes=resumes,
                report=Report(0, 0),
            ),
        )

    def store_report(name, report):
        record_report(loads, name, report, clock.monotonic())

    async def claim(workspace, key):
        recorder.claims.append((workspace, key))
        return Success(len(recorder.claims))

    settings = SimpleNamespace(
        models={'m': None},
        adapters={},
        workspaces={},
        drains={},
        services={},
    )
    return front.FrontDependencies(
        list_available=lambda requested, now, service: [
            endpoint
            for endpoint in endpoints
            if requested is kind
            and by_name[endpoint.name].status is EndpointStatus.LIVE
        ],
        find_status=lambda endpoint_name, now: by_name[endpoint_name].status,
        report_answer=lambda name: None,
        report_failure=recorder.failures.append,
        read_settings=lambda: settings,
        read_position=lambda: 7,
        claim=claim,
        release=lambda *released: recorder.released.append(released),
        check_ready=lambda: recorder.unready,
        load=loads,
        states=states,
        adapters=front.Adapters(
            front.EngineAdapter(sessions, store_report),
            front.ServiceAdapter(sessions, store_report),
        ),
        rng=random.Random(1),
        list_services=lambda: {endpoint.service for endpoint in endpoints},
    )


def make_peer_access(sessions, peers):
    return front.PeerAccess(
        sessions,
        list_live=lambda: peers,
        is_local=lambda peer: peer.data_centre == 'here',
        is_author=lambda name, host: (name, host) == ('i1', '127.0.0.1'),
    )


@contextlib.asynccontextmanager
async def start_front(
    fakes,
    kind=EndpointKind.ENGINE,
    resumes=True,
    peers=None,
    bears=None,
    **limits,
):
    """Run fake endpoints and a front; stop them on exit.

    With ``peers``, a list of endpoints, it forwards requests to these and
    receives those of an instance ``i1``. ``bears`` is whether a stop bears a
    request.
    """
    async with contextlib.AsyncExitStack() as stack:
        service = 'pages' if kind is EndpointKind.SERVICE else ''
        endpoints = [
            Endpoint(
                name=fake.name,
                kind=kind,
                address=fake.address or await serve_fake(fake, stack),
                data_centre=getattr(fake, 'data_centre', 'here'),
                incarnation='1',
                service=service,
            )
            for fake in fakes
        ]
        pooled = await stack.enter_async_context(front.make_session())
        single_use = await stack.enter_async_context(
            front.make_session(single_use=True)
        )
        recorder = Recorder()
        sessions = Sessions(pooled, single_use, ByteBudget(HELD_BYTES))
        dependencies = build_dependencies(
            endpoints, fakes, kind, sessions, recorder, resumes
        )
        if peers is not None:
            dependencies = dataclasses.replace(
                dependencies, peers=make_peer_access(sessions, peers)
            )
        if bears is not None:
            dependencies = dataclasses.replace(dependencies, bears=bears)
        limits_config = dataclasses.replace(LIMITS, **limits)
        config = InstanceConfig(
            name='i1',
            data_centre='here',
            deployment='test',
            listen='127.0.0.1:0',
            platform=PlatformConfig('127.0.0.1:1', '127.0.0.1:1'),
            admin=AdminConfig(),
            limits=limits_config,
            timing=TimingConfig(*range(1, 10)),
        )
        app = front.make_application(limits_config)
        server = front.Front(config, dependencies)
        server.add_routes(app)
        runner = front.Runner(app, limits_config, shutdown_timeout=0.1)
        address = await serve(runner, stack)
        background = asyncio.create_task(server.run())
        client = await stack.enter_async_context(
            ClientSession(connector=TCPConnector(limit=0)),
        )
        try:
            yield FrontHarness(
                f'http://{address}',
                dependencies,
                fakes,
                client,
                recorder,
                server,
            )
        finally:
            background.cancel()


@pytest.fixture
def run_front():
    """Return the context manager that runs a front."""
    return start_front


@pytest.fixture
def fake():
    """Return the class of fake endpoints."""
    return FakeEndpoint


async def wait_for(condition, bound_s=20):
    """Wait until a condition holds; fail after ``bound_s`` seconds."""
    async with asyncio.timeout(bound_s):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def until():
    """Return the function that waits for a condition."""
    return wait_for


async def start_module_front():
    """Start a front for several tests; return it and a function to stop it."""
    stack = contextlib.AsyncExitStack()
    opened = await stack.enter_async_context(
        start_front([FakeEndpoint('a')], default_deadline_s=2),
    )
    return opened, stack.aclose


@pytest.fixture(scope='module')
def module_front():
    """Return the function that starts a front for a whole module."""
    return start_module_front


@pytest.fixture
def run_server():
    """Return the coroutine that serves an application on a free port."""
    return serve
