"""Applies the events of a plan to a deployment."""

import asyncio
import dataclasses
import itertools
import math
import signal
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from verbenahall_standins.platform import EngineStandIn, PlainStandIn
from verbenahall_standins.soak._datagrams import (
    get_loss_path,
    lose_datagrams,
)
from verbenahall_standins.soak._departures import StoreDisturbance
from verbenahall_standins.soak._deployment import Deployment, LeavingWay
from verbenahall_standins.soak._instances import Instance
from verbenahall_standins.soak._links import Cut
from verbenahall_standins.soak._notices import LinkFault
from verbenahall_standins.soak._plan import LEAVING_S, Event, Kind
from verbenahall_standins.soak._proxy import Link, Proxy

_LINKS: Final = (Link.SLOW, Link.RESET, Link.ONE_WAY, Link.SILENT)
#: Backoffs that endpoints request, in seconds.
_BACKOFFS_S: Final = (3.0, 2.0, 3.0, 0.25)
#: Pause between two requests that crash engines, in seconds.
_CRASHING_PAUSE_S: Final = 0.15
#: Software versions that engines have side by side.
_VERSIONS: Final = 3
#: Streams that are sent to each instance to use up its retry budget.
_SPENDING_STREAMS: Final = 40
#: Shares of the engines that pause at a time.
_PAUSED_SHARES: Final = (1.0, 0.6)
_CUTS: Final = (Cut.HANGING, Cut.RESET, Cut.NO_NEW)
#: How long the store is away before it returns from a copy, and how long after
#: its return the operator and the endpoints write again, in seconds.
_AWAY_S: Final = (0.05, 0.5, 1.0)
_REWRITE_S: Final = 0.1
#: Time from a start under the same name to the leaving, in seconds: less than
#: an entry of the start before takes to expire.
_AGAIN_S: Final = 1.0
_FOLLOWED_TOPICS: Final = ('keyed.op', 'keyed.servers')
#: What the store answers to instances that it refuses; 0 for a reset.
_STORE_STATUSES: Final = (
    HTTPStatus.TOO_MANY_REQUESTS.value,
    HTTPStatus.SERVICE_UNAVAILABLE.value,
    0,
)
#: Shares of their peers' datagrams that instances lose.
_LOST_SHARES: Final = (1.0, 0.5, 0.8)
#: Instances that are frozen or killed one after the other.
_SERIES: Final = 4
#: One in this many store link faults affects all instances.
_SHARED_EVERY: Final = 3


async def run_event(deployment: Deployment, event: Event) -> None:
    """Apply one event; return when it has ended."""
    await _ACTIONS[event.kind](deployment, event)


async def _disturb_endpoint_link(deployment: Deployment, event: Event) -> None:
    endpoint = _select(deployment.endpoints, event)
    started_at = time.monotonic()
    await _disturb_links([deployment.links[endpoint.name]], event)
    deployment.link_faults.append(
        LinkFault(
            endpoint.notices,
            started_at,
            time.monotonic(),
            _select_link(event),
        )
    )


async def _disturb_store_link(deployment: Deployment, event: Event) -> None:
    links = deployment.store_links
    is_shared = event.target_draw % _SHARED_EVERY == 0
    chosen = links if is_shared else [_select(links, event)]
    names = [deployment.instances[links.index(one)].name for one in chosen]
    started_at = time.monotonic()
    await _disturb_links(chosen, event)
    deployment.store_disturbances.append(
        StoreDisturbance(started_at, time.monotonic(), frozenset(names))
    )


async def _disturb_links(links: Sequence[Proxy], event: Event) -> None:
    for link in links:
        link.set(_select_link(event))
    await asyncio.sleep(event.for_s)
    for disturbed in links:
        disturbed.set(Link.GOOD)


def _select_link(event: Event) -> Link:
    return _LINKS[event.shape % len(_LINKS)]


async def _stop_store(deployment: Deployment, event: Event) -> None:
    status = HTTPStatus.SERVICE_UNAVAILABLE.value
    await _set_temporarily(
        deployment.site.store.faults, 'down', status, 0, event
    )


async def _lose_answers(deployment: Deployment, event: Event) -> None:
    await _set_temporarily(
        deployment.site.store.faults, 'lose_appends', True, False, event
    )


async def _stall_engine(deployment: Deployment, event: Event) -> None:
    engine = _select(deployment.site.engines, event)
    await _set_temporarily(engine.faults, 'stall_after', 1, None, event)


