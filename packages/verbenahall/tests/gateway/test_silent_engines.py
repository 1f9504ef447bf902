"""Engines that fail requests although their connections work."""

import asyncio
import collections

from .conftest import PREFIX, make_engines, make_plain, run, run_gateway

#: How long callers wait for an answer, in seconds.
PATIENCE_S = 2.0
#: Requests of each subject.
ROUNDS = 4


async def send_as(
    harness, subject, number, path='/blurb/1', patience_s=PATIENCE_S
):
    """Send a request of a subject; return its status, 0 if the caller left."""
    headers = {
        f'{PREFIX}Deadline-Ms': '15000',
        f'{PREFIX}Prompt-Prefix': f'{subject}:800,own-{number}:200',
    }
    try:
        async with asyncio.timeout(patience_s):
            status, _, _ = await harness.send(
                path, f'r-{subject}-{number}', headers=headers
            )
    except TimeoutError:
        return 0
    return status


async def send_in_rounds(harness, subjects, rounds=ROUNDS):
    """Send a request of each subject in each round; return the statuses."""
    statuses = collections.defaultdict(list)
    for number in range(rounds):
        answers = await asyncio.gather(
            *(send_as(harness, subject, number) for subject in subjects)
        )
        for subject, status in zip(subjects, answers, strict=True):
            statuses[subject].append(status)
    return statuses


def list_unserved(statuses):
    """Return the subjects none of whose requests was served."""
    return [
        subject for subject, answers in statuses.items() if 200 not in answers
    ]


def test_decode_engine_that_refuses_handles_is_not_tried_each_time(tmp_path):
    # A decode engine refuses all streams while its entry still lists it as
    # ready. It has no open streams, so it looks idle, and every request tries
    # it first until the retry budget is spent.
    async def check():
        engines = make_engines(prefill_count=4, decode_count=2)
        async with run_gateway(tmp_path, engines) as harness:
            engines[4].faults.full = True
            answers = [
                await send_as(harness, f'{number:x}', 0) for number in range(40)
            ]
            assert set(answers) == {200}
            refused = [
                line
                for line in harness.log_lines('attempt_failed')
                if line['generator'] == engines[4].name
            ]
            assert len(refused) < 8

    run(check())


def test_subjects_of_a_silent_prefill_engine_are_served(tmp_path):
    # A prefill engine accepts connections and never answers, as a stopped
    # process does. The subjects that prefer it must not try it each time.
    async def check():
        engines = make_engines(prefill_count=4, decode_count=2)
        subjects = [f'{number:x}' for number in range(24)]
        async with run_gateway(tmp_path, engines) as harness:
            engines[0].faults.unresponsive = True
            statuses = await send_in_rounds(harness, subjects)
            assert not list_unserved(statuses)
            last = [answers[-1] for answers in statuses.values()]
            assert set(last) == {200}
            slow = [
                line
                for line in harness.log_lines('answered')
                if line['took_s'] > 1
            ]
            assert len(slow) <= len(subjects) / 2

    run(check())


def test_subjects_of_a_silent_decode_engine_are_served(tmp_path):
    # A decode engine accepts streams and sends no event. Its callers leave
    # before their deadline, so that no attempt ends with a failure.
    async def check():
        engines = make_engines(prefill_count=4, decode_count=2)
        subjects = [f'{number:x}' for number in range(12)]
        async with run_gateway(tmp_path, engines) as harness:
            engines[4].faults.unresponsive = True
            statuses = await send_in_rounds(harness, subjects, rounds=3)
            assert not list_unserved(statuses)
            last = [answers[-1] for answers in statuses.values()]
            assert last.count(200) >= len(subjects) - 1

    run(check())


def test_plain_endpoint_that_callers_leave_is_avoided(tmp_path):
    # An endpoint accepts calls and does not answer. Callers leave before their
    # deadline, so that no attempt ends with a failure, and it stays as likely
    # a choice as the endpoint that works.
    async def check():
        plain = make_plain()
        async with run_gateway(tmp_path, plain=plain) as harness:
            plain[0].unresponsive = True
            answers = [
                await send_as(harness, 'page', number, '/proof/1', 0.6)
                for number in range(16)
            ]
            assert answers[-8:].count(200) >= 7

    run(check())
