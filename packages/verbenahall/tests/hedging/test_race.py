"""Branches of a hedged request: which one answers, and what ends the others."""

import asyncio
import socket
import time

import pytest
from returns.result import Failure, Success

from verbenahall.hedging import Race, Stage

#: Time after which a branch of these tests counts as silent, in seconds.
IDLE_S = 0.05


class Branches:
    """Runs scripted branches; ``events`` logs what they did."""

    def __init__(self, *scripts, allowed=True):
        self.allowed = allowed
        self.asked = 0
        self.events = []
        self._scripts = list(scripts)

    async def run(self):
        """Return the result of the race."""
        async with asyncio.timeout(5):
            return await Race(self._run_branch).run()

    def may_hedge(self):
        """Return whether another branch may begin."""
        self.asked += 1
        return self.allowed and bool(self._scripts)

    async def _run_branch(self, branch):
        name, script = self._scripts.pop(0)
        branch.may_hedge = self.may_hedge
        try:
            return await script(branch)
        except asyncio.CancelledError:
            self.events.append((name, branch.is_superseded))
            raise


def answer_after(delay_s, answer, stage=Stage.RUNNING):
    """Return a script that is silent, and then has an answer."""

    async def script(branch):
        branch.enter(stage)
        branch.expect_progress(IDLE_S)
        await asyncio.sleep(delay_s)
        branch.enter(Stage.ANSWERING)
        return Success(answer)

    return script


def fail_after(delay_s, problem):
    """Return a script that fails."""

    async def script(branch):
        branch.expect_progress(IDLE_S)
        await asyncio.sleep(delay_s)
        return Failure(problem)

    return script


def test_fast_branch_is_not_hedged():
    # Each hedge takes a part of the retry budget.
    branches = Branches(('a', answer_after(0.01, 'a')), ('b', None))
    assert asyncio.run(branches.run()) == Success('a')
    assert not branches.asked


def test_silent_branch_that_goes_on_first_wins():
    # The endpoint goes on before its successor has begun: it was given up.
    branches = Branches(
        ('a', answer_after(0.2, 'a')), ('b', answer_after(0.5, 'b'))
    )
    assert asyncio.run(branches.run()) == Success('a')
    assert branches.events == [('b', True)]


def test_second_branch_that_answers_first_wins():
    # The endpoint is gone: its caller was not to wait for it.
    branches = Branches(
        ('a', answer_after(9, 'a')), ('b', answer_after(0.01, 'b'))
    )
    assert asyncio.run(branches.run()) == Success('b')
    assert branches.events == [('a', True)]


def test_first_branch_is_awaited_if_the_second_fails():
    # The successor failed, and the request with it.
    branches = Branches(('a', answer_after(0.3, 'a')), ('b', fail_after(0, 1)))
    assert asyncio.run(branches.run()) == Success('a')


def test_last_failure_is_the_result():
    branches = Branches(('a', fail_after(0.2, 'a')), ('b', fail_after(0, 'b')))
    assert asyncio.run(branches.run()) == Failure('a')


def test_branch_without_a_successor_is_awaited():
    # No retry was allowed, and the endpoint was given up all the same.
    branches = Branches(
        ('a', answer_after(0.3, 'a')), ('b', None), allowed=False
    )
    assert asyncio.run(branches.run()) == Success('a')
    assert branches.asked


def test_silent_branch_is_hedged_later_if_a_retry_is_allowed_then():
    # A retry that was not allowed at first is never made.
    async def check():
        branches = Branches(
            ('a', answer_after(9, 'a')),
            ('b', answer_after(0, 'b')),
            allowed=False,
        )
        running = asyncio.create_task(branches.run())
        await asyncio.sleep(0.1)
        branches.allowed = True
        assert await running == Success('b')

    asyncio.run(check())


