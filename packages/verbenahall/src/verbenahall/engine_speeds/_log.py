"""Log lines and metrics of the factors of engines."""

import math
from typing import Final

from verbenahall import journal, metrics
from verbenahall.engine_speeds._table import EngineSpeeds

#: Maximum number of engines in one log line.
_MAX_LOGGED: Final = 40
_DECIMALS: Final = 2


def log_factors(speeds: EngineSpeeds, service: str) -> None:
    """Log the long-term factors of a service, the most unusual ones first."""
    factors = speeds.list_long_term(service)
    ranked = sorted(
        factors, key=lambda name: abs(math.log(factors[name])), reverse=True
    )
    journal.write_decision(
        'engine_speeds',
        service=service,
        level=round(speeds.find_level(service), _DECIMALS),
        measured=len(factors),
        factors={
            name: round(factors[name], _DECIMALS)
            for name in ranked[:_MAX_LOGGED]
        },
    )
    labels = {'service': service}
    metrics.MEASURED_ENGINES.set(labels, len(factors))
    slowest = max(factors.values(), default=1)
    metrics.ENGINE_SPREAD.set(
        labels, slowest / min(factors.values(), default=1)
    )
