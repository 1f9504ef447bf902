"""Duty calls: the requests that are sent, and the outcomes of answers."""

import asyncio
from types import SimpleNamespace

import pytest
from aiohttp import web
from verbenahall_standins.platform._serving import listen

from verbenahall.platform import (
    DutyClient,
    DutyOutcome,
    LeaseToken,
    ScaleOrder,
    make_session,
)

LEASE_TOKEN = LeaseToken('front-1', 12)


def report(duties):
    return duties.report_usage(LEASE_TOKEN, 353_445_120, {'club': 4})


def order(duties):
    return duties.scale(
        LEASE_TOKEN, 'llm', ScaleOrder('lampeter', 6, spot=True)
    )


async def call(status, calls, make):
    async def answer(request):
        calls.append(
            SimpleNamespace(
                path=request.path,
                headers=request.headers,
                body=await request.json(),
            ),
        )
        return web.Response(status=status, text='{}')

    app = web.Application()
    app.router.add_post('/usage', answer)
    app.router.add_post('/scale', answer)
    served = await listen(app)
    session = make_session()
    duties = DutyClient(session, served.address)
    try:
        return await make(duties)
    finally:
        await session.close()
        await served.runner.cleanup()


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [
        (200, DutyOutcome.DONE),
        (409, DutyOutcome.FENCED),
        (429, DutyOutcome.BUSY),
        (503, DutyOutcome.BUSY),
        (400, DutyOutcome.REJECTED),
    ],
)
def test_usage_report_is_sent_and_its_status_is_mapped(status, outcome):
    calls = []
    assert asyncio.run(call(status, calls, report)) is outcome
    assert calls[0].headers['X-Verbenahall-Duty-Holder'] == 'front-1'
    assert calls[0].headers['X-Verbenahall-Fence-Token'] == '12'
    assert calls[0].body == {'windowId': 353_445_120, 'counts': {'club': 4}}


def test_order_for_engines_is_sent():
    calls = []
    assert asyncio.run(call(200, calls, order)) is DutyOutcome.DONE
    assert calls[0].path == '/scale'
    assert calls[0].body == {
        'service': 'llm',
        'zone': 'lampeter',
        'desired': 6,
        'spot': True,
    }


def test_report_without_an_answer_may_be_carried_out_later():
    """Nothing listens at the address, so the outcome is unknown."""

    async def check():
        session = make_session()
        duties = DutyClient(session, '127.0.0.1:9')
        outcome = await duties.report_usage(LEASE_TOKEN, 1, {})
        await session.close()
        return outcome

    assert asyncio.run(check()) is DutyOutcome.UNKNOWN
