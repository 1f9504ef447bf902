"""API keys on the whole path: who may ask, and what endpoints are told."""

import asyncio

import pytest
from verbenahall_standins.platform import make_route

from verbenahall import journal

from .conftest import PREFIX, make_engines, make_plain, open_desk, run

KEY = f'{PREFIX}Key'
WORKSPACE = f'{PREFIX}Tenant'
#: A key of each workspace, and one that no manifest ever held.
CLUB, COUNCIL, STRANGE = 'club-key-1', 'council-key-1', 'no-such-key'
TENANTS = (
    {'name': 'club', 'apiKeys': [CLUB]},
    {'name': 'council', 'apiKeys': [COUNCIL], 'priority': 0},
)


def open_keyed_desk(folder, engines=(), plain=()):
    """Run a gateway whose manifest asks for keys from its first version."""
    return open_desk(folder, engines, plain, manifest={'tenants': TENANTS})


def test_endpoints_get_the_workspace_and_never_the_key(tmp_path):
    """A key that is passed on can be used by whoever runs the endpoint."""

    async def check():
        desk_of = open_keyed_desk(tmp_path, make_engines(), make_plain(1))
        async with desk_of as desk:
            headers = {KEY: CLUB, WORKSPACE: 'council'}
            for path in ('/summary/1', '/proof/1'):
                status, _, _ = await desk.ask(path, headers=headers)
                assert status == 200
            site = desk.site
            reads = [read for one in site.engines for read in one.reads]
            runs = [*site.engines[2].runs, *site.plain[0].runs]
            assert len(reads) == 1
            for sent in (*reads, *runs):
                assert sent[WORKSPACE] == 'club'
                assert KEY not in sent
                assert CLUB not in str(dict(sent))

    run(check())


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {KEY: ''},
        {KEY: STRANGE},
        {KEY: f'{CLUB},{COUNCIL}'},
        {WORKSPACE: 'club'},
    ],
)
def test_request_without_a_known_key_does_not_run(tmp_path, headers):
    """A caller names a workspace, or guesses a key."""

    async def check():
        async with open_keyed_desk(tmp_path, plain=make_plain(1)) as desk:
            status, _, _ = await desk.ask('/proof/1', headers=headers)
            assert status == 401
            assert not desk.site.plain[0].runs

    run(check())


def test_public_route_needs_no_key(tmp_path):
    async def check():
        async with open_keyed_desk(tmp_path, plain=make_plain(1)) as desk:
            open_route = make_route(
                '/open/', 'idempotent', 'pages', public=True
            )
            desk.site.publish([open_route])
            await desk.until_in_force()
            headers = {KEY: STRANGE, WORKSPACE: 'club'}
            status, _, _ = await desk.ask('/open/1', headers=headers)
            assert status == 200
            sent = desk.site.plain[0].runs[0]
            assert KEY not in sent
            assert WORKSPACE not in sent

    run(check())


def test_revoked_key_is_refused_and_the_others_go_on(tmp_path):
    """A key is taken away while its caller keeps its connection open."""

    async def check():
        async with open_keyed_desk(tmp_path, plain=make_plain(1)) as desk:
            assert (await desk.ask('/proof/1', headers={KEY: CLUB}))[0] == 200
            keyless = {**TENANTS[0], 'apiKeys': []}
            desk.site.publish(tenants=[keyless, *TENANTS[1:]])
            await desk.until_in_force()
            assert (await desk.ask('/proof/2', headers={KEY: CLUB}))[0] == 401
            status, _, _ = await desk.ask('/proof/3', headers={KEY: COUNCIL})
            assert status == 200

    run(check())


class HeldSends:
    """Holds every send until a test lets it go."""

    def __init__(self):
        self.let_go = asyncio.Event()

    async def acquire(self, endpoint, left_s):
        await self.let_go.wait()

    def note_answer(self, endpoint, facts, sent_at):
        """Learn nothing."""


def test_key_that_goes_while_its_request_waits_is_not_sent_on(tmp_path):
    """A key is taken away between the choice of an endpoint and the send."""

    async def check():
        async with open_keyed_desk(tmp_path, plain=make_plain(1)) as desk:
            held = HeldSends()
            desk.gateway.core.limiter = held
            asked = asyncio.create_task(
                desk.ask('/proof/1', headers={KEY: CLUB}),
            )
            await desk.until(lambda: desk.decisions('accepted'))
            desk.site.publish(tenants=TENANTS[1:])
            await desk.until_in_force()
            held.let_go.set()
            status, _, _ = await asked
            assert status == 401
            assert not desk.site.plain[0].runs

    run(check())


def test_key_that_moves_is_sent_under_its_new_workspace(tmp_path):
    """A key is given to another workspace while a request waits."""

    async def check():
        async with open_keyed_desk(tmp_path, plain=make_plain(1)) as desk:
            held = HeldSends()
            desk.gateway.core.limiter = held
            asked = asyncio.create_task(
                desk.ask('/proof/1', headers={KEY: CLUB}),
            )
            await desk.until(lambda: desk.decisions('accepted'))
            desk.site.publish(
                tenants=[{'name': 'council', 'apiKeys': [CLUB]}],
            )
            await desk.until_in_force()
            held.let_go.set()
            assert (await asked)[0] == 200
            assert desk.site.plain[0].runs[0][WORKSPACE] == 'council'

    run(check())


def test_key_newer_than_the_manifest_known_is_looked_up(tmp_path):
    """A key is used at an instance that has not read of it yet."""

    async def check():
        async with open_keyed_desk(tmp_path, plain=make_plain(1)) as desk:
            desk.site.store.faults.deaf = True
            await desk.until_quiet()
            added = [*TENANTS, {'name': 'new', 'apiKeys': ['new-key']}]
            desk.site.publish(tenants=added)
            headers = {KEY: 'new-key'}
            status, _, _ = await desk.ask('/proof/1', headers=headers)
            assert status == 200

    run(check())


def test_guessed_keys_buy_no_call_to_the_store_each(tmp_path):
    """A caller tries keys at random; the store is shared by all instances."""

    async def check():
        async with open_keyed_desk(tmp_path, plain=make_plain(1)) as desk:
            await desk.ask('/proof/1', headers={KEY: 'guess'})
            calls = desk.site.store.calls.copy()
            for number in range(50):
                headers = {KEY: f'guess-{number}'}
                status, _, _ = await desk.ask('/proof/1', headers=headers)
                assert status == 401
            made = sum(desk.site.store.calls.values()) - sum(calls.values())
            assert made <= 5

    run(check())


def test_no_key_is_written_to_the_log(tmp_path):
    """A log that holds keys gives them to everybody who reads it."""

    async def check():
        async with open_keyed_desk(tmp_path, plain=make_plain(1)) as desk:
            await desk.ask('/proof/1', headers={KEY: CLUB})
            await desk.ask('/proof/1', headers={KEY: STRANGE})
            lines = str(list(journal.recent))
            assert CLUB not in lines
            assert STRANGE not in lines

    run(check())
