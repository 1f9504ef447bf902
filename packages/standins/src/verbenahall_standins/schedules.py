"""Pauses lease holders at random and checks the engine's record.

``python -m verbenahall_standins.schedules --count 50`` runs that many
schedules. In each, two holder processes order different versions of a model
for one engine, and are stopped and resumed at random, always for less than
the longest pause in their settings. The engine must not have accepted an
order of a former holder. Prints a line for each schedule.
"""

import argparse
import json
import random
import sys
import time
from collections.abc import Iterable, Mapping, Sequence
from concurrent import futures
from types import MappingProxyType
from typing import Final
from urllib import request as requests

from verbenahall_standins.process import RunningProcess, start

Flags = tuple[tuple[str, ...], ...]

_LONGEST_PAUSE_S: Final = 2.0
_MIN_PAUSE_S: Final = 0.2
#: Well below the longest pause, since this process may resume a holder late.
_MAX_PAUSE_S: Final = 1.6
_PAUSE_COUNT: Final = 4
_VIOLATED: Final = 'BROKEN'
#: Flags of the engine and of the holders, by kind of engine.
_KINDS: Final[Mapping[str, Flags]] = MappingProxyType(
    {
        'checks': ((), ()),
        'ignores': (('--ignore-fencing',), ('--ignores',)),
    },
)
_HTTP_TIMEOUT_S: Final = 10
_ACCEPTED: Final = 202


def start_holder(
    name: str,
    log: RunningProcess,
    engine: RunningProcess,
    flags: tuple[str, ...],
) -> RunningProcess:
    """Start a holder that orders its own name as the model version."""
    return start(
        'verbenahall_standins.holder',
        '--name',
        name,
        '--version',
        name,
        '--log',
        log.address,
        '--engine',
        engine.address,
        '--longest-pause',
        str(_LONGEST_PAUSE_S),
        *flags,
    )


def run_schedule(seed: int) -> str:
    """Run one schedule and return its line of output."""
    rng = random.Random(seed)
    kind = rng.choice(tuple(_KINDS))
    engine_flags, holder_flags = _KINDS[kind]
    log = start('verbenahall_standins.log')
    engine = start(
        'verbenahall_standins.engine',
        '--speed',
        '32',
        *engine_flags,
    )
    holders = [start_holder(name, log, engine, holder_flags) for name in 'ab']
    try:
        tokens = _pause_randomly(holders, engine, rng)
    finally:
        _kill_all((*holders, engine, log))
    finding = 'kept' if tokens == sorted(tokens) else _VIOLATED
    return f'{seed}: {kind}, accepted under {tokens}, {finding}'


def _kill_all(started: Iterable[RunningProcess]) -> None:
    for running in started:
        running.kill()


def _pause_randomly(
    holders: Sequence[RunningProcess],
    engine: RunningProcess,
    rng: random.Random,
) -> list[int]:
    for _ in range(_PAUSE_COUNT):
        time.sleep(rng.uniform(1, _LONGEST_PAUSE_S + 1))
        stopped = rng.choice(holders)
        stopped.pause()
        time.sleep(rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
        stopped.resume()
    time.sleep(2 * _LONGEST_PAUSE_S)
    return _list_accepted(engine)


def _list_accepted(engine: RunningProcess) -> list[int]:
    """Return the tokens of the orders that the engine accepted, in order."""
    url = f'http://{engine.address}/record'
    with requests.urlopen(url, timeout=_HTTP_TIMEOUT_S) as answer:
        orders = json.load(answer)['orders']
    return [
        order['fencing'] for order in orders if order.get('status') == _ACCEPTED
    ]


def main() -> None:
    """Run the schedules; exit with 1 if one shows a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--count', type=int, default=4)
    parser.add_argument('--jobs', type=int, default=4)
    options = parser.parse_args()
    with futures.ThreadPoolExecutor(options.jobs) as pool:
        lines = list(pool.map(run_schedule, range(options.count)))
    text = '\n'.join(lines)
    sys.stdout.write(f'{text}\n')
    sys.exit(_VIOLATED in text)


if __name__ == '__main__':
    main()
