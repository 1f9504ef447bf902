"""Branches that are superseded or end beside others."""

import asyncio

from returns.result import Failure, Success

from verbenahall.hedging import Race, Stage


def test_superseded_branch_does_not_come_back():
    # A cancellation met a wait that was just over (``asyncio.wait_for`` returns
    # the result then): the branch went on, and ended the one that had won.
    async def check():
        branches = []

        async def run_branch(branch):
            branches.append(branch)
            branch.enter(Stage.RUNNING)
            if len(branches) == 1:
                branch.may_hedge = lambda: True
                branch.expect_progress(0.01)
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    branch.enter(Stage.ANSWERING)
                return Success('first')
            branch.enter(Stage.ANSWERING)
            await asyncio.sleep(0.05)
            return Success('second')

        result = await Race(run_branch).run()
        assert result == Success('second')

    asyncio.run(check())


def test_no_branch_is_opened_after_the_end():
    # The timer was set again while the branches of a cancelled race ended.
    async def check():
        opened = []

        async def run_branch(branch):
            opened.append(branch)
            branch.may_hedge = lambda: True
            branch.expect_progress(0.5)
            try:
                await asyncio.sleep(3600)
            finally:
                branch.expect_progress(0)

        running = asyncio.create_task(Race(run_branch).run())
        await asyncio.sleep(0.05)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await asyncio.sleep(0.1)
        assert len(opened) == 1

    asyncio.run(check())


def test_answer_that_is_there_is_not_hedged():
    # A stale mark of the last silence skipped the second check.
    async def check():
        hedged = []

        async def run_branch(branch):
            branch.may_hedge = lambda: hedged.append(1) or False
            branch.expect_progress(0.02)
            await asyncio.sleep(0.025)
            branch.expect_progress(None)
            await asyncio.sleep(0.1)
            branch.expect_progress(0.02)
            await asyncio.sleep(0.025)
            branch.expect_progress(None)
            return Failure('none')

        await Race(run_branch).run()
        assert not hedged

    asyncio.run(check())


def test_exception_of_a_failing_check_does_not_end_hedging():
    # A check that raised once was never made again.
    async def check():
        asked = []

        def may_hedge():
            asked.append(1)
            if len(asked) == 1:
                raise LookupError('gone')
            return False

        async def run_branch(branch):
            branch.may_hedge = may_hedge
            branch.expect_progress(0.01)
            await asyncio.sleep(0.6)
            return Failure('none')

        await Race(run_branch).run()
        assert len(asked) > 1

    asyncio.run(check())