async def _silence_engine(deployment: Deployment, event: Event) -> None:
    """Let an engine accept requests without answering, as if stopped."""
    engine = _select(deployment.site.engines, event)
    await _set_temporarily(engine.faults, 'unresponsive', True, False, event)


async def _break_engine(deployment: Deployment, event: Event) -> None:
    engine = _select(deployment.site.engines, event)
    await _set_temporarily(engine.faults, 'break_after', 2, None, event)


async def _refuse(deployment: Deployment, event: Event) -> None:
    plain = _select(deployment.site.plain, event)
    await _set_temporarily(plain, 'refuses', True, False, event)


async def _set_temporarily(
    target: object,
    name: str,
    faulty: object,
    normal: object,
    event: Event,
) -> None:
    setattr(target, name, faulty)
    await asyncio.sleep(event.for_s)
    setattr(target, name, normal)


async def _leave(deployment: Deployment, event: Event) -> None:
    """Let an endpoint say in its answers that it leaves, then replace it.

    Its entry in the store does not change until then.
    """
    endpoint = _select(deployment.endpoints, event)
    if endpoint.notices.leaving:
        return
    endpoint.notices.leaving = True
    await asyncio.sleep(LEAVING_S + event.for_s)
    if not endpoint.notices.leaving:
        # It has crashed and is back as another incarnation.
        return
    deployment.replace_endpoint(endpoint)


async def _roll_out(deployment: Deployment, event: Event) -> None:
    """Let an engine leave, and replace it by one of another version."""
    engine = _select(deployment.site.engines, event)
    if engine.notices.leaving:
        return
    engine.notices.leaving = True
    await asyncio.sleep(LEAVING_S + event.for_s)
    if not engine.notices.leaving:
        # It has crashed and is back as another incarnation.
        return
    version = f'v{event.shape % _VERSIONS}'
    engine.version = version
    deployment.replace_endpoint(engine)


async def _send_crashing_part(deployment: Deployment, event: Event) -> None:
    """Send requests with a part that crashes engines, to all instances."""
    part = f'dead{event.shape}'
    _set_crashing_part(deployment, part)
    end = time.monotonic() + event.for_s
    async with asyncio.TaskGroup() as group:
        for callers in itertools.cycle(deployment.callers):
            if time.monotonic() >= end:
                break
            group.create_task(callers.send_crashing(part))
            await asyncio.sleep(_CRASHING_PAUSE_S)
    _set_crashing_part(deployment, None)


def _set_crashing_part(deployment: Deployment, part: str | None) -> None:
    for engine in deployment.site.engines:
        engine.faults.crash_on_part = part


async def _request_backoffs(deployment: Deployment, event: Event) -> None:
    """Let an endpoint refuse everything and state for how long.

    It refuses for longer than a backoff, so that it is met again at the end.
    """
    endpoint = _select(deployment.endpoints, event)
    backoff_s = _BACKOFFS_S[event.shape % len(_BACKOFFS_S)]
    longer = dataclasses.replace(event, for_s=event.for_s + backoff_s)
    endpoint.notices.request_backoff(backoff_s)
    if endpoint.role:
        await _set_temporarily(endpoint.faults, 'full', True, False, longer)
    else:
        await _set_temporarily(endpoint, 'refuses', True, False, longer)
    endpoint.notices.request_backoff(0)


async def _cut_instances(deployment: Deployment, event: Event) -> None:
    """Cut some instances, but not all, from all endpoints."""
    names = [one.name for one in deployment.instances]
    count_draw, form_number = divmod(event.shape, len(_CUTS))
    count = 1 + count_draw % (len(names) - 1)
    first = event.target_draw % len(names)
    chosen = (names[first:] + names[:first])[:count]
    await deployment.cuts.cut(chosen, _CUTS[form_number], event.for_s)


async def _pause_endpoints(deployment: Deployment, event: Event) -> None:
    """Let one, two or all endpoints of a group send nothing for a while."""
    engines = deployment.site.engines
    groups: Sequence[Sequence[EngineStandIn | PlainStandIn]] = (
        [engine for engine in engines if engine.role == 'decode'],
        [engine for engine in engines if engine.role == 'prefill'],
        deployment.plain,
        engines,
    )
    size, group_number = divmod(event.shape, len(groups))
    group = groups[group_number] or engines
    counts = (1, 2, len(group))
    first = event.target_draw % len(group)
    chosen = [*group[first:], *group[:first]][: counts[size % len(counts)]]
    await asyncio.gather(*(one.exchanges.pause(event.for_s) for one in chosen))


