"""Crowds whose requests an instance forwards to a peer."""

import asyncio

import pytest
from verbenahall_standins.crowds import FORMS, Crowd, Form, Target
from verbenahall_standins.platform import HOST
from verbenahall_standins.soak import Cut

from verbenahall.memory import Bounds

from .conftest import run
from .cut_fleet import run_fleet

TARGET = Target(HOST, '/archive/1', '/archive/1', '/archive/2')
CLIENTS = 12
#: Bound of what the connections of an instance hold: little, so that they
#: yield.
BOUNDS = Bounds.from_total(11_000_000)


@pytest.mark.parametrize(
    'name',
    [
        'whole-bodies',
        'bodies-all-but-the-end',
        'chunked-bodies-all-but-the-end',
        'bodies-sent-ahead',
        'sent-ahead',
        'small-unread-answers',
        'one-byte-chunks',
    ],
)
def test_accounts_hold_for_a_crowd_that_is_forwarded(tmp_path, name):
    # A forwarded request is held at two instances, the second of which gets it
    # from a peer that keeps to all limits.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            states = [
                one.gateway.core.byte_budget.account.state
                for one in fleet.harnesses
            ]
            for state in states:
                state.bounds = BOUNDS
            await fleet.lose_endpoints(Cut.RESET)
            form = Form(CLIENTS, FORMS[name].make_script)
            address = cut.gateway.core.settings.callers
            async with Crowd(form, TARGET, address, send_s=1):
                for state in states:
                    assert state.held - state.going <= BOUNDS.total
                    assert state.reserved <= BOUNDS.large
            await wait_until_served(cut)
            async with asyncio.timeout(20):
                while any(one.held or one.reserved for one in states):
                    await asyncio.sleep(0.01)

    run(check())


async def wait_until_served(harness):
    """Send an ordinary upload until it is answered."""
    async with asyncio.timeout(20):
        status = None
        while status != 200:
            status, _, _ = await harness.send(
                '/archive/2', 'ordinary-1', data=bytes(100_000)
            )
            await asyncio.sleep(0.05)
