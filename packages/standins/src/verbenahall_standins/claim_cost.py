"""Cost of claiming idempotency keys: appends to the log and latency.

``python -m verbenahall_standins.claim_cost --instances 9 --rates 5 50 500``
starts the stand-in of the log and, in one process, the claim state of each
instance. They claim keys at each total rate (keys a second); a line is
printed for each rate.
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
#: Default limit on the appends of one instance, per second.
_APPENDS_PER_S: Final = 20.0
#: Seconds until the first claim is due, so that all claims are scheduled by
#: then.
_START_DELAY_S: Final = 0.2
_PERCENT: Final = 100
_LINE: Final = (
    '{0:g} keys/s over {1} instances: {2} won of {3}, '
    'p50 {4:.1f} ms, p99 {5:.1f} ms, {6:.1f} appends/s, {7:.2f} keys each\n'
)


@final
class ClaimClients:
    """Claim states of several instances that follow one log."""

    def __init__(self, address: str, session: ClientSession) -> None:
        """Use the log at ``address``."""
        self.folds: list[Claims] = []
        self._address = address
        self._session = session
        self._tasks: list[asyncio.Task[None]] = []

    def add(self, timing: ClaimsTiming) -> None:
        """Start the claim state of one more instance, with its log follower."""
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
        """Return the number of appends tried by all instances."""
        return sum(one.batcher.appends for one in self.folds)

    async def stop(self) -> None:
        """Cancel all tasks."""
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


async def _claim_at_rate(
    clients: ClaimClients,
    rate: float,
    seconds: float,
) -> list[tuple[bool, float]]:
    """Claim at a constant rate, without waiting for earlier claims."""
    began_at = clock.monotonic() + _START_DELAY_S
    folds = itertools.cycle(clients.folds)
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
    """Measure the cost at one rate and print it."""
    timing = ClaimsTiming(appends_per_s=options.share)
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector) as session:
        clients = ClaimClients(address, session)
        for _ in range(options.instances):
            clients.add(timing)
        await _claim_at_rate(clients, options.instances, 1)
        before = clients.count_appends()
        outcomes = await _claim_at_rate(clients, rate, options.seconds)
        appends = clients.count_appends() - before
        await clients.stop()
    _print_line(rate, options, outcomes, appends)


def _print_line(
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
    """Start the log, measure each rate and stop the log."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=9)
    parser.add_argument('--rates', type=float, nargs='+', default=[5])
    parser.add_argument('--seconds', type=float, default=6)
    parser.add_argument('--share', type=float, default=_APPENDS_PER_S)
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
