"""An endpoint states in its answers that it leaves, before the store does."""

from .conftest import make_plain, run, run_gateway
from .notices import list_late_arrivals, send_every


def test_endpoint_that_announces_its_leaving_gets_no_requests(tmp_path):
    """The store confirms the leaving seconds after the endpoint's answers."""

    async def check():
        async with run_gateway(tmp_path, plain=make_plain(3)) as harness:
            leaving = harness.site.plain[0]
            leaving.notices.leaving = True
            answers = await send_every(harness, ['/archive/1', '/proof/1'], 3)
            assert {status for status, _, _ in answers} == {200}
            assert leaving.notices.sent
            assert not list_late_arrivals(leaving)

    run(check())
