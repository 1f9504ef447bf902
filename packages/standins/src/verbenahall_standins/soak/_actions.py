"""Carries the events of a plan out."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from verbenahall_standins.soak._deployment import Deployment
from verbenahall_standins.soak._instances import Instance
from verbenahall_standins.soak._plan import Event, Kind
from verbenahall_standins.soak._proxy import Link, Proxy

_LINKS: Final = (Link.SLOW, Link.RESET, Link.ONE_WAY, Link.SILENT)
#: One of so many store faults hits all instances together.
_TOGETHER: Final = 3


async def act(deployment: Deployment, event: Event) -> None:
    """Carry one event out, to its end."""
    await _ACTIONS[event.kind](deployment, event)


async def _bend_endpoint(deployment: Deployment, event: Event) -> None:
    links = tuple(deployment.links.values())
    await _bend([_pick(links, event)], event)


async def _bend_store(deployment: Deployment, event: Event) -> None:
    links = deployment.store_links
    is_shared = event.place % _TOGETHER == 0
    await _bend(links if is_shared else [_pick(links, event)], event)


async def _bend(links: Sequence[Proxy], event: Event) -> None:
    for link in links:
        link.set(_LINKS[event.shape % len(_LINKS)])
    await asyncio.sleep(event.for_s)
    for bent in links:
        bent.set(Link.GOOD)


async def _down_store(deployment: Deployment, event: Event) -> None:
    status = HTTPStatus.SERVICE_UNAVAILABLE.value
    await _set(deployment.site.store.faults, 'down', status, 0, event)


async def _lose_answers(deployment: Deployment, event: Event) -> None:
    await _set(deployment.site.store.faults, 'lose_appends', True, False, event)


async def _stall_engine(deployment: Deployment, event: Event) -> None:
    engine = _pick(deployment.site.engines, event)
    await _set(engine.faults, 'stall_after', 1, None, event)


async def _break_engine(deployment: Deployment, event: Event) -> None:
    engine = _pick(deployment.site.engines, event)
    await _set(engine.faults, 'break_after', 2, None, event)


async def _refuse(deployment: Deployment, event: Event) -> None:
    plain = _pick(deployment.site.plain, event)
    await _set(plain, 'refuses', True, False, event)


async def _set(
    target: object,
    name: str,
    bad: object,
    good: object,
    event: Event,
) -> None:
    setattr(target, name, bad)
    await asyncio.sleep(event.for_s)
    setattr(target, name, good)


async def _freeze(deployment: Deployment, event: Event) -> None:
    await _pick_instance(deployment, event).freeze(event.for_s)


async def _kill(deployment: Deployment, event: Event) -> None:
    await _pick_instance(deployment, event).restart(signal.SIGKILL)


async def _terminate(deployment: Deployment, event: Event) -> None:
    await _pick_instance(deployment, event).restart(signal.SIGTERM)


async def _hang_up(deployment: Deployment, event: Event) -> None:
    _pick_instance(deployment, event).send(signal.SIGHUP)


async def _publish(deployment: Deployment, event: Event) -> None:
    deployment.publish()


async def _replace_key(deployment: Deployment, event: Event) -> None:
    deployment.replace_key()


async def _delay_duties(deployment: Deployment, event: Event) -> None:
    await _set(deployment.duties.faults, 'late_s', 1, 0, event)


async def _silence_duties(deployment: Deployment, event: Event) -> None:
    await _set(deployment.duties.faults, 'silent', True, False, event)


def _pick_instance(deployment: Deployment, event: Event) -> Instance:
    return _pick(deployment.instances, event)


def _pick(targets: Sequence[Any], event: Event) -> Any:
    return targets[event.place % len(targets)]


_Action = Callable[[Deployment, Event], Awaitable[None]]
_ACTIONS: Final[Mapping[Kind, _Action]] = MappingProxyType(
    {
        Kind.ENDPOINT_LINK: _bend_endpoint,
        Kind.STORE_LINK: _bend_store,
        Kind.STORE_DOWN: _down_store,
        Kind.STORE_LOSES_ANSWERS: _lose_answers,
        Kind.ENGINE_STALLS: _stall_engine,
        Kind.ENGINE_BREAKS: _break_engine,
        Kind.ENDPOINT_REFUSES: _refuse,
        Kind.FREEZE: _freeze,
        Kind.KILL: _kill,
        Kind.TERMINATE: _terminate,
        Kind.HANGUP: _hang_up,
        Kind.MANIFEST: _publish,
        Kind.KEYS: _replace_key,
        Kind.DUTIES_LATE: _delay_duties,
        Kind.DUTIES_SILENT: _silence_duties,
    },
)
