"""Random pauses of real lease holders: ``python -m ….schedules --count 50``.

Two holders want different versions of a model on one engine and are stopped
and woken at random, never for longer than the longest pause that they are
told. Afterwards the engine's own record must not show an order of a lost
authority that was carried out. Prints a line for each schedule.
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

from verbenahall_standins.process import Running, start

Flags = tuple[tuple[str, ...], ...]

_LONGEST_PAUSE_S: Final = 2.0
_SHORTEST_PAUSE_S: Final = 0.2
#: Well below the longest pause: this driver may itself be late.
_PAUSE_S: Final = 1.6
_PAUSES: Final = 4
_BROKEN: Final = 'BROKEN'
#: Flags of the engine and of the holders for each kind of engine.
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
    log: Running,
    engine: Running,
    flags: tuple[str, ...],
) -> Running:
    """Start a holder that wants its own name as the version."""
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
    """Run one schedule; return the line that tells what was seen."""
    randomness = random.Random(seed)
    kind = randomness.choice(tuple(_KINDS))
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
        tokens = _pause_at_random(holders, engine, randomness)
    finally:
        _kill_all((*holders, engine, log))
    verdict = 'kept' if tokens == sorted(tokens) else _BROKEN
    return f'{seed}: {kind}, accepted under {tokens}, {verdict}'


def _kill_all(started: Iterable[Running]) -> None:
    for running in started:
        running.kill()


def _pause_at_random(
    holders: Sequence[Running],
    engine: Running,
    randomness: random.Random,
) -> list[int]:
    for _ in range(_PAUSES):
        time.sleep(randomness.uniform(1, _LONGEST_PAUSE_S + 1))
        stopped = randomness.choice(holders)
        stopped.pause()
        time.sleep(randomness.uniform(_SHORTEST_PAUSE_S, _PAUSE_S))
        stopped.resume()
    time.sleep(2 * _LONGEST_PAUSE_S)
    return _list_accepted(engine)


def _list_accepted(engine: Running) -> list[int]:
    """Return the tokens under which the engine took orders, in order."""
    url = f'http://{engine.address}/record'
    with requests.urlopen(url, timeout=_HTTP_TIMEOUT_S) as answer:
        orders = json.load(answer)['orders']
    return [
        order['fencing'] for order in orders if order.get('status') == _ACCEPTED
    ]


def main() -> None:
    """Run the command; exit 1 if a schedule broke the promise."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--count', type=int, default=4)
    parser.add_argument('--jobs', type=int, default=4)
    options = parser.parse_args()
    with futures.ThreadPoolExecutor(options.jobs) as pool:
        lines = list(pool.map(run_schedule, range(options.count)))
    text = '\n'.join(lines)
    sys.stdout.write(f'{text}\n')
    sys.exit(_BROKEN in text)


if __name__ == '__main__':
    main()
