"""Lease holders paused and killed around an order, as real processes."""

import json
import time
from urllib import request as requests

import pytest

from verbenahall_standins import process

pytestmark = pytest.mark.process

HOLDER = 'verbenahall_standins.holder'
#: Fencing token of the first holder, whose claim is the log's first record.
LOST_TOKEN = 1


def read_record(standin):
    """Return the record that a stand-in keeps of its requests."""
    url = f'http://{standin.address}/record'
    with requests.urlopen(url, timeout=10) as answer:
        return json.load(answer)


class Fleet:
    """A log, an engine, and the lease holders that a test starts."""

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
        """Start a holder that orders a version of the model."""
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
        """Return the events of one kind from the engine's record."""
        orders = read_record(self.engine)['orders']
        return [
            order
            for order in orders
            if order['event'] == event and token in {None, order['fencing']}
        ]

    def list_versions(self):
        """Return the model versions that took effect, in order."""
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

    def describe(self):
        """Return the records of the processes as JSON, for error messages."""
        orders = read_record(self.engine)['orders']
        records = read_record(self.log)['started']
        states = [read_state(holder) for holder in self.holders]
        return json.dumps(
            {'holders': states, 'orders': orders, 'records': records[-40:]},
            indent=1,
        )

    def wait_for_versions(self, *versions):
        """Wait until exactly these versions have taken effect, in order."""
        wait_until(
            lambda: self.list_versions() == list(versions), self.describe
        )

    def kill_all(self):
        """Kill all started processes."""
        for running in (*self.holders, self.engine, self.log):
            running.kill()


@pytest.fixture
def fleet(request):
    """Start a fleet with one kind of engine."""
    started = Fleet(ignores=request.param)
    yield started
    started.kill_all()


def wait_until(condition, describe=str, timeout_s=40):
    """Wait until a condition is true, or fail after the timeout."""
    until = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < until, (
            f'the condition stayed false: {describe()}'
        )
        time.sleep(0.02)


def read_state(holder):
    """Return the process's state letter from ``/proc``."""
    with open(f'/proc/{holder.pid}/stat', encoding='ascii') as stat:
        return stat.read().rpartition(')')[2].split()[0]


def is_stopped(holder):
    """Return whether the process is stopped."""
    return read_state(holder) == 'T'


@pytest.mark.parametrize('fleet', [False, True], indirect=True)
def test_holder_paused_before_its_check_sends_no_order(fleet):
    """A holder resumed after losing its lease sends no order.

    It is stopped just before its lease check and resumed when another process
    holds the lease. Without the check, the engine would receive an order of a
    former holder.
    """
    first = fleet.start('a', '--stop', 'before', version='1')
    wait_until(lambda: is_stopped(first))
    fleet.start('b', '--longest-pause', '0', version='2')
    fleet.wait_for_versions('2')
    first.resume()
    time.sleep(1)

    assert not fleet.read_orders('received', LOST_TOKEN)


@pytest.mark.parametrize('fleet', [False], indirect=True)
def test_engine_that_checks_tokens_refuses_a_former_holder(fleet):
    """An engine that checks tokens refuses the order of a former holder.

    The holder is stopped between lease check and write until its lease has
    ended, and sends the checked order when it resumes.
    """
    first = fleet.start('a', '--stop', 'after', version='1')
    wait_until(lambda: is_stopped(first))
    fleet.start('b', version='2')
    fleet.wait_for_versions('2')
    first.resume()
    wait_until(lambda: fleet.read_orders('received', LOST_TOKEN))
    refused = fleet.read_orders('received', LOST_TOKEN)

    assert {row['status'] for row in refused} == {409}
    assert not fleet.read_orders('in_force', LOST_TOKEN)


@pytest.mark.parametrize('fleet', [True], indirect=True)
def test_pause_within_the_limit_is_safe_without_token_checks(fleet):
    """A pause within ``longest_pause_s`` is safe if the engine ignores tokens.

    The engine executes the order of the resumed holder. The new holder has
    waited for the longest pause, so its own order comes last.
    """
    first = fleet.start('a', '--stop', 'after', version='1')
    wait_until(lambda: is_stopped(first))
    fleet.start('b', version='2')
    wait_until(lambda: fleet.find_claims('b'))
    # Half of the longest pause: a holder that does not wait for the longest
    # pause would send its order in this time.
    resume_at = time.monotonic() + 2
    wait_until(lambda: fleet.list_versions() or time.monotonic() > resume_at)
    first.resume()
    wait_until(lambda: '1' in fleet.list_versions())
    # If it kept running, it could claim the lease again when the other holder
    # renews too late.
    first.kill()
    wait_until(lambda: fleet.list_versions()[-1:] == ['2'])

    assert fleet.list_versions() == ['1', '2']


@pytest.mark.parametrize('fleet', [True], indirect=True)
def test_paused_for_longer_than_the_settings_name(fleet):
    """The new holder repairs an engine after a pause beyond the setting.

    An engine that ignores tokens executes the order of the resumed holder
    last. The new holder sees this and orders its target again.
    """
    first = fleet.start('a', '--stop', 'after', version='1')
    wait_until(lambda: is_stopped(first))
    fleet.start('b', '--longest-pause', '0', version='2')
    fleet.wait_for_versions('2')
    first.resume()
    wait_until(lambda: fleet.list_versions()[1:])
    first.kill()
    wait_until(lambda: fleet.list_versions()[-1] == '2')

    assert fleet.list_versions() == ['2', '1', '2']


@pytest.mark.parametrize('fleet', [False, True], indirect=True)
def test_successor_does_not_repeat_the_order_of_a_killed_holder(fleet):
    """The successor of a killed holder does not repeat its order.

    The holder is killed while the engine changes. The successor has the same
    target and finds it applied, so the engine is not interrupted again.
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
