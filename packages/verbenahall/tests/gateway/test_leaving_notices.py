"""Instances tell each other of endpoints whose answers say that they leave."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from verbenahall.gateway import _leaving_notices as leaving_notices
from verbenahall.roster import (
    Entry,
    LeavingNotice,
    Roster,
    apply_entry,
    apply_notice,
    decode_notice,
    encode_notice,
)

from .conftest import make_plain, run
from .test_repeated_crashes import run_gateways


def is_live(harness, name):
    """Whether an instance may send requests to an endpoint."""
    core = harness.gateway.core
    return core.roster.is_live(name, core.now())


def lose(datagram, address):
    """Lose a datagram."""


async def learn(harness, name):
    """Have one instance get an answer that says that the endpoint leaves."""
    endpoint = next(one for one in harness.site.plain if one.name == name)
    endpoint.notices.leaving = True
    while is_live(harness, name):
        await harness.send('/archive/1', method='GET')


async def wait_until_left(harnesses, name):
    """Wait until no instance sends requests to an endpoint."""
    await harnesses[0].wait_until(
        lambda: not any(is_live(one, name) for one in harnesses)
    )


def test_one_answer_tells_all_instances(tmp_path):
    """Each instance sent to the endpoint until it got such an answer itself."""

    async def check():
        async with run_gateways(tmp_path, plain=make_plain(3)) as harnesses:
            await learn(harnesses[0], 'page-0')
            await wait_until_left(harnesses, 'page-0')
            assert all(is_live(one, 'page-1') for one in harnesses)

    run(check())


def test_instances_are_told_after_a_partition(tmp_path, monkeypatch):
    """The first notice is lost; both sides of a partition repeat theirs."""
    monkeypatch.setattr(leaving_notices, '_REPEAT_INTERVAL_S', 0.1)

    async def check():
        async with run_gateways(tmp_path, plain=make_plain(4)) as harnesses:
            exchanges = [one.gateway.finder.exchange for one in harnesses[:2]]
            sends = [exchange.send for exchange in exchanges]
            for exchange in exchanges:
                exchange.send = lose
            await learn(harnesses[0], 'page-0')
            await learn(harnesses[1], 'page-1')
            await asyncio.sleep(0.3)
            assert is_live(harnesses[0], 'page-1')
            for exchange, send in zip(exchanges, sends, strict=True):
                exchange.send = send
            for name in ('page-0', 'page-1'):
                await wait_until_left(harnesses, name)

    run(check())


@pytest.mark.parametrize('incarnation', [('e1', 6), ('unknown', 7), ('', 0)])
def test_notice_of_another_incarnation_changes_nothing(incarnation):
    roster = Roster()
    entry = Entry(
        'e1', 'pages', '10.0.0.1:80', 'lampeter', leaving=False, born=7
    )
    apply_entry(roster, entry, now=0)
    assert not apply_notice(roster, LeavingNotice(incarnation))
    assert roster.is_live('e1', 0)
    assert not roster.announced


def test_notice_is_encoded():
    notice = LeavingNotice(('e1', 7))
    assert decode_notice(encode_notice(notice)).unwrap() == notice


@given(st.binary(max_size=40))
def test_junk_is_no_notice(junk):
    prefix = b'{"leaving":'
    for datagram in (junk, prefix + junk):
        found = decode_notice(datagram).value_or(None)
        assert found is None or isinstance(found, LeavingNotice)
