"""Fetches snapshots from peers if the log is unreachable."""

import asyncio
from collections.abc import Sequence
from typing import Final

import aiohttp
from returns.result import Failure, Result, Success

from verbenahall.bodies import ProgressTimeout, read_body
from verbenahall.errors import ErrorKind, Problem
from verbenahall.snapshots._messages import Snapshot
from verbenahall.snapshots._packing import decode_packed, unpack

SNAPSHOT_PATH: Final = '/peer/v1/snapshot'
#: Timeout of the head of a snapshot, and of each further byte, in seconds.
_TIMEOUT_S: Final = 5.0
#: Bytes of a packed snapshot at most.
_MAX_BYTES: Final = 134_217_728
#: Maximum number of peers to fetch from; the newest of a few is enough.
_MAX_PEERS: Final = 3
_OK: Final = 200


async def fetch_newest(
    session: aiohttp.ClientSession,
    addresses: Sequence[str],
) -> Snapshot | None:
    """Return the newest valid snapshot of the first peers, if any."""
    answers = await asyncio.gather(
        *(_fetch(session, address) for address in addresses[:_MAX_PEERS]),
    )
    snapshots = [
        answer.unwrap() for answer in answers if isinstance(answer, Success)
    ]
    return max(snapshots, key=lambda found: found.upto, default=None)


async def _fetch(
    session: aiohttp.ClientSession,
    address: str,
) -> Result[Snapshot, Problem]:
    try:
        async with (
            ProgressTimeout(_TIMEOUT_S, _TIMEOUT_S) as timeout,
            session.get(f'http://{address}{SNAPSHOT_PATH}') as answer,
        ):
            body = await read_body(answer, _MAX_BYTES, timeout.extend)
            status = answer.status
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        return _fail(address, str(error))
    if status != _OK:
        return _fail(address, f'answered {status}')
    return decode_packed(body).bind(unpack)


def _fail(address: str, reason: str) -> Result[Snapshot, Problem]:
    return Failure(
        Problem(ErrorKind.NOT_READY, f'peer {address}: {reason}'),
    )
