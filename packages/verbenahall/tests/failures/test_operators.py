"""verbenactl against real instances."""

import asyncio
import hashlib
import os
import subprocess

import pytest

from verbenahall_standins import process

pytestmark = pytest.mark.process

TOKEN = 'fleet-token'
CREDENTIAL = """
[[admin.credentials]]
team = "fleet"
token_sha256 = "{sha256}"
"""


def run_verbenactl(*arguments):
    """Run verbenactl; return its exit code and its output."""
    completed = subprocess.run(
        [process.find_script('verbenactl'), *arguments],
        capture_output=True,
        text=True,
        env={**os.environ, 'VERBENACTL_TOKEN': TOKEN},
        timeout=60,
    )
    return completed.returncode, completed.stdout + completed.stderr


def run_steps(steps):
    """Run each command; check its exit code and its output."""
    for command, expected_code, expected_text in steps:
        exit_code, output = run_verbenactl(*command)
        assert (exit_code, expected_text in output) == (expected_code, True), (
            command,
            output,
        )


def test_operator_follows_a_change_and_a_request(run):
    """An operator drains an engine and inspects the result.

    The commands wait until the change is in force, show its author, explain
    the routing of a request, and report an unreachable instance.
    """

    async def scenario(fleet):
        sha256 = hashlib.sha256(TOKEN.encode()).hexdigest()
        fleet.config += CREDENTIAL.format(sha256=sha256)
        await fleet.start_instance('i-3')
        await fleet.wait_until_ready('i-3')
        at = ('-i', fleet.processes['i-3'].address)
        log = ('--log', fleet.processes['log'].address)
        team = ('--team', 'fleet', '--author', 'ann')
        answer = await fleet.complete('i-3')
        request = answer.headers['X-Request-Id']
        steps = [
            (('drain', 'engine-2', *log, *team, *at), 0, 'in force on 1'),
            (('status', *at), 0, 'i-3 ain ready settings'),
            (('history', 'fleet/drains', *at), 0, 'fleet/ann accepted'),
            (('history', 'fleet/drains/engine-2', *at), 0, 'in force since'),
            (('history', 'atlas', *at), 2, 'forbidden'),
            (('explain', '--request', request, *at), 0, '"workspace":'),
            (('explain', '--engine', 'engine-1', *at), 0, '"event":"standing'),
            (('status', '-i', '127.0.0.1:1'), 2, 'endpoint_failed'),
        ]
        await asyncio.to_thread(run_steps, steps)

    run(scenario)