async def _pause_engines(deployment: Deployment, event: Event) -> None:
    """Let all engines, or three fifths of them, send nothing for a while."""
    engines = deployment.site.engines
    share = _PAUSED_SHARES[event.shape % len(_PAUSED_SHARES)]
    first = event.target_draw % len(engines)
    chosen = [*engines[first:], *engines[:first]]
    count = math.ceil(share * len(engines))
    pauses = (one.exchanges.pause(event.for_s) for one in chosen[:count])
    await asyncio.gather(*pauses)


async def _change_manifest(deployment: Deployment, event: Event) -> None:
    deployment.change_routes(event.shape)


async def _fail_engines(deployment: Deployment, event: Event) -> None:
    """Let engines break off each stream before its first event."""
    engines = deployment.site.engines
    for failing in engines:
        failing.faults.break_after = 0
    await asyncio.sleep(event.for_s)
    for sound in engines:
        sound.faults.break_after = None


async def _spend_budgets(deployment: Deployment, event: Event) -> None:
    """Let engines break so many streams that few more retries are allowed."""
    engines = deployment.site.engines
    pause_s = event.for_s / _SPENDING_STREAMS
    for breaking in engines:
        breaking.faults.break_after = event.shape % 2
    async with asyncio.TaskGroup() as group:
        for _ in range(_SPENDING_STREAMS):
            for callers in deployment.callers:
                group.create_task(callers.send_spending())
            await asyncio.sleep(pause_s)
        for sound in engines:
            sound.faults.break_after = None


async def _freeze(deployment: Deployment, event: Event) -> None:
    await _select_instance(deployment, event).freeze(event.for_s)


async def _kill(deployment: Deployment, event: Event) -> None:
    await _select_instance(deployment, event).restart(signal.SIGKILL)


async def _terminate(deployment: Deployment, event: Event) -> None:
    await _select_instance(deployment, event).restart(signal.SIGTERM)


async def _send_sighup(deployment: Deployment, event: Event) -> None:
    _select_instance(deployment, event).reload()


async def _publish(deployment: Deployment, event: Event) -> None:
    deployment.publish()


async def _replace_key(deployment: Deployment, event: Event) -> None:
    deployment.replace_key()


async def _delay_duties(deployment: Deployment, event: Event) -> None:
    await _set_temporarily(deployment.duties.faults, 'late_s', 1, 0, event)


async def _ignore_duties(deployment: Deployment, event: Event) -> None:
    await _set_temporarily(
        deployment.duties.faults, 'silent', True, False, event
    )


def _select_instance(deployment: Deployment, event: Event) -> Instance:
    return _select(deployment.instances, event)


def _select(targets: Sequence[Any], event: Event) -> Any:
    return targets[event.target_draw % len(targets)]


async def _return_store(deployment: Deployment, event: Event) -> None:
    """Let the store return from a copy that is as old as the event is long."""
    store = deployment.site.store
    copy = store.take_copy()
    await asyncio.sleep(event.for_s)
    store.faults.reset = True
    await asyncio.sleep(_AWAY_S[event.shape % len(_AWAY_S)])
    lost = store.take_copy()
    store.return_from(copy)
    store.faults.reset = False
    await asyncio.sleep(_REWRITE_S)
    store.write_again(lost)


async def _depart(deployment: Deployment, event: Event) -> None:
    """Let an endpoint leave, and replace it by another one later.

    Its entry says so or is removed; its answers may say so as well. It serves
    on for longer than requests may arrive.
    """
    endpoint = _select(deployment.endpoints, event)
    way = LeavingWay.select(event.shape)
    if not deployment.may_depart(endpoint):
        return
    if way.starts_again:
        deployment.start_again(endpoint)
        await asyncio.sleep(_AGAIN_S)
    start = endpoint.notices.start
    deployment.depart(endpoint, way)
    if way.is_relisted:
        await deployment.relist(endpoint, late_s=event.for_s / 2)
    await asyncio.sleep(LEAVING_S + event.for_s)
    if endpoint.notices.start != start:
        return
    if isinstance(endpoint, EngineStandIn):
        endpoint.version = f'v{event.shape % _VERSIONS}'
    deployment.replace_endpoint(endpoint)


async def _lose_history(deployment: Deployment, event: Event) -> None:
    for topic in _FOLLOWED_TOPICS:
        deployment.site.store.delete_old_records(topic)


