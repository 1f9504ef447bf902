"""Changes of the manifest beside pauses of endpoints."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any, Final, final

from verbenahall_standins.platform import make_manifest, make_route

#: The service of the endpoint that gets a share of a route in some manifests.
OTHER_SERVICE: Final = 'shelves'
#: Values of which manifests hold one each: the routes' timeout and the idle
#: timeout of callers' connections, in milliseconds, and the weight of the other
#: service, of ten.
_TIMEOUTS_MS: Final = (3000, 2500, 4000)
_IDLE_TIMEOUTS_MS: Final = (15_000, 2500, 5000)
_WEIGHTS: Final = (0, 3, 10)
_ALL_WEIGHTS: Final = 10
_SHARED_ROUTE: Final = 'archive'
_MS_IN_S: Final = 1000


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """What varies between manifests; ``weight`` is that of the other service.

    ``has_spare`` is whether the spare route is there.
    """

    timeout_ms: int = _TIMEOUTS_MS[0]
    idle_timeout_ms: int = _IDLE_TIMEOUTS_MS[0]
    weight: int = 0
    has_spare: bool = True

    @property
    def timeout_s(self) -> float:
        """The shortest timeout of a route, in seconds."""
        return min(self.timeout_ms, _TIMEOUTS_MS[0]) / _MS_IN_S

    def list_fields(self) -> Mapping[str, Any]:
        """Return the fields of a manifest of this form."""
        base = make_manifest(0)
        services = base['services']
        if self.weight:
            other = {**services[-1], 'name': OTHER_SERVICE}
            services = [*services, other]
        routes = [self._change_route(row) for row in base['routes']]
        if self.has_spare:
            routes.append(make_route('/spare/', 'idempotent', 'pages'))
        limits = {**base['limits'], 'idleTimeoutMs': self.idle_timeout_ms}
        return {'routes': routes, 'services': services, 'limits': limits}

    def _change_route(self, row: Mapping[str, Any]) -> Mapping[str, Any]:
        changed = {**row, 'timeoutMs': self.timeout_ms}
        if row['name'] == _SHARED_ROUTE and self.weight:
            changed['split'] = [
                {
                    'service': row['service'],
                    'weight': _ALL_WEIGHTS - self.weight,
                },
                {'service': OTHER_SERVICE, 'weight': self.weight},
            ]
        return changed


def list_changes() -> Sequence[Sequence[int]]:
    """Return the drawn numbers that vary one thing each.

    In this order: the idle time, the timeout, and the routes.
    """
    timeouts = len(_TIMEOUTS_MS)
    forms = timeouts * len(_IDLE_TIMEOUTS_MS)
    return (
        range(0, forms, timeouts),
        range(timeouts),
        range(0, forms * len(_WEIGHTS) * 2, forms),
    )


def select_form(shape: int) -> Form:
    """Return the form of a drawn number; an example is ``select_form(17)``."""
    rest, timeout = divmod(shape, len(_TIMEOUTS_MS))
    rest, idle = divmod(rest, len(_IDLE_TIMEOUTS_MS))
    rest, weight = divmod(rest, len(_WEIGHTS))
    return Form(
        _TIMEOUTS_MS[timeout],
        _IDLE_TIMEOUTS_MS[idle],
        _WEIGHTS[weight],
        has_spare=rest % 2 == 0,
    )
