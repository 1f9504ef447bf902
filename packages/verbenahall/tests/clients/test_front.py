"""Crowds of clients outside the limits at the product's own interface."""

import asyncio
import contextlib

import aiohttp
import pytest
from verbenahall_standins import process
from verbenahall_standins.crowds import SERVICE_FORMS, Target

from .conftest import (
    DESCRIPTORS,
    MEMORY_BYTES,
    ORDINARY_BYTES,
    Process,
)

pytestmark = [pytest.mark.process, pytest.mark.crowd]

CONFIG = """
[instance]
name = "i-1"
data_centre = "ain"
deployment = "atlas"
listen = "127.0.0.1:0"
[platform]
log = "{log}"
instance_list = "{registry}"
[limits]
memory_mb = {memory}
connections = {connections}
[timing]
list_poll_s = 0.2
load_poll_s = 0.2
heartbeat_s = 0.2
"""
#: Connections of callers that the settings allow.
CONNECTIONS = DESCRIPTORS - 100
PATH = '/services/pages/1'
TARGET = Target('desk.example', PATH, PATH, PATH)


@contextlib.contextmanager
def start_instance(folder):
    """Run an instance in front of a plain service; return the process."""
    with contextlib.ExitStack() as stack:

        def start(module, *options):
            running = process.start(f'verbenahall_standins.{module}', *options)
            stack.callback(running.kill)
            return running.address

        addresses = {
            'log': start('log'),
            'registry': start('registry'),
            'pages-1': start('service', '--name', 'pages-1'),
        }
        config = folder / 'instance.toml'
        config.write_text(
            CONFIG.format(
                **addresses,
                memory=MEMORY_BYTES // 10**6,
                connections=CONNECTIONS,
            )
        )
        command = (process.find_script('verbenahall'), 'serve', '--config')
        child = process.launch_command((*command, str(config)), folder / 'log')
        stack.callback(child.wait)
        stack.callback(child.kill)
        running = process.wait_until_ready(child)
        asyncio.run(register(addresses['registry'], addresses['pages-1']))
        yield running


async def register(registry, address):
    """List the service, as its deployment does."""
    entry = {
        'name': 'pages-1',
        'kind': 'service',
        'address': address,
        'data_centre': 'ain',
        'incarnation': 'first',
        'service': 'pages',
    }
    async with aiohttp.ClientSession() as session:
        url = f'http://{registry}/register'
        async with session.post(url, json=entry) as answer:
            answer.raise_for_status()


@pytest.mark.parametrize('name', SERVICE_FORMS)
def test_instance_bears_a_crowd(tmp_path, name):
    # The product's own interface has the same connections, and bounds of its
    # own.
    with start_instance(tmp_path) as running:
        base = f'http://{running.address}'
        post = {'method': 'POST', 'data': bytes(ORDINARY_BYTES)}
        requests = {
            f'{base}/readyz': {'method': 'GET'},
            f'{base}{PATH}': {'method': 'GET'},
            f'{base}{PATH}/upload': post,
        }
        started = Process(running.pid, [running.address], requests)
        form = SERVICE_FORMS[name]
        asyncio.run(started.check_crowd(form, TARGET, running.address))
