"""API keys on the request path: authentication, headers to endpoints."""

import asyncio

import pytest
from verbenahall_standins.platform import make_route

from verbenahall import journal
from verbenahall.gateway._topics import Topics

from .conftest import PREFIX, make_engines, make_plain, run, run_gateway

KEY = f'{PREFIX}Key'
WORKSPACE = f'{PREFIX}Tenant'
#: A key of each workspace, and one that is in no manifest.
CLUB, COUNCIL, UNKNOWN = 'club-key-1', 'council-key-1', 'no-such-key'
TENANTS = (
    {'name': 'club', 'apiKeys': [CLUB]},
    {'name': 'council', 'apiKeys': [COUNCIL], 'priority': 0},
)


def run_keyed_gateway(folder, engines=(), plain=()):
    """Run a gateway whose manifest requires keys from its first version."""
    return run_gateway(folder, engines, plain, manifest={'tenants': TENANTS})


def test_endpoints_get_the_workspace_and_never_the_key(tmp_path):
    """A forwarded key could be misused by the operator of the endpoint."""

    async def check():
        harness_context = run_keyed_gateway(
            tmp_path, make_engines(), make_plain(1)
        )
        async with harness_context as harness:
            headers = {KEY: CLUB, WORKSPACE: 'council'}
            for path in ('/summary/1', '/proof/1'):
                status, _, _ = await harness.send(path, headers=headers)
                assert status == 200
            site = harness.site
            prefills = [read for one in site.engines for read in one.prefills]
            runs = [*site.engines[2].runs, *site.plain[0].runs]
            assert len(prefills) == 1
            for sent in (*prefills, *runs):
                assert sent[WORKSPACE] == 'club'
                assert KEY not in sent
                assert CLUB not in str(dict(sent))

    run(check())


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {KEY: ''},
        {KEY: UNKNOWN},
        {KEY: f'{CLUB},{COUNCIL}'},
        {WORKSPACE: 'club'},
    ],
)
def test_request_without_a_known_key_does_not_run(tmp_path, headers):
    """A caller sends no key, an unknown one, or only a workspace header."""

    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            status, _, _ = await harness.send('/proof/1', headers=headers)
            assert status == 401
            assert not harness.site.plain[0].runs

    run(check())


def test_public_route_needs_no_key(tmp_path):
    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            open_route = make_route(
                '/open/', 'idempotent', 'pages', public=True
            )
            harness.site.publish([open_route])
            await harness.wait_for_manifest()
            headers = {KEY: UNKNOWN, WORKSPACE: 'club'}
            status, _, _ = await harness.send('/open/1', headers=headers)
            assert status == 200
            sent = harness.site.plain[0].runs[0]
            assert KEY not in sent
            assert WORKSPACE not in sent

    run(check())


def test_revoked_key_is_refused_and_others_stay_valid(tmp_path):
    """A key is revoked while its caller keeps its connection open."""

    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            assert (await harness.send('/proof/1', headers={KEY: CLUB}))[
                0
            ] == 200
            keyless = {**TENANTS[0], 'apiKeys': []}
            harness.site.publish(tenants=[keyless, *TENANTS[1:]])
            await harness.wait_for_manifest()
            assert (await harness.send('/proof/2', headers={KEY: CLUB}))[
                0
            ] == 401
            status, _, _ = await harness.send(
                '/proof/3', headers={KEY: COUNCIL}
            )
            assert status == 200

    run(check())


class BlockingLimiter:
    """Rate limiter that blocks every send until ``released`` is set."""

    def __init__(self):
        self.released = asyncio.Event()

    async def acquire(self, endpoint, left_s):
        await self.released.wait()

    def record_answer(self, endpoint, answer_head, sent_at):
        """Ignore the answer."""


def test_request_whose_key_is_revoked_while_it_waits_is_not_sent(tmp_path):
    """A key is revoked between the choice of an endpoint and the send."""

    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            blocking = BlockingLimiter()
            harness.gateway.core.limiter = blocking
            request = asyncio.create_task(
                harness.send('/proof/1', headers={KEY: CLUB}),
            )
            await harness.wait_until(lambda: harness.log_lines('accepted'))
            harness.site.publish(tenants=TENANTS[1:])
            await harness.wait_for_manifest()
            blocking.released.set()
            status, _, _ = await request
            assert status == 401
            assert not harness.site.plain[0].runs

    run(check())


def test_moved_key_is_sent_under_its_new_workspace(tmp_path):
    """A key is moved to another workspace while a request waits."""

    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            blocking = BlockingLimiter()
            harness.gateway.core.limiter = blocking
            request = asyncio.create_task(
                harness.send('/proof/1', headers={KEY: CLUB}),
            )
            await harness.wait_until(lambda: harness.log_lines('accepted'))
            harness.site.publish(
                tenants=[{'name': 'council', 'apiKeys': [CLUB]}],
            )
            await harness.wait_for_manifest()
            blocking.released.set()
            assert (await request)[0] == 200
            assert harness.site.plain[0].runs[0][WORKSPACE] == 'council'

    run(check())


def test_key_newer_than_the_local_manifest_is_looked_up(tmp_path):
    """A key is used at an instance whose manifest doesn't have it yet."""

    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            harness.site.store.faults.miss_wakeups = True
            await harness.wait_for_polls()
            added = [*TENANTS, {'name': 'new', 'apiKeys': ['new-key']}]
            harness.site.publish(tenants=added)
            headers = {KEY: 'new-key'}
            status, _, _ = await harness.send('/proof/1', headers=headers)
            assert status == 200

    run(check())


@pytest.mark.parametrize(
    'failure',
    [ConnectionResetError, asyncio.CancelledError, KeyError],
)
def test_unknown_key_is_refused_if_its_look_up_fails(
    tmp_path, monkeypatch, failure
):
    """The failure left the handlers of all callers that shared the look-up.

    The library closed their connections without an answer, or sent 500.
    """

    async def fail(topics):
        await asyncio.sleep(0.1)
        raise failure

    monkeypatch.setattr(Topics, 'refresh_manifest', fail)

    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            answers = await asyncio.gather(
                *(
                    harness.send('/proof/1', f'r-{number}', headers={KEY: 'x'})
                    for number in range(3)
                )
            )
            assert {status for status, _, _ in answers} == {401}

    run(check())


def test_guessed_keys_do_not_each_cost_a_store_call(tmp_path):
    """Random keys must not load the store, which all instances share."""

    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            await harness.send('/proof/1', headers={KEY: 'guess'})
            calls = harness.site.store.calls.copy()
            for number in range(50):
                headers = {KEY: f'guess-{number}'}
                status, _, _ = await harness.send('/proof/1', headers=headers)
                assert status == 401
            made = sum(harness.site.store.calls.values()) - sum(calls.values())
            assert made <= 5

    run(check())


def test_no_key_is_written_to_the_log(tmp_path):
    """Readers of the log must not get keys from it."""

    async def check():
        async with run_keyed_gateway(tmp_path, plain=make_plain(1)) as harness:
            await harness.send('/proof/1', headers={KEY: CLUB})
            await harness.send('/proof/1', headers={KEY: UNKNOWN})
            lines = str(list(journal.recent))
            assert CLUB not in lines
            assert UNKNOWN not in lines

    run(check())
