"""The demo leaves no processes behind when it is stopped early."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
TIMEOUT_S = 60


def list_children(pid):
    found = Path(f'/proc/{pid}/task/{pid}/children').read_text()
    return {int(child) for child in found.split()}


def is_running(pid):
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, 0)
        state = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[-1]
        return state.split()[0] != 'Z'
    return False


def wait_for_children(pid, count):
    until = time.monotonic() + TIMEOUT_S
    children = set()
    while len(children) < count and time.monotonic() < until:
        children |= list_children(pid)
        time.sleep(0.01)
    assert len(children) >= count
    return children


@pytest.mark.process
@pytest.mark.parametrize('count', [2, 24])
def test_stopped_demo_leaves_no_process(count):
    """SIGTERM while the demo starts its processes must end all of them.

    Orphaned processes would run forever and slow down every later run.
    """
    demo = subprocess.Popen(
        (sys.executable, '-m', 'verbenahall_standins.demo'),
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        children = wait_for_children(demo.pid, count)
    finally:
        demo.send_signal(signal.SIGTERM)
        demo.wait(TIMEOUT_S)
    assert not set(filter(is_running, children))
