"""What a keyed call costs in appends and milliseconds, against the log.

``python -m verbenahall_standins.claim_cost --instances 9 --rates 5 50 500``
starts the log's stand-in, lets that many claim folds in one process claim
keys at each rate (keys a second over all), and prints a line for each.
"""

import argparse
import asyncio
import itertools
import statistics
import sys
from collections.abc import Sequence
from typing import Final, final

from aiohttp import ClientSession, TCPConnector
from returns.result import Success

from verbenahall import clock, journal
from verbenahall.claims import Claims, ClaimsTiming
from verbenahall.log import LogClient, LogFollower
from verbenahall.records import CLAIMS_STREAM
from verbenahall_standins import process

_MS: Final = 1000
_SHARE: Final = 20.0
_LEAD_S: Final = 0.2
_PERCENT: Final = 100
_LINE: Final = (
    '{0:g} keys/s over {1} instances: {2} won of {3}, '
    'p50 {4:.1f} ms, p99 {5:.1f} ms, {6:.1f} appends/s, {7:.2f} keys each\n'
)


@final
class Claimers:
    """Claim folds that follow one log, as many instances would."""

    def __init__(self, address: str, session: ClientSession) -> None:
        """Use the log at an address."""
        self.folds: list[Claims] = []
        self._address = address
        self._session = session
        self._tasks: list[asyncio.Task[None]] = []

    def add(self, timing: ClaimsTiming) -> None:
        """Start one more fold with its follower."""
        name = f'i{len(self.folds)}'
        client = LogClient(self._address, self._session, name)
        claims = Claims(client, name, timing)
        follower = LogFollower(
            client,
            (claims.apply_record,),
            streams=(CLAIMS_STREAM,),
        )
        self._tasks.append(asyncio.create_task(claims.run()))
        self._tasks.append(asyncio.create_task(follower.run()))
        self.folds.append(claims)

    def count_appends(self) -> int:
        """Return the appends that all folds have tried."""
        return sum(one.batcher.appends for one in self.folds)

    async def stop(self) -> None:
        """End all loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _claim(
    claims: Claims,
    key: str,
    due_at: float,
) -> tuple[bool, float]:
    await asyncio.sleep(due_at - clock.monotonic())
    verdict = await claims.claim('desk', key)
    took_ms = (clock.monotonic() - due_at) * _MS
    return isinstance(verdict, Success), took_ms


async def _drive(
    claimers: Claimers,
    rate: float,
    seconds: float,
) -> list[tuple[bool, float]]:
    """Claim at an even rate, whether or not earlier claims have ended."""
    began_at = clock.monotonic() + _LEAD_S
    folds = itertools.cycle(claimers.folds)
    calls = [
        _claim(next(folds), f'{rate}/{number}', began_at + number / rate)
        for number in range(int(rate * seconds))
    ]
    return await asyncio.gather(*calls)


async def measure(
    address: str,
    rate: float,
    options: argparse.Namespace,
) -> None:
    """Measure one rate and print what it cost."""
    timing = ClaimsTiming(appends_per_s=options.share)
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector) as session:
        claimers = Claimers(address, session)
        for _ in range(options.instances):
            claimers.add(timing)
        await _drive(claimers, options.instances, 1)
        before = claimers.count_appends()
        outcomes = await _drive(claimers, rate, options.seconds)
        appends = claimers.count_appends() - before
        await claimers.stop()
    _write(rate, options, outcomes, appends)


def _write(
    rate: float,
    options: argparse.Namespace,
    outcomes: Sequence[tuple[bool, float]],
    appends: int,
) -> None:
    won = sum(verdict for verdict, _ in outcomes)
    cuts = statistics.quantiles(
        (took_ms for _, took_ms in outcomes),
        n=_PERCENT,
    )
    line = _LINE.format(
        rate,
        options.instances,
        won,
        len(outcomes),
        cuts[_PERCENT // 2 - 1],
        cuts[-1],
        appends / options.seconds,
        len(outcomes) / max(appends, 1),
    )
    sys.stdout.write(line)


def main() -> None:
    """Start the log, measure, stop the log."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=9)
    parser.add_argument('--rates', type=float, nargs='+', default=[5])
    parser.add_argument('--seconds', type=float, default=6)
    parser.add_argument('--share', type=float, default=_SHARE)
    options = parser.parse_args()
    journal.start_logging(decisions=False)
    log = process.start('verbenahall_standins.log', '--port', '0')
    try:
        for rate in options.rates:
            asyncio.run(measure(log.address, rate, options))
    finally:
        log.stop()


if __name__ == '__main__':
    main()
