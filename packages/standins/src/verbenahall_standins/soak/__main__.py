"""``python -m verbenahall_standins.soak SEED [COUNT] [SECONDS]``: plays seeds.

Prints a line for each seed, and what was broken. A seed draws the same faults
each time; what comes of them also depends on the machine.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

from verbenahall_standins.soak import run_soak

_SECONDS: Final = 20.0
_AT_ONCE: Final = 3


async def play(seed: int, seconds: float, places: asyncio.Semaphore) -> bool:
    """Play a seed when there is a place; tell whether all held."""
    async with places:
        with tempfile.TemporaryDirectory() as folder:
            broken = await run_soak(seed, seconds, Path(folder))
    told = '\n  '.join(broken) if broken else 'all held'
    sys.stdout.write(f'seed {seed}: {told}\n')
    sys.stdout.flush()
    return not broken


async def play_all(first: int, count: int, seconds: float) -> int:
    """Play seeds, a few at once; return how many broke something."""
    places = asyncio.Semaphore(_AT_ONCE)
    seeds = range(first, first + count)
    plays = (play(seed, seconds, places) for seed in seeds)
    held = await asyncio.gather(*plays)
    return held.count(False)


def main() -> int:
    """Play what the command line asks for."""
    parser = argparse.ArgumentParser()
    parser.add_argument('first', type=int)
    parser.add_argument('count', type=int, nargs='?', default=1)
    parser.add_argument('seconds', type=float, nargs='?', default=_SECONDS)
    given = parser.parse_args()
    plays = play_all(given.first, given.count, given.seconds)
    broken = asyncio.run(plays)
    sys.stdout.write(f'{broken} of {given.count} seeds broke something\n')
    return int(broken > 0)


if __name__ == '__main__':
    sys.exit(main())
