"""Holders paused and killed around an order, with real processes."""

import json
import time
from urllib import request as requests

import pytest

from verbenahall_standins import process

pytestmark = pytest.mark.process

HOLDER = 'verbenahall_standins.holder'
#: The first holder's: its claim is the log's first record.
LOST_TOKEN = 1


def read_record(standin):
    """Return a stand-in's own record of what it started."""
    url = f'http://{standin.address}/record'
    with requests.urlopen(url, timeout=10) as answer:
        return json.load(answer)


class Fleet:
    """A log, an engine and the holders that a test starts."""

    def __init__(self, *, ignores):
        self.log = process.start('verbenahall_standins.log')
        flags = ('--ignore-fencing',) if ignores else ()
        self.engine = process.start(
            'verbenahall_standins.engine',
            '--speed',
            '16',
            *flags,
        )
        self.flags = ('--ignores',) if ignores else ()
        self.holders = []

    def start(self, name, *options, version):
        """Start a holder that wants a version of the model."""
        holder = process.start(
            HOLDER,
            '--name',
            name,
            '--version',
            version,
            '--log',
            self.log.address,
            '--engine',
            self.engine.address,
            *self.flags,
            *options,
        )
        self.holders.append(holder)
        return holder

    def read_orders(self, event, token=None):
        """Return the engine's own record of one kind of event."""
        orders = read_record(self.engine)['orders']
        return [
            order
            for order in orders
            if order['event'] == event and token in {None, order['fencing']}
        ]

    def list_versions(self):
        """Return the versions that came into force, in order."""
        in_force = self.read_orders('in_force')
        return [order['target']['models']['drafter'] for order in in_force]

    def find_claims(self, name):
        """Return the holder's claims in the log."""
        records = read_record(self.log)['started']
        return [
            record
            for record in records
            if record['body'].get('kind') == 'claim'
            and record['body']['holder'] == name
        ]

    def tell(self):
        """Return what engine and log have seen, for a failure's report."""
        orders = read_record(self.engine)['orders']
        records = read_record(self.log)['started']
        states = [read_state(holder) for holder in self.holders]
        return json.dumps(
            {'holders': states, 'orders': orders, 'records': records[-40:]},
            indent=1,
        )

    def wait_versions(self, *versions):
        """Wait until just these versions have come into force, in order."""
        wait_until(lambda: self.list_versions() == list(versions), self.tell)

    def end(self):
        """Kill everything that was started."""
        for running in (*self.holders, self.engine, self.log):
            running.kill()


@pytest.fixture
def fleet(request):
    """Start a fleet with one kind of engine."""
    started = Fleet(ignores=request.param)
    yield started
    started.end()


def wait_until(condition, tell=str, bound_s=40):
    """Wait for a condition with a generous bound."""
    until = time.monotonic() + bound_s
    while not condition():
        assert time.monotonic() < until, f'the condition never came: {tell()}'
        time.sleep(0.02)


def read_state(holder):
    """Return the process's state as the kernel names it."""
    with open(f'/proc/{holder.pid}/stat', encoding='ascii') as stat:
        return stat.read().rpartition(')')[2].split()[0]


def is_stopped(holder):
    """Tell whether the process stopped itself."""
    return read_state(holder) == 'T'


@pytest.mark.parametrize('fleet', [False, True], indirect=True)
def test_paused_before_its_check(fleet):
    """A holder is stopped before its check and wakes when another leads.

    Had it gone on, the engine would have got a model of a lost authority.
    """
    first = fleet.start('a', '--stop', 'before', version='1')
    wait_until(lambda: is_stopped(first))
    fleet.start('b', '--longest-pause', '0', version='2')
    fleet.wait_versions('2')
    first.resume()
    time.sleep(1)

    assert not fleet.read_orders('received', LOST_TOKEN)


@pytest.mark.parametrize('fleet', [False], indirect=True)
def test_paused_after_its_check_checking_engine(fleet):
    """A holder is stopped between check and write, across its lease's end.

    It writes the checked order on waking; the engine refuses its token.
    """
    first = fleet.start('a', '--stop', 'after', version='1')
    wait_until(lambda: is_stopped(first))
    fleet.start('b', version='2')
    fleet.wait_versions('2')
    first.resume()
    wait_until(lambda: fleet.read_orders('received', LOST_TOKEN))
    refused = fleet.read_orders('received', LOST_TOKEN)

    assert {row['status'] for row in refused} == {409}
    assert not fleet.read_orders('in_force', LOST_TOKEN)


@pytest.mark.parametrize('fleet', [True], indirect=True)
def test_paused_after_its_check_ignoring_engine(fleet):
    """The same pause, within the longest one that the settings name.

    The engine obeys the woken holder; the new one has waited for that, and
    its own order comes last.
    """
    first = fleet.start('a', '--stop', 'after', version='1')
    wait_until(lambda: is_stopped(first))
    fleet.start('b', version='2')
    wait_until(lambda: fleet.find_claims('b'))
    # Half of the longest pause: time enough for a holder that does not wait.
    resume_at = time.monotonic() + 2
    wait_until(lambda: fleet.list_versions() or time.monotonic() > resume_at)
    first.resume()
    wait_until(lambda: '1' in fleet.list_versions())
    # Left alive it could lead again, if the other were late with a renewal.
    first.kill()
    wait_until(lambda: fleet.list_versions()[-1:] == ['2'])

    assert fleet.list_versions() == ['1', '2']


@pytest.mark.parametrize('fleet', [True], indirect=True)
def test_paused_for_longer_than_the_settings_name(fleet):
    """The pause outlasts the longest one named, against the settings.

    This is what remains for an engine that ignores tokens: it obeys the
    woken holder last. The new one sees that and orders its target again.
    """
    first = fleet.start('a', '--stop', 'after', version='1')
    wait_until(lambda: is_stopped(first))
    fleet.start('b', '--longest-pause', '0', version='2')
    fleet.wait_versions('2')
    first.resume()
    wait_until(lambda: fleet.list_versions()[1:])
    first.kill()
    wait_until(lambda: fleet.list_versions()[-1] == '2')

    assert fleet.list_versions() == ['2', '1', '2']


@pytest.mark.parametrize('fleet', [False, True], indirect=True)
def test_killed_in_mid_order(fleet):
    """A holder is killed while the engine changes on its order.

    Its successor wants the same and finds it done: the engine is not taken
    away a second time.
    """
    first = fleet.start('a', version='1')
    wait_until(lambda: fleet.read_orders('received'))
    first.kill()
    fleet.start('b', '--longest-pause', '0', version='1')
    wait_until(lambda: fleet.find_claims('b'))
    time.sleep(3)

    started = [row['status'] for row in fleet.read_orders('received')]
    assert started.count(202) == 1
    assert fleet.list_versions() == ['1']
