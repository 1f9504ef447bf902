"""Reads a request into a call: route, workspace, body and deadline."""

import dataclasses
import functools
from typing import Final, final

from aiohttp import web
from returns.result import Failure, Result, Success

from verbenahall.catalog import pick_service
from verbenahall.errors import ErrorKind, Problem, Ran
from verbenahall.forwarding import HOP_HEADER, Hop
from verbenahall.gateway._admission import (
    Admission,
    RequestAdmitter,
    read_host,
)
from verbenahall.gateway._channels import CallerChannel
from verbenahall.gateway._core import Core
from verbenahall.gateway._limits import read_limited_body
from verbenahall.gateway._messages import Call
from verbenahall.platform import OPERATOR_TOPIC, RequestHead
from verbenahall.quarantine import (
    find_longest_quarantine_s,
    make_fingerprint,
    make_part_key,
)
from verbenahall.requests import build_quarantine_problem

_RawHeaders = tuple[tuple[bytes, bytes], ...]
_HOP_HEADER: Final = HOP_HEADER.lower().encode()
#: Parts of a prompt that are counted at most; a caller may list thousands.
_MAX_PARTS: Final = 64


@final
class CallReader:
    """Admits requests and reads their bodies."""

    __slots__ = ('_admitter', '_core')

    def __init__(self, core: Core, admitter: RequestAdmitter) -> None:
        """Admit requests by ``admitter``."""
        self._admitter = admitter
        self._core = core

    async def read(
        self,
        request: web.Request,
        head: RequestHead,
        received: float,
        hop: Hop | None,
    ) -> Result[Call, Problem]:
        """Return the call, or why the request is refused.

        ``hop`` describes a request that a peer forwarded.
        """
        await self._core.freshness[OPERATOR_TOPIC].wait_usable()
        found = await self._admitter.admit(request, head)
        match found:
            case Success(admission):
                call = await self._read(request, head, received, admission)
                return call.map(functools.partial(_add_hop, hop)).bind(
                    self._check_quarantine
                )
            case _:
                return found

    async def _read(
        self,
        request: web.Request,
        head: RequestHead,
        received: float,
        admission: Admission,
    ) -> Result[Call, Problem]:
        catalog, route = admission.catalog, admission.route
        read = await read_limited_body(request, catalog.limits)
        if isinstance(read, Failure):
            return read
        body = read.unwrap()
        service = catalog.services.get(pick_service(route, self._core.random))
        if service is None:
            message = 'the route has no service that is in the manifest'
            return Failure(Problem(ErrorKind.NO_ENDPOINT, message, Ran.NO))
        wait_s = route.timeout_s
        waited_s: float = 0
        if head.wait_s is not None:
            wait_s = min(wait_s, head.wait_s)
            waited_s = self._core.earlier_waits.estimate(
                route.name, wait_s, received
            )
        return Success(
            Call(
                head=head,
                route=route,
                service=service,
                version=catalog.version,
                method=request.method,
                path=request.raw_path,
                raw_headers=_drop_hop_header(request.raw_headers),
                body=body,
                received=received,
                deadline=received + wait_s,
                waited_s=waited_s,
                fingerprint=make_fingerprint(
                    request.method,
                    read_host(request),
                    request.raw_path,
                    body,
                ),
                workspace=admission.workspace,
                part_keys=_make_part_keys(service.name, head),
                channel=CallerChannel(request),
            ),
        )

    def _check_quarantine(self, call: Call) -> Result[Call, Problem]:
        """Refuse a quarantined call, which would not be sent anyway."""
        left_s = find_longest_quarantine_s(
            self._core.crash_log,
            call.quarantine_keys,
            call.received,
        )
        if left_s:
            return Failure(build_quarantine_problem(left_s))
        return Success(call)


def _add_hop(hop: Hop | None, call: Call) -> Call:
    """Return the call with what the peer states that forwarded it."""
    if hop is None:
        return call
    return dataclasses.replace(
        call, hop=hop, is_counted=hop.is_counted, waited_s=hop.waited_s
    )


def _make_part_keys(service: str, head: RequestHead) -> tuple[str, ...]:
    parts = head.work.shared_parts[:_MAX_PARTS]
    keys = (make_part_key(service, part.identity) for part in parts)
    return tuple(dict.fromkeys(keys))


def _drop_hop_header(raw: _RawHeaders) -> _RawHeaders:
    """Return the headers without the one that only instances set."""
    return tuple(pair for pair in raw if pair[0].lower() != _HOP_HEADER)
