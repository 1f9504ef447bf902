"""Waits for an event, up to a time."""

import asyncio
import contextlib


async def wait_for_event(event: asyncio.Event, within_s: float) -> None:
    """Wait until an event is set, for ``within_s`` seconds at most."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            await event.wait()
