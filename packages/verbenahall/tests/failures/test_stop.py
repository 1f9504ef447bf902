"""Planned stops and kills of real instances under load."""

import asyncio

import pytest

pytestmark = pytest.mark.process

STREAMS = 200


async def call_until_closed(fleet, name, outcomes):
    """Call over a persistent connection until an answer closes it."""
    must_close = False
    while not must_close:
        answer = await fleet.call('GET', name, '/services/pages/1')
        outcomes.append(answer.status)
        must_close = (
            answer.headers.get('Connection') == 'close' or not answer.status
        )


def test_sigterm_under_open_streams(run):
    """The platform sends two SIGTERMs to an instance with 200 open streams.

    Each caller must get its complete answer. Persistent connections must be
    closed by a ``Connection: close`` header and must not be reset.
    """

    async def scenario(fleet):
        streams = [
            asyncio.create_task(
                fleet.complete('i-1', 60, stream=True, text=f'issue {number}'),
            )
            for number in range(STREAMS)
        ]
        outcomes = []
        callers = [
            asyncio.create_task(call_until_closed(fleet, 'i-1', outcomes))
            for _ in range(8)
        ]
        while len(outcomes) < 40 or await fleet.count_streams() < STREAMS:
            await asyncio.sleep(0.01)
            # All streams are open when the stop begins.
            ended = [one.result() for one in streams if one.done()]
            assert not ended
        stopped = fleet.processes['i-1']
        stopped.terminate()
        stopped.terminate()
        answers = await asyncio.gather(*streams)
        await asyncio.gather(*callers)
        assert {answer.status for answer in answers} == {200}
        assert all('data: [DONE]' in answer.body for answer in answers)
        assert set(outcomes) == {200}
        assert await asyncio.to_thread(stopped.process.wait, 30) == 0

    run(scenario, speed=0.3)


class Balancer:
    """Sends to the instances that are ready, as the platform's balancer."""

    def __init__(self, fleet, names):
        self.fleet = fleet
        self.ready = list(names)
        self.names = names
        self.outcomes = []
        self.stopped = False

    async def poll_readiness(self):
        while not self.stopped:
            answers = await asyncio.gather(
                *(self.fleet.call('GET', one, '/readyz') for one in self.names),
            )
            self.ready = [
                name
                for name, answer in zip(self.names, answers, strict=True)
                if answer.status == 200
            ]
            await asyncio.sleep(0.1)

    async def send(self, number):
        index = number
        while not self.stopped:
            index += 1
            name = self.ready[index % len(self.ready)]
            answer = await self.fleet.complete(name, 8, stream=bool(index % 2))
            is_complete = not index % 2 or 'data: [DONE]' in answer.body
            self.outcomes.append(
                (answer.status, is_complete, answer.body[:200])
            )


def test_rolling_replacement(run):
    """All instances are replaced one after another under load.

    No request through the platform's balancer may fail.
    """
    names = ('i-1', 'i-2', 'i-3')

    async def replace(fleet, name):
        stopped = fleet.processes[name]
        stopped.terminate()
        await asyncio.to_thread(stopped.process.wait, 30)
        await fleet.start_instance(name)
        await fleet.wait_until_ready(name)

    async def scenario(fleet):
        balancer = Balancer(fleet, names)
        senders = [balancer.send(number) for number in range(8)]
        running = asyncio.gather(balancer.poll_readiness(), *senders)
        await replace(fleet, 'i-1')
        await replace(fleet, 'i-2')
        await replace(fleet, 'i-3')
        balancer.stopped = True
        await running
        failed = [one for one in balancer.outcomes if one[:2] != (200, True)]
        assert not failed
        assert len(balancer.outcomes) > 100

    run(scenario, instances=names)


def test_killed_instance_loses_only_its_own(run):
    """An instance is killed; requests at the other one must not fail."""

    async def scenario(fleet):
        names = ('i-1', 'i-2') * 30
        calls = [
            asyncio.create_task(fleet.complete(name, 40, stream=True))
            for name in names
        ]
        await asyncio.sleep(0.3)
        fleet.processes['i-1'].kill()
        answers = await asyncio.gather(*calls)
        surviving = answers[1::2]
        assert {answer.status for answer in surviving} == {200}
        assert all('data: [DONE]' in answer.body for answer in surviving)
        after = await asyncio.gather(
            *(fleet.complete('i-2') for _ in range(20))
        )
        assert {answer.status for answer in after} == {200}

    run(scenario, speed=2)
