"""Crowds at the listeners that are not for callers."""

import pytest
from verbenahall_standins.crowds import LISTENER_FORMS, Target
from verbenahall_standins.platform import HOST

pytestmark = [pytest.mark.process, pytest.mark.crowd]


def find_address(settings, listener):
    """Return the address of a listener by its name."""
    return {
        'readiness': settings.readiness,
        'peers': settings.peer_address,
        'metrics': f'{settings.ip}:{settings.metrics_port}',
    }[listener]


TARGETS = {
    'readiness': Target(HOST, '/-/ready', '/-/ready', '/-/ready'),
    'peers': Target(HOST, '/archive/1', '/archive/large', '/archive/2'),
    'metrics': Target(HOST, '/metrics', '/metrics', '/metrics'),
}


@pytest.mark.parametrize('listener', TARGETS)
@pytest.mark.parametrize('name', LISTENER_FORMS)
def test_process_bears_a_crowd(run_process, name, listener):
    # Bytes sent to these listeners were counted nowhere.
    async def check(process, settings):
        address = find_address(settings, listener)
        form = LISTENER_FORMS[name]
        await process.check_crowd(form, TARGETS[listener], address)

    run_process(check)
