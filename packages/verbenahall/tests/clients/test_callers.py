"""Crowds of clients outside the limits at the listener of callers."""

import pytest
from verbenahall_standins.crowds import FORMS, Target
from verbenahall_standins.platform import HOST

pytestmark = [pytest.mark.process, pytest.mark.crowd]

TARGET = Target(HOST, '/archive/1', '/archive/large', '/archive/2')


@pytest.mark.parametrize('name', FORMS)
def test_process_bears_a_crowd(run_process, name):
    # Such clients took a process beyond its memory, or kept out all others.
    async def check(process, settings):
        await process.check_crowd(FORMS[name], TARGET, settings.callers)

    run_process(check)
