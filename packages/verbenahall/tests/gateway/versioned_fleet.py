"""Instances in front of engines with different software versions."""

import contextlib
import functools

from verbenahall_standins.platform import EngineStandIn

from .conftest import PREFIX, run_gateway
from .cut_fleet import has_live_peers


def make_versioned_engines(**decode_counts):
    """Return two prefill engines, and decode engines of each version.

    The keywords are versions with their number of decode engines.
    """
    return [
        *(
            EngineStandIn(f'reader-{version}', 'prefill', version=version)
            for version in decode_counts
        ),
        *(
            EngineStandIn(f'{version}-{number}', 'decode', version=version)
            for version, count in decode_counts.items()
            for number in range(count)
        ),
    ]


def break_streams(site, after=2):
    """Let every decode engine close its streams after some events."""
    for engine in site.engines:
        engine.faults.break_after = after


def mend_streams(site):
    """Let all engines finish their streams."""
    break_streams(site, None)


def list_versions(site, *identities):
    """Return the versions of the engines that ran the given requests."""
    return {
        engine.version
        for engine in site.engines
        for run in engine.runs
        if run[f'{PREFIX}Request-Id'] in identities
    }


def make_resume_headers(first, last_event=2):
    """Return the headers by which a caller takes up a stream."""
    return {'Resumes': first, 'Last-Event-Id': str(last_event)}


@contextlib.asynccontextmanager
async def run_instances(folder, engines, count=2):
    """Run instances on one site; yield a list of their harnesses."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(run_gateway(folder, engines))
        harnesses = [first]
        for number in range(1, count):
            harness = run_gateway(
                folder, name=f'front-{number + 1}', site=first.site
            )
            harnesses.append(await stack.enter_async_context(harness))
        for harness in harnesses:
            await harness.wait_until(
                functools.partial(has_live_peers, harness, count - 1)
            )
        yield harnesses
