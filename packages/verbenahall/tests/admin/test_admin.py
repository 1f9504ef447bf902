"""The administration API: who may read what."""

import asyncio
import contextlib
import hashlib

import pytest
from aiohttp import ClientSession, web

from verbenahall import journal
from verbenahall.admin import AdminApi, Readiness
from verbenahall.config import (
    INSTANCE_SCHEMA,
    AdminConfig,
    CredentialConfig,
    LimitsConfig,
)
from verbenahall.front import Runner
from verbenahall.log import LogFollower
from verbenahall.records import Record
from verbenahall.schema import Source, check_table
from verbenahall.settings import SettingsState, apply_record

DESK, ATLAS, PLATFORM = 'desk-token', 'atlas-token', 'platform-token'


def digest(token):
    """Return what the settings keep of a token."""
    return hashlib.sha256(token.encode()).hexdigest()


CREDENTIALS = (
    CredentialConfig('desk', digest(DESK), ''),
    CredentialConfig('atlas', digest(ATLAS), 'atlas'),
    CredentialConfig('platform', digest(PLATFORM), '/'),
)


def fold_settings():
    """Return a state with a workspace of each team and one refusal."""
    state = SettingsState()
    rows = [
        ('desk', 'desk/workspaces/club', 0, {'queue': 5}),
        ('atlas', 'atlas/workspaces/grid', 0, {}),
        ('desk', 'desk/workspaces/club', 0, {'queue': 6}),
        ('atlas', 'desk/workspaces/club', 1, None),
    ]
    for offset, (team, path, base, value) in enumerate(rows, start=1):
        change = {'path': path, 'base': base, 'value': value}
        body = {'team': team, 'author': 'ann', 'changes': [change]}
        apply_record(state, Record(offset, 'settings', f'i{offset}', body))
    return state


#: The limits of a settings file that gives none.
LIMITS = LimitsConfig(
    **check_table(
        {},
        INSTANCE_SCHEMA.members['limits'],
        Source('defaults'),
    ).unwrap(),
)


@contextlib.asynccontextmanager
async def serving():
    """Yield the address of an API over the folded settings."""
    app = web.Application()
    AdminApi(
        ('entry-1', 'lampeter', 'f00'),
        AdminConfig(CREDENTIALS),
        fold_settings(),
        LogFollower(None, ()),
        lambda: Readiness(ready=False, reason='no settings yet'),
    ).add_routes(app)
    runner = Runner(app, LIMITS)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0]
    yield f'http://{host}:{port}'
    await runner.cleanup()


async def get(view, header):
    """Return the status and the body of one answer."""
    headers = {'Authorization': header} if header else {}
    async with serving() as address, ClientSession() as session:
        url = f'{address}/admin/v1/{view}'
        async with session.get(url, headers=headers) as answer:
            return answer.status, await answer.json()


def ask(view, token=DESK):
    """Ask as the token's owner."""
    return asyncio.run(get(view, f'Bearer {token}'))


@pytest.mark.parametrize(
    'header',
    ['', 'Bearer ', 'Bearer desk', f'Basic {DESK}', DESK, f'Bearer {DESK}x'],
)
@pytest.mark.parametrize('view', ['status', 'settings', 'history', 'explain'])
def test_no_view_without_a_valid_token(view, header):
    """Somebody who reaches the port asks without a team's token."""
    status, body = asyncio.run(get(view, header))

    assert status == 401
    assert body['error']['kind'] == 'unauthorized'
    assert body['error']['ran'] == 'no'


def test_every_token_is_compared(monkeypatch):
    """A guesser measures how long a refusal takes.

    The first credential that matched or failed early would show in it.
    """
    compared = []
    monkeypatch.setattr(
        'hmac.compare_digest',
        lambda kept, given: compared.append(kept) or kept == given,
    )

    assert ask('status', DESK)[0] == 200
    assert len(compared) == len(CREDENTIALS)


@pytest.mark.parametrize(
    ('token', 'names'),
    [
        (DESK, {'club'}),
        (ATLAS, {'grid'}),
        (PLATFORM, {'club', 'grid'}),
    ],
)
def test_settings_show_the_subtree_only(token, names):
    """A team's credential asks for all settings."""
    _, body = ask('settings', token)

    assert set(body['workspaces']) == names


@pytest.mark.parametrize(
    ('path', 'status'),
    [
        ('desk/workspaces/club', 200),
        ('desk', 200),
        ('atlas/workspaces/grid', 403),
        ('desktop/workspaces/x', 403),
        ('', 403),
    ],
)
def test_history_outside_the_subtree_is_refused(path, status):
    """A team's credential asks for another team's history."""
    assert ask(f'history?path={path}')[0] == status


def test_history_tells_who_what_and_why_refused():
    """An operator looks for what became of a change."""
    _, body = ask('history?path=desk/workspaces/club')
    seen = [
        (row['offset'], row['team'], row['refusal'] and row['refusal']['kind'])
        for row in body['verdicts']
    ]

    assert seen == [
        (1, 'desk', None),
        (3, 'desk', 'stale_base'),
        (4, 'atlas', 'outside_subtree'),
    ]
    assert (body['offset'], body['value']) == (1, {'queue': 5})


def test_status_tells_position_and_reason():
    """An instance that is not ready says why."""
    _, body = ask('status')

    assert body['settings_position'] == 4
    assert (body['ready'], body['reason']) == (False, 'no settings yet')
    assert body['settings_age_s'] is None


@pytest.mark.parametrize(
    ('token', 'count'),
    [(DESK, 1), (ATLAS, 0), (PLATFORM, 1)],
)
def test_decisions_on_other_teams_are_not_shown(token, count):
    """A team asks why another team's request went where it did."""
    journal.write_decision('route', request='r-9', workspace='club')
    _, body = ask('explain?request=r-9', token)

    journal.recent.clear()
    assert len(body['decisions']) == count
