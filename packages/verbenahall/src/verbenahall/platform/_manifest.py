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
    Limits,
    Route,
    RouteKind,
    ScalingRules,
    Service,
    Share,
)
from verbenahall.errors import ErrorKind, Problem
from verbenahall.platform import _fields as fields

#: What a member of another type or a missing one raises.
_INVALID: Final = (AttributeError, LookupError, TypeError, ValueError)
_BITS_IN_BYTE: Final = 8
_BITS_IN_MEGABIT: Final = 1_000_000
#: Least bandwidth in megabits a second and least objective in seconds: costs
#: are divided by them, as by the slots and the memory of an engine, which are
#: at least 1.
_MIN_MEGABITS: Final = 0.001
_MIN_OBJECTIVE_S: Final = 0.001
#: Callers abandon a stream after waiting this long for an event: the maximum
#: of a time in seconds, a number of objectives and a number of gaps. The
#: platform states these values.
_MIN_ABANDON_S: Final = 2.0
_ABANDON_OBJECTIVES: Final = 4.0
_ABANDON_GAPS: Final = 8.0
#: An unknown kind is treated as non-idempotent: running a request at most
#: once is always correct.
_KINDS: Final = MappingProxyType({kind.value: kind for kind in RouteKind})


def decode_manifest(record: bytes) -> Result[Catalog, Problem]:
    """Decode a manifest, or return the first error in it.

    A manifest is decoded completely or not at all: a catalog that lacks a
    route would answer 404 to requests that the operator allows.
    """
    return wire.decode_table(record).bind(_decode_table)


def _decode_table(table: dict[str, Any]) -> Result[Catalog, Problem]:
    try:
        return Success(_build(table))
    except _INVALID as error:
        reason = f'invalid manifest: {error!r}'
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
    # The platform calls the latency objective of a route its SLO.
    objective_s = max(_MIN_OBJECTIVE_S, fields.seconds(row, 'sloMs'))
    gap_s = fields.seconds(row, 'gapAimMs', 0)
    return Route(
        name=fields.text(row, 'name'),
        host=fields.text(row, 'host').lower(),
        prefix=fields.text(row, 'pathPrefix'),
        kind=_KINDS.get(row['kind'], RouteKind.NON_IDEMPOTENT),
        shares=_build_shares(row),
        timeout_s=fields.seconds(row, 'timeoutMs'),
        objective_s=objective_s,
        priority=fields.integer(row, 'priority', 0),
        # The number of endpoints that a request may be sent to.
        max_attempts=max(1, fields.integer(row, 'maxAttempts', 1)),
        resumable=row.get('resumable') is True,
        gap_s=gap_s,
        public=row.get('public') is True,
        abandon_after_s=max(
            _MIN_ABANDON_S,
            _ABANDON_OBJECTIVES * objective_s,
            _ABANDON_GAPS * gap_s,
        ),
    )


def _build_shares(row: dict[str, Any]) -> tuple[Share, ...]:
    """Return the weighted services; a route without a split has one."""
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
    min_engines = fields.integer(row, 'min')
    max_engines = fields.integer(row, 'max')
    if min_engines > max_engines:
        raise ValueError(
            f'autoscale.min {min_engines} is above its max {max_engines}'
        )
    return ScalingRules(
        min_engines=min_engines,
        max_engines=max_engines,
        boot_s=fields.number(row, 'bootTimeoutS', 0),
        spot_share=fields.number(row, 'spotPrice', 1),
        prices=_read_prices(row.get('zonePrices')),
    )


def _read_prices(prices: dict[str, Any] | None) -> Mapping[str, float]:
    """Return the price of an engine by data centre (the platform's zone)."""
    table = prices or {}
    return {centre: fields.number(table, centre) for centre in table}


def _build_traits(engine: dict[str, Any]) -> EngineTraits:
    megabits = max(_MIN_MEGABITS, fields.number(engine, 'linkMbps'))
    return EngineTraits(
        slots=max(1, fields.integer(engine, 'slots')),
        kv_tokens=max(1, fields.integer(engine, 'kvCapacity')),
        kv_token_bytes=fields.integer(engine, 'kvTokenBytes'),
        link_bytes_s=megabits * _BITS_IN_MEGABIT / _BITS_IN_BYTE,
        # The platform calls the tokens of one event the stride.
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
    """Return the API keys of the workspaces, None if none are required.

    The platform calls a workspace a tenant. Callers need no key if the
    manifest has no tenants.
    """
    if not rows:
        return None
    return build_key_table(
        _build_holder(row, index) for index, row in enumerate(rows)
    )


def _build_holder(
    row: dict[str, Any],
    index: int,
) -> tuple[Workspace, list[str]]:
    keys = row['apiKeys']
    are_strings = isinstance(keys, list) and all(
        isinstance(key, str) and key for key in keys
    )
    if not are_strings:
        # The message is logged, so it must not contain the keys.
        raise TypeError(f'tenants[{index}].apiKeys must be a list of strings')
    has_priority = row.get('priority') is not None
    priority = fields.integer(row, 'priority') if has_priority else None
    return Workspace(fields.text(row, 'name'), priority), keys
