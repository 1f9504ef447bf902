"""Requests that have ended are freed without the garbage collector."""

import asyncio
import contextlib
import gc

import pytest

from verbenahall.gateway._messages import Call

from .conftest import make_engines, make_plain, run, run_gateway


@contextlib.contextmanager
def disable_collector():
    """Leave reference cycles in memory within the context."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def list_calls():
    """Return the calls that are in memory, with their bodies."""
    return [one for one in gc.get_objects() if isinstance(one, Call)]


@pytest.mark.parametrize(
    'path', ['/proof/1', '/archive/1', '/blurb/1', '/summary/1', '/nowhere/1']
)
def test_request_that_has_ended_is_freed(tmp_path, path):
    # Bodies of requests that had their answers stayed in reference cycles: 25
    # bodies of 4 MB, one after the other, took a process beyond its memory.
    async def check():
        async with run_gateway(
            tmp_path, make_engines(), make_plain(1)
        ) as harness:
            await harness.send(path, 'r-0', data=b'first')
            with disable_collector():
                for number in range(3):
                    await harness.send(path, f'r-{number + 1}', data=b'body')
                await asyncio.sleep(0.1)
                assert not list_calls()

    run(check())
