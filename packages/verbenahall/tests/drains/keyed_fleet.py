"""A simulated fleet whose callers' API keys come, go and move."""

import asyncio
import json
from types import SimpleNamespace

from verbenahall.authentication import KeyRefresher, digest_key
from verbenahall.catalog import Service
from verbenahall.gateway._admission import RequestAdmitter
from verbenahall.gateway._messages import Call
from verbenahall.gateway._plain_flow import PlainFlow
from verbenahall.gateway._sender import Sender
from verbenahall.placement import Work
from verbenahall.platform import OPERATOR_TOPIC, RequestHead

from .fleet import SERVICE, Fleet
from .simulated_network import SimulatedResponse

STAMP = 'X-Verbenahall-Server-Stamp'
WORKSPACE = 'X-Verbenahall-Tenant'
#: How long after its acceptance a manifest must be in force, in seconds.
BOUND_S = 2
ROW = {
    'name': 'proof',
    'host': 'desk.example',
    'pathPrefix': '/proof/',
    'kind': 'non_idempotent',
    'timeoutMs': 3000,
    'sloMs': 400,
    'priority': 1,
    'service': SERVICE,
    'maxAttempts': 1,
}
LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 4_194_304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15_000,
}


class KeyedFleet(Fleet):
    """Instances that ask for keys, and a history of who held which.

    ``strange`` and ``stale`` are runs for keys that nobody ever held, or no
    longer in the name that was told; ``denied`` are refusals of keys that
    were in force for the whole bound.
    """

    def __init__(self, seed, size):
        super().__init__(seed, size, leaving_s=2)
        self.holders = {}
        self.history = []
        self.strange = []
        self.stale = []
        self.denied = []
        self.served = 0
        self._admitters = {}
        self._version = 0

    async def open(self):
        """Start the instances with what looks up keys."""
        for number in range(12):
            self.holders[f'key-{number}'] = f'w-{number % 4}'
        await super().open()
        self.publish()
        for name, instance in self.instances.items():
            operator = instance.followers[0]
            assert operator.handler.topic == OPERATOR_TOPIC
            key_refresher = KeyRefresher(operator.refresh, instance.core.now)
            self._admitters[name] = RequestAdmitter(
                instance.core, key_refresher
            )

    def publish(self):
        """Publish the keys as they are now."""
        self._version += 1
        rows = {holder: [] for holder in sorted(set(self.holders.values()))}
        for key, holder in self.holders.items():
            rows[holder].append(key)
        manifest = {
            'version': self._version,
            'routes': [ROW],
            'services': [{'name': SERVICE}],
            'limits': LIMITS,
            'tenants': [
                {'name': name, 'apiKeys': keys} for name, keys in rows.items()
            ],
        }
        content = json.dumps(manifest).encode()
        self.store.put(OPERATOR_TOPIC, 'config', content)
        now = asyncio.get_running_loop().time()
        self.history.append((now, dict(self.holders)))

    def list_allowed(self, key, since):
        """Return who held a key at any time since one; None for nobody."""
        holders = []
        for at, held in self.history:
            if at <= since:
                holders.clear()
            holders.append(held.get(key))
        return holders

    async def serve(self, instance, host, path, headers):
        """Judge a request that runs at an endpoint, and answer it."""
        key, _, sent_at = path.removeprefix('/proof/').partition('/')
        told = headers.get(WORKSPACE)
        assert key not in str(dict(headers))
        if all(held.get(key) is None for _, held in self.history):
            self.strange.append((key, instance))
        since = float(sent_at) - BOUND_S
        if self.is_judged(instance) and told not in self.list_allowed(
            key, since
        ):
            self.stale.append((key, told, instance, sent_at))
        self.served += 1
        return SimulatedResponse(200, b'whole', {STAMP: 'signed'})

    async def ask(self, instance, key):
        """Ask once with a key, as the listener does."""
        core = instance.core
        now = core.now()
        head = RequestHead('r-1', 3, Work(), None, digest_key(key))
        path = f'/proof/{key}/{now}'
        request = SimpleNamespace(
            raw_path='/proof/',
            headers={'Host': 'desk.example'},
        )
        found = await self._admitters[instance.name].admit(request, head)
        admission = found.value_or(None)
        if admission is None:
            self._judge_refusal(instance, key, now)
            return
        call = Call(
            head=head,
            route=admission.route,
            service=Service(SERVICE),
            version=admission.catalog.version,
            method='POST',
            path=path,
            raw_headers=((b'X-Verbenahall-Key', key.encode()),),
            body=b'',
            received=now,
            deadline=now + 3,
            workspace=admission.workspace,
        )
        await PlainFlow(core, Sender(core), call).run()

    async def ask_until(self, end):
        """Have callers ask with keys that are, were, or never will be held."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.source.uniform(0, 0.02))
            instance = self.source.choice(tuple(self.instances.values()))
            number = self.source.randrange(72)
            names = (*self.holders, f'key-{number}', f'guess-{number}')
            key = self.source.choice(names)
            flow = asyncio.create_task(self.ask(instance, key))
            self._flows.add(flow)
            flow.add_done_callback(self._flows.discard)

    def _judge_refusal(self, instance, key, now):
        allowed = self.list_allowed(key, now - BOUND_S)
        if self.is_judged(instance.name) and all(allowed):
            self.denied.append((key, instance.name, now))
