"""An endpoint refuses requests and states for how long it wants none."""

from .conftest import make_plain, run, run_gateway
from .notices import MAX_ARRIVALS, count_arrivals_in_backoff, send_every


def test_endpoint_gets_no_requests_in_a_requested_backoff(tmp_path):
    """A refusal put an endpoint aside for half a second, whatever it stated."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(3)) as harness:
            refusing = harness.site.plain[0]
            refusing.refuses = True
            refusing.notices.request_backoff(3)
            answers = await send_every(harness, ['/archive/1', '/proof/1'], 3)
            assert {status for status, _, _ in answers} == {200}
            assert refusing.notices.sent
            assert count_arrivals_in_backoff(refusing) <= MAX_ARRIVALS

    run(check())
