"""Answers of peers and streams that are cut, or have an odd status."""

import pytest
from verbenahall_standins.cutting import CuttingEndpoint
from verbenahall_standins.platform import RawEndpoint
from verbenahall_standins.soak import Cut

from .conftest import run, run_gateway
from .cut_fleet import run_fleet
from .test_cut_uploads import STATUSES, UPLOAD_BYTES, make_part
from .test_unframed_streams import register_engine


PAGE = (
    b'HTTP/1.1 %b OK\r\nX-Verbenahall-Server-Stamp: s\r\n'
    b'Content-Length: 4\r\n\r\npage'
)
STREAM = (
    b'HTTP/1.1 %b OK\r\nX-Verbenahall-Server-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\n'
    b'Verbenahall-Stream-Version: v1\r\n\r\n'
    b'id: 1\ndata: token-1\n\n'
)


@pytest.mark.parametrize('reset', [True, False])
@pytest.mark.parametrize('read_bytes', [0, 65_536, 1_500_000, 2_900_000])
def test_answer_of_a_peer_that_is_cut_is_not_whole(tmp_path, read_bytes, reset):
    # A caller may get a part of an answer without a length as the whole answer,
    # if the connection to the peer is reset while the request is written.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            cutting = CuttingEndpoint(make_part, read_bytes, reset=reset)
            async with fleet.open_peer(cutting):
                for number in range(4):
                    status, _, body = await cut.send(
                        '/proof/1', f'r-{number}', data=bytes(UPLOAD_BYTES)
                    )
                    assert status in {502, 504}
                    assert b'part' not in body
            assert cutting.requests

    run(check())


@pytest.mark.parametrize('status', STATUSES)
def test_answer_of_a_peer_with_another_status_is_none(tmp_path, status):
    # RFC 9110 (15): a status outside of 100 to 599 is invalid.
    async def check():
        async with run_fleet(tmp_path) as fleet:
            cut = fleet.harnesses[0]
            await fleet.lose_endpoints(Cut.RESET)
            for path in ('/proof/1', '/blurb/1'):
                async with fleet.run_peer((PAGE % status, b'')) as peer:
                    found, _, body = await cut.send(path, path)
                    assert peer.requests
                    assert found in {502, 504}
                    assert b'page' not in body

    run(check())


@pytest.mark.parametrize('status', STATUSES)
def test_stream_with_another_status_is_none(tmp_path, status):
    async def check():
        raw = RawEndpoint((STREAM % status, b''))
        async with run_gateway(tmp_path) as harness:
            await register_engine(harness, raw)
            found, _, body = await harness.send('/blurb/1')
            assert raw.requests
            assert found >= 500
            assert b'token' not in body
            await raw.stop()

    run(check())
