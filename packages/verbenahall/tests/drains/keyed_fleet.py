"""A simulated fleet whose API keys are added, revoked and reassigned."""

import asyncio
import json
from types import SimpleNamespace

from verbenahall.authentication import KeyRefresher, digest_key
from verbenahall.catalog import Service
from verbenahall.gateway._admission import RequestAdmitter
from verbenahall.gateway._messages import Call
from verbenahall.gateway._attempts import Attempts
from verbenahall.gateway._plain_flow import PlainFlow
from verbenahall.gateway._sender import Sender
from verbenahall.placement import Work
from verbenahall.platform import OPERATOR_TOPIC, RequestHead

from .fleet import SERVICE, Fleet
from .simulated_network import SimulatedResponse

STAMP_HEADER = 'X-Verbenahall-Server-Stamp'
WORKSPACE_HEADER = 'X-Verbenahall-Tenant'
#: Time within which a published manifest must be in force, in seconds.
MAX_MANIFEST_DELAY_S = 2
ROUTE_ROW = {
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
    """Instances that check API keys, and the history of the keys.

    ``never_held`` lists requests that ran with a key that no workspace ever
    held, ``wrong_workspaces`` those that ran under a workspace that no longer
    held the key, ``wrong_refusals`` refused keys that had been in force for
    the last ``MAX_MANIFEST_DELAY_S`` seconds.
    """

    def __init__(self, seed, size):
        super().__init__(seed, size, leaving_s=2)
        self.key_workspaces = {}
        self.key_history = []
        self.never_held = []
        self.wrong_workspaces = []
        self.wrong_refusals = []
        self.served_count = 0
        self._admitters = {}
        self._version = 0

    async def open(self):
        """Start the instances with their key lookup."""
        for number in range(12):
            self.key_workspaces[f'key-{number}'] = f'w-{number % 4}'
        await super().open()
        self.publish_manifest()
        for name, instance in self.instances.items():
            operator = instance.followers[0]
            assert operator.handler.topic == OPERATOR_TOPIC
            key_refresher = KeyRefresher(operator.refresh, instance.core.now)
            self._admitters[name] = RequestAdmitter(
                instance.core, key_refresher
            )

    def publish_manifest(self):
        """Publish a manifest with the current keys."""
        self._version += 1
        rows = {
            workspace: []
            for workspace in sorted(set(self.key_workspaces.values()))
        }
        for key, workspace in self.key_workspaces.items():
            rows[workspace].append(key)
        manifest = {
            'version': self._version,
            'routes': [ROUTE_ROW],
            'services': [{'name': SERVICE}],
            'limits': LIMITS,
            'tenants': [
                {'name': name, 'apiKeys': keys} for name, keys in rows.items()
            ],
        }
        content = json.dumps(manifest).encode()
        self.store.put(OPERATOR_TOPIC, 'config', content)
        now = asyncio.get_running_loop().time()
        self.key_history.append((now, dict(self.key_workspaces)))

    def list_workspaces_since(self, key, since):
        """Return the workspaces that held a key since a time.

        ``None`` stands for a period in which no workspace held it.
        """
        workspaces = []
        for at, held in self.key_history:
            if at <= since:
                workspaces.clear()
            workspaces.append(held.get(key))
        return workspaces

    async def serve(self, instance, host, path, headers):
        """Check the key of a request at an endpoint, and answer it."""
        key, _, sent_at = path.removeprefix('/proof/').partition('/')
        workspace = headers.get(WORKSPACE_HEADER)
        assert key not in str(dict(headers))
        if all(held.get(key) is None for _, held in self.key_history):
            self.never_held.append((key, instance))
        since = float(sent_at) - MAX_MANIFEST_DELAY_S
        if self.is_checked(
            instance
        ) and workspace not in self.list_workspaces_since(key, since):
            self.wrong_workspaces.append((key, workspace, instance, sent_at))
        self.served_count += 1
        return SimulatedResponse(200, b'whole', {STAMP_HEADER: 'signed'})

    async def send_request(self, instance, key):
        """Admit and send one request with a key, as the listener does."""
        core = instance.core
        now = core.now()
        head = RequestHead('r-1', 3, Work(), None, digest_key(key))
        path = f'/proof/{key}/{now}'
        request = SimpleNamespace(
            raw_path='/proof/',
            headers={'Host': 'desk.example'},
        )
        admitted = await self._admitters[instance.name].admit(request, head)
        admission = admitted.value_or(None)
        if admission is None:
            self._check_refusal(instance, key, now)
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
        await PlainFlow(core, Sender(core), Attempts(core, call)).run()

    async def send_requests_until(self, end):
        """Send requests with current, former and never held keys."""
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.traffic_rng.uniform(0, 0.02))
            instance = self.traffic_rng.choice(tuple(self.instances.values()))
            number = self.traffic_rng.randrange(72)
            names = (*self.key_workspaces, f'key-{number}', f'guess-{number}')
            key = self.traffic_rng.choice(names)
            request_task = asyncio.create_task(self.send_request(instance, key))
            self._request_tasks.add(request_task)
            request_task.add_done_callback(self._request_tasks.discard)

    def _check_refusal(self, instance, key, now):
        allowed = self.list_workspaces_since(key, now - MAX_MANIFEST_DELAY_S)
        if self.is_checked(instance.name) and all(allowed):
            self.wrong_refusals.append((key, instance.name, now))
