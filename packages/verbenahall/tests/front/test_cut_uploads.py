"""Answers that break off while the request is still being written."""

import asyncio
import functools
import types

import pytest
from verbenahall_standins.cutting import CuttingEndpoint

from verbenahall.fleet import EndpointKind, EndpointStatus

UPLOAD_BYTES = 3_000_000
#: A part of an answer that has no length and ends with its connection.
PART = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart part part'
REQUESTS = 8
SERVICE = '/services/pages/read'
MODEL = '/v1/completions'
STATUSES = (b'000', b'001', b'099', b'600', b'666', b'999', b'20', b'2000')


def make_part(head):
    """Return the beginning of an answer."""
    return PART


def make_odd_answer(status, head):
    """Return a whole answer with an odd status."""
    return b'HTTP/1.1 %b OK\r\nContent-Length: 4\r\n\r\npage' % status


async def send_all(run_front, cutting, kind, path, count, body):
    """Send requests one after the other; return their answers."""
    await cutting.start()
    endpoint = types.SimpleNamespace(
        name=cutting.name, address=cutting.address, status=EndpointStatus.LIVE
    )
    async with run_front(
        [endpoint], kind, body_bytes=2 * UPLOAD_BYTES
    ) as harness:
        answers = []
        for number in range(count):
            headers = {'Idempotency-Key': f'k{number}', 'X-Deadline-Ms': '2000'}
            if path == MODEL:
                answers.append(await harness.post(headers=headers))
                continue
            async with harness.client.post(
                harness.url + path, data=body, headers=headers
            ) as answer:
                answers.append((answer.status, None, await answer.read()))
    await cutting.stop()
    assert cutting.requests
    return answers


@pytest.mark.parametrize('reset', [True, False])
@pytest.mark.parametrize('read_bytes', [0, 65_536, 1_500_000, 2_900_000])
def test_answer_cut_during_the_upload_is_not_whole(
    run_front, read_bytes, reset
):
    # A caller got a part of an answer without a length as the whole answer.
    cutting = CuttingEndpoint(make_part, read_bytes, reset=reset)
    answers = asyncio.run(
        send_all(
            run_front,
            cutting,
            EndpointKind.SERVICE,
            SERVICE,
            REQUESTS,
            bytes(UPLOAD_BYTES),
        )
    )
    assert all(status >= 500 for status, _, _ in answers)
    assert not any(b'part' in body for _, _, body in answers)


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize(
    ('kind', 'path'),
    [(EndpointKind.SERVICE, SERVICE), (EndpointKind.ENGINE, MODEL)],
)
def test_answer_with_another_status_is_none(run_front, kind, path, status):
    # RFC 9110 (15): a status outside of 100 to 599 is invalid.
    make = functools.partial(make_odd_answer, status)
    odd = CuttingEndpoint(make, 0, reset=False)
    answers = asyncio.run(send_all(run_front, odd, kind, path, 1, b''))
    for found, _, body in answers:
        assert 500 <= found <= 599
        assert b'page' not in body
