"""Access to the administration API."""

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
    """Return a token's digest, as stored in the settings."""
    return hashlib.sha256(token.encode()).hexdigest()


CREDENTIALS = (
    CredentialConfig('desk', digest(DESK), ''),
    CredentialConfig('atlas', digest(ATLAS), 'atlas'),
    CredentialConfig('platform', digest(PLATFORM), '/'),
)


def build_settings():
    """Return settings with a workspace of each team and one refusal."""
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


#: The default limits of a settings file.
LIMITS = LimitsConfig(
    **check_table(
        {},
        INSTANCE_SCHEMA.members['limits'],
        Source('defaults'),
    ).unwrap(),
)


@contextlib.asynccontextmanager
async def run_api():
    """Run an API on the settings; yield its address."""
    app = web.Application()
    AdminApi(
        ('entry-1', 'lampeter', 'f00'),
        AdminConfig(CREDENTIALS),
        build_settings(),
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
    """Return the status and body of one response."""
    headers = {'Authorization': header} if header else {}
    async with run_api() as address, ClientSession() as session:
        url = f'{address}/admin/v1/{view}'
        async with session.get(url, headers=headers) as answer:
            return answer.status, await answer.json()


def get_as(view, token=DESK):
    """Get a view with a team's token."""
    return asyncio.run(get(view, f'Bearer {token}'))


@pytest.mark.parametrize(
    'header',
    ['', 'Bearer ', 'Bearer desk', f'Basic {DESK}', DESK, f'Bearer {DESK}x'],
)
@pytest.mark.parametrize('view', ['status', 'settings', 'history', 'explain'])
def test_no_view_without_a_valid_token(view, header):
    """A client reaches the port but has no valid token."""
    status, body = asyncio.run(get(view, header))

    assert status == 401
    assert body['error']['kind'] == 'unauthorized'
    assert body['error']['ran'] == 'no'


def test_every_token_is_compared(monkeypatch):
    """An attacker measures how long a rejection takes.

    If the comparison stopped early, the time would depend on the credential.
    """
    compared = []
    monkeypatch.setattr(
        'hmac.compare_digest',
        lambda kept, given: compared.append(kept) or kept == given,
    )

    assert get_as('status', DESK)[0] == 200
    assert len(compared) == len(CREDENTIALS)


@pytest.mark.parametrize(
    ('token', 'names'),
    [
        (DESK, {'club'}),
        (ATLAS, {'grid'}),
        (PLATFORM, {'club', 'grid'}),
    ],
)
def test_settings_show_only_the_subtree(token, names):
    """A team's credential requests all settings."""
    _, body = get_as('settings', token)

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
    """A team's credential requests another team's history."""
    assert get_as(f'history?path={path}')[0] == status


def test_history_shows_team_and_refusal():
    """The history shows who published a change and why it was refused."""
    _, body = get_as('history?path=desk/workspaces/club')
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


def test_status_shows_position_and_reason():
    """An instance that is not ready returns the reason."""
    _, body = get_as('status')

    assert body['settings_position'] == 4
    assert (body['ready'], body['reason']) == (False, 'no settings yet')
    assert body['settings_age_s'] is None


@pytest.mark.parametrize(
    ('token', 'count'),
    [(DESK, 1), (ATLAS, 0), (PLATFORM, 1)],
)
def test_decisions_on_other_teams_are_not_shown(token, count):
    """A team requests the decisions on another team's request."""
    journal.write_decision('route', request='r-9', workspace='club')
    _, body = get_as('explain?request=r-9', token)

    journal.recent.clear()
    assert len(body['decisions']) == count
