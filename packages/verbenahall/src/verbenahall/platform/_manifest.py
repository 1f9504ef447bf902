"""Decodes the operator's manifest into a catalog."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall import wire
from verbenahall.authentication import (
    KeyTable,
    Workspace,
    build_key_table,
)
from verbenahall.catalog import (
    Catalog,
    EngineTraits,
    Kind,
    Limits,
    Route,
    ScalingRules,
    Service,
    Share,
)
from verbenahall.errors import ErrorKind, Problem
from verbenahall.platform import _fields as fields

_BITS_IN_BYTE: Final = 8
_BITS_IN_MEGABIT: Final = 1_000_000
#: Callers leave a stream after so long without an event: the longest of a
#: time, of objectives and of pauses, as the platform tells of them.
_PATIENCE_S: Final = 2.0
_PATIENCE_OBJECTIVES: Final = 4.0
_PATIENCE_GAPS: Final = 8.0
#: A kind that is not listed runs at most once, which is never wrong.
_KINDS: Final = MappingProxyType({kind.value: kind for kind in Kind})


def decode_manifest(record: bytes) -> Result[Catalog, Problem]:
    """Decode a whole manifest, or say what in it cannot be read.

    All or nothing: a catalog without one of its routes would answer 404
    where the operator's manifest allows a request.
    """
    return wire.decode_table(record).bind(_decode_table)


def _decode_table(table: dict[str, Any]) -> Result[Catalog, Problem]:
    try:
        return Success(_build(table))
    except (KeyError, TypeError, ValueError) as error:
        reason = f'manifest not readable: {error!r}'
        return Failure(Problem(ErrorKind.BAD_REQUEST, reason))


def _build(table: dict[str, Any]) -> Catalog:
    services = [_build_service(row) for row in table['services']]
    return Catalog(
        version=fields.integer(table, 'version'),
        routes=_build_routes(table['routes']),
        services={service.name: service for service in services},
        limits=_build_limits(table['limits']),
        keys=_build_keys(table.get('tenants')),
    )


def _build_routes(
    rows: list[dict[str, Any]],
) -> Mapping[str, Mapping[str, Route]]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in map(_build_route, rows):
        by_host.setdefault(route.host, {})[route.prefix] = route
    return MappingProxyType(by_host)


def _build_route(row: dict[str, Any]) -> Route:
    # The wire calls the latency objective of a route its SLO.
    objective_s = fields.seconds(row, 'sloMs')
    gap_s = fields.seconds(row, 'gapAimMs', 0)
    return Route(
        name=fields.text(row, 'name'),
        host=fields.text(row, 'host').lower(),
        prefix=fields.text(row, 'pathPrefix'),
        kind=_KINDS.get(row['kind'], Kind.NON_IDEMPOTENT),
        shares=_build_shares(row),
        timeout_s=fields.seconds(row, 'timeoutMs'),
        objective_s=objective_s,
        priority=fields.integer(row, 'priority', 0),
        # The wire counts endpoints that one request may be sent to.
        max_attempts=max(1, fields.integer(row, 'maxAttempts', 1)),
        resumable=row.get('resumable') is True,
        gap_s=gap_s,
        public=row.get('public') is True,
        patience_s=max(
            _PATIENCE_S,
            _PATIENCE_OBJECTIVES * objective_s,
            _PATIENCE_GAPS * gap_s,
        ),
    )


def _build_shares(row: dict[str, Any]) -> tuple[Share, ...]:
    """Return the services of a route; a plain route has a split of one."""
    if not row.get('split'):
        return (Share(fields.text(row, 'service'), 1),)
    shares = [
        Share(fields.text(part, 'service'), fields.number(part, 'weight'))
        for part in row['split']
    ]
    return tuple(share for share in shares if share.weight > 0)


def _build_service(row: dict[str, Any]) -> Service:
    engine = row.get('engine')
    return Service(
        name=fields.text(row, 'name'),
        engine=_build_traits(engine) if isinstance(engine, dict) else None,
        scaling=_build_scaling(row.get('autoscale')),
    )


def _build_scaling(row: dict[str, Any] | None) -> ScalingRules | None:
    if not row:
        return None
    least = fields.integer(row, 'min')
    most = fields.integer(row, 'max')
    if least > most:
        raise ValueError(f'autoscale.min {least} is above its max {most}')
    return ScalingRules(
        least=least,
        most=most,
        boot_s=fields.number(row, 'bootTimeoutS', 0),
        spot_share=fields.number(row, 'spotPrice', 1),
        prices=_read_prices(row.get('zonePrices')),
    )


def _read_prices(prices: dict[str, Any] | None) -> Mapping[str, float]:
    """Return what an engine costs by data centre, the wire's zone."""
    table = prices or {}
    return {centre: fields.number(table, centre) for centre in table}


def _build_traits(engine: dict[str, Any]) -> EngineTraits:
    megabits = fields.number(engine, 'linkMbps')
    return EngineTraits(
        slots=fields.integer(engine, 'slots'),
        kv_tokens=fields.integer(engine, 'kvCapacity'),
        kv_token_bytes=fields.integer(engine, 'kvTokenBytes'),
        link_bytes_s=megabits * _BITS_IN_MEGABIT / _BITS_IN_BYTE,
        # The wire's stride is how many tokens are put into one event.
        event_tokens=max(1, fields.integer(engine, 'stride', 1)),
        role_change_s=fields.number(engine, 'stageSwitchS', 0),
    )


def _build_limits(row: dict[str, Any]) -> Limits:
    return Limits(
        header_bytes=fields.integer(row, 'maxHeaderBytes'),
        body_bytes=fields.integer(row, 'maxBodyBytes'),
        header_timeout_s=fields.seconds(row, 'headerTimeoutMs'),
        idle_timeout_s=fields.seconds(row, 'idleTimeoutMs'),
    )


def _build_keys(rows: list[dict[str, Any]] | None) -> KeyTable | None:
    """Return the keys of the tenants, as the wire calls workspaces.

    Where the manifest names no tenants, callers need no key.
    """
    if not rows:
        return None
    return build_key_table(
        _build_holder(row, place) for place, row in enumerate(rows)
    )


def _build_holder(
    row: dict[str, Any],
    place: int,
) -> tuple[Workspace, list[str]]:
    keys = row['apiKeys']
    texts = isinstance(keys, list) and all(
        isinstance(key, str) and key for key in keys
    )
    if not texts:
        # The message goes into logs, so it does not quote what was found.
        raise TypeError(f'tenants[{place}].apiKeys must be a list of texts')
    has_priority = row.get('priority') is not None
    priority = fields.integer(row, 'priority') if has_priority else None
    return Workspace(fields.text(row, 'name'), priority), keys
