"""The metrics that operators read at the metrics port."""

import re

from .conftest import make_engines, make_plain, run, run_gateway

#: The series that the operators' documentation lists, and the least increase of
#: each by one stream and one plain call.
SERIES = {
    'verbenahall_requests_total': 2,
    'verbenahall_first_token_seconds_count': 1,
    'verbenahall_read_seconds_count': 1,
    'verbenahall_send_left_seconds_count': 3,
    'verbenahall_belief_age_seconds_count': 2,
    'verbenahall_sends_total': 2,
    'verbenahall_read_tokens_total': 1000,
}


async def read_totals(harness):
    """Return each series' sum over its labels."""
    settings = harness.gateway.core.settings
    url = f'http://{settings.ip}:{settings.metrics_port}/metrics'
    async with harness.session.get(url) as response:
        assert response.status == 200
        text = await response.text()
    totals = {}
    for name, count in re.findall(
        r'^(\w+)(?:{.*?})? (\S+)$', text, re.MULTILINE
    ):
        totals[name] = totals.get(name, 0) + float(count)
    return totals


def test_requests_are_counted(tmp_path):
    async def check():
        async with run_gateway(
            tmp_path, make_engines(), make_plain(1)
        ) as harness:
            before = await read_totals(harness)
            assert (await harness.send('/blurb/1'))[0] == 200
            assert (await harness.send('/archive/1', method='GET'))[0] == 200
            after = await read_totals(harness)
            for name, least in SERIES.items():
                assert after[name] - before.get(name, 0) >= least, name
            # The manifest and the list of endpoints were read at the start.
            assert after['verbenahall_store_calls_total'] >= 2

    run(check())


def test_accepted_request_logs_the_state_that_it_is_routed_by(tmp_path):
    # If a request was sent to an endpoint that was gone, the logged age shows
    # whether the instance used an old list of endpoints.
    async def check():
        async with run_gateway(tmp_path, plain=make_plain(1)) as harness:
            await harness.send('/archive/1', method='GET')
            line = harness.log_lines('accepted')[0]
            assert line['version'] == 1
            assert 0 <= line['belief_s'] < 2

    run(check())