async def _miss_wakeups(deployment: Deployment, event: Event) -> None:
    await _set_temporarily(
        deployment.site.store.faults, 'miss_wakeups', True, False, event
    )


async def _refuse_some(deployment: Deployment, event: Event) -> None:
    """Let the store refuse some instances, but not all."""
    instances = deployment.instances
    count_draw, status_number = divmod(event.shape, len(_STORE_STATUSES))
    count = 1 + count_draw % (len(instances) - 1)
    first = event.target_draw % len(instances)
    chosen = [*instances[first:], *instances[:first]][:count]
    status = _STORE_STATUSES[status_number]
    await deployment.refuse_at_store(chosen, status, event.for_s)


async def _freeze_in_series(deployment: Deployment, event: Event) -> None:
    """Freeze some instances one after the other, more than once."""
    for number in range(_SERIES):
        instance = deployment.instances[
            (event.target_draw + number) % len(deployment.instances)
        ]
        await instance.freeze(event.for_s / _SERIES)


async def _kill_in_series(deployment: Deployment, event: Event) -> None:
    """Kill half of the instances, the next one while the last starts."""
    instances = deployment.instances
    async with asyncio.TaskGroup() as group:
        for number in range(max(1, len(instances) // 2)):
            place = (event.target_draw + number) % len(instances)
            group.create_task(instances[place].restart(signal.SIGKILL))
            await asyncio.sleep(event.for_s / _SERIES)


async def _lose_peers(deployment: Deployment, event: Event) -> None:
    """Let some instances, or all, lose datagrams of their peers."""
    instances = deployment.instances
    share = _LOST_SHARES[event.shape % len(_LOST_SHARES)]
    count = 1 + event.target_draw % len(instances)
    paths = (get_loss_path(one.links_path) for one in instances[:count])
    await asyncio.gather(
        *(lose_datagrams(path, share, event.for_s) for path in paths)
    )


async def _kill_all(deployment: Deployment, event: Event) -> None:
    """Kill all instances at once, some of them twice in a row."""
    instances = deployment.instances
    await asyncio.gather(*(one.restart(signal.SIGKILL) for one in instances))
    again = instances[: event.shape % (len(instances) + 1)]
    await asyncio.gather(*(one.restart(signal.SIGKILL) for one in again))


_Action = Callable[[Deployment, Event], Awaitable[None]]
_ACTIONS: Final[Mapping[Kind, _Action]] = MappingProxyType(
    {
        Kind.ENDPOINT_LINK: _disturb_endpoint_link,
        Kind.STORE_LINK: _disturb_store_link,
        Kind.STORE_DOWN: _stop_store,
        Kind.STORE_LOSES_ANSWERS: _lose_answers,
        Kind.ENGINE_STALLS: _stall_engine,
        Kind.ENGINE_BREAKS: _break_engine,
        Kind.ENDPOINT_REFUSES: _refuse,
        Kind.FREEZE: _freeze,
        Kind.KILL: _kill,
        Kind.TERMINATE: _terminate,
        Kind.HANGUP: _send_sighup,
        Kind.MANIFEST: _publish,
        Kind.KEYS: _replace_key,
        Kind.DUTIES_LATE: _delay_duties,
        Kind.DUTIES_SILENT: _ignore_duties,
        Kind.ENGINE_SILENT: _silence_engine,
        Kind.ENDPOINT_LEAVES: _leave,
        Kind.ENDPOINT_BACKS_OFF: _request_backoffs,
        Kind.INSTANCES_CUT: _cut_instances,
        Kind.ROLLOUT: _roll_out,
        Kind.CRASHING_PART: _send_crashing_part,
        Kind.ENDPOINTS_PAUSE: _pause_endpoints,
        Kind.ENGINES_PAUSE: _pause_engines,
        Kind.MANIFEST_CHANGES: _change_manifest,
        Kind.BUDGETS_SPENT: _spend_budgets,
        Kind.ENGINES_FAIL: _fail_engines,
        Kind.STORE_RETURNS: _return_store,
        Kind.ENDPOINT_DEPARTS: _depart,
        Kind.HISTORY_LOST: _lose_history,
        Kind.WAKEUPS_MISSED: _miss_wakeups,
        Kind.STORE_REFUSES_SOME: _refuse_some,
        Kind.FREEZES_IN_SERIES: _freeze_in_series,
        Kind.KILLS_IN_SERIES: _kill_in_series,
        Kind.ALL_KILLED: _kill_all,
        Kind.PEERS_LOST: _lose_peers,
    },
)