def test_answer_that_waited_unread_during_a_pause_is_read_first():
    # The process was paused: its timers run before it reads what has arrived.
    async def check():
        arrived = asyncio.Event()

        async def read(branch):
            branch.expect_progress(IDLE_S)
            await arrived.wait()
            return Success('a')

        branches = Branches(('a', read), ('b', answer_after(0, 'b')))
        running = asyncio.create_task(branches.run())
        await asyncio.sleep(0)
        sockets = open_sockets(arrived)
        sockets[1].send(b'x')
        time.sleep(2 * IDLE_S)
        assert await running == Success('a')
        assert not branches.asked
        close_all(sockets)

    asyncio.run(check())


def open_sockets(arrived):
    """Return connected sockets; what arrives at the first sets an event."""
    reading, writing = socket.socketpair()
    reading.setblocking(False)
    asyncio.get_running_loop().add_reader(reading, arrived.set)
    return reading, writing


def close_all(sockets):
    """Close sockets."""
    asyncio.get_running_loop().remove_reader(sockets[0])
    for one in sockets:
        one.close()


def test_branch_that_is_prepared_first_ends_other_preparations():
    # A request that may run once was sent by two branches.
    branches = Branches(
        ('a', answer_after(0.3, 'a', Stage.PREPARING)),
        ('b', answer_after(0.5, 'b', Stage.RUNNING)),
    )
    assert asyncio.run(branches.run()) == Success('b')
    assert branches.events == [('a', True)]


def test_exception_of_a_branch_is_raised_and_ends_the_others():
    async def fail(branch):
        raise ConnectionResetError('the caller has left')

    branches = Branches(('a', answer_after(9, 'a')), ('b', fail))
    with pytest.raises(ConnectionResetError):
        asyncio.run(branches.run())
    assert branches.events == [('a', False)]


def test_caller_that_leaves_ends_all_branches():
    # A branch went on with the request of a caller that had left.
    async def check():
        branches = Branches(
            ('a', answer_after(9, 'a')), ('b', answer_after(9, 'b'))
        )
        running = asyncio.create_task(branches.run())
        await asyncio.sleep(0.2)
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running
        assert sorted(branches.events) == [('a', False), ('b', False)]

    asyncio.run(check())


def prepare(delay_s, *, is_unprepared=False):
    """Return a script that waits for its turn after a preparation."""

    async def script(branch):
        branch.expect_progress(IDLE_S)
        await asyncio.sleep(delay_s)
        branch.expect_progress(None)
        await branch.wait_for_turn(is_unprepared=is_unprepared)
        branch.enter(Stage.SENT)
        return Success('prepared')

    return script


def send(problem, delay_s, *, ends_others=False):
    """Return a script that sends at once and fails."""

    async def script(branch):
        branch.enter(Stage.SENT)
        await asyncio.sleep(delay_s)
        if ends_others:
            branch.end_others()
        return Failure(problem)

    return script


def test_prepared_branch_waits_while_another_one_has_sent():
    # A request that may run once was sent by two branches.
    async def check():
        branches = Branches(('a', prepare(0.1)), ('b', send('b', 0.4)))
        running = asyncio.create_task(branches.run())
        await asyncio.sleep(0.3)
        assert not running.done()
        assert await running == Success('prepared')

    asyncio.run(check())


def test_branch_that_may_have_run_ends_a_prepared_one():
    # A request that may run once ran again after an attempt that had failed.
    branches = Branches(
        ('a', prepare(0.1)), ('b', send('b', 0.3, ends_others=True))
    )
    assert asyncio.run(branches.run()) == Failure('b')
    assert branches.events == [('a', True)]


@pytest.mark.parametrize(
    ('first', 'answer'),
    [(prepare(0.3), 'prepared'), (fail_after(0.3, 'a'), 'prepared')],
)
def test_unprepared_branch_waits_for_preparations(first, answer):
    # The only run of a request was spent while its prompt could still be
    # prefilled.
    async def check():
        second = prepare(0, is_unprepared=True)
        branches = Branches(('a', first), ('b', second))
        running = asyncio.create_task(branches.run())
        await asyncio.sleep(0.2)
        assert not running.done()
        assert await running == Success(answer)

    asyncio.run(check())
