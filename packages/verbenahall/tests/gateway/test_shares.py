"""Prompts of several workspaces in the queue of an instance."""

import asyncio

from .conftest import PREFIX, make_engines, run, run_gateway

TENANTS = (
    {'name': 'club', 'apiKeys': ['club-key']},
    {'name': 'council', 'apiKeys': ['council-key']},
)
CLUB, COUNCIL = 'club-key', 'council-key'


def send_long(harness, identity, key):
    """Send a prompt whose prefill takes long enough for others to queue."""
    headers = {
        f'{PREFIX}Key': key,
        f'{PREFIX}Token-Count': '60000,50',
        f'{PREFIX}Prompt-Prefix': f'aa:50000,{identity}:10000',
    }
    # Prompts differ: the same one again would be a repeat.
    return harness.send(
        '/summary/1', identity, headers=headers, data=identity.encode()
    )


def test_prompt_of_another_workspace_is_not_behind_all_of_the_first(tmp_path):
    # One workspace has sent many prompts at once. By due time, the prompt of
    # another workspace that came last would be prefilled last.
    async def check():
        engines = make_engines(prefill_count=1)
        engines[0].faults.prefill_delay_s = 0.05
        context = run_gateway(tmp_path, engines, manifest={'tenants': TENANTS})
        async with context as harness:
            # The time of a prefill is known from earlier ones.
            for number in range(12):
                await send_long(harness, f'early-{number}', CLUB)
            earlier = len(engines[0].prefills)
            tasks = []
            for number in range(12):
                sending = send_long(harness, f'r-{number}', CLUB)
                tasks.append(asyncio.create_task(sending))
            await harness.wait_until(
                lambda: len(harness.log_lines('queued')) == 11
            )
            sending = send_long(harness, 'last', COUNCIL)
            tasks.append(asyncio.create_task(sending))
            answers = await asyncio.gather(*tasks)

            assert {status for status, _, _ in answers} == {200}
            prefills = engines[0].prefills[earlier:]
            order = [one[f'{PREFIX}Request-Id'] for one in prefills]
            assert order.index('last') < 8
            fair_shares = harness.gateway.core.fair_shares
            charged = fair_shares.export(harness.gateway.core.now())
            assert 'council' in charged

    run(check())
