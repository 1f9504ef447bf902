"""Decodes the settings file that the platform writes for a process.

Fields that are not known are left alone: the platform may add some.
"""

import dataclasses
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from returns.result import Failure, Result, Success

from verbenahall.platform import _fields as fields
from verbenahall.platform import _names as names
from verbenahall.schema import Fault

#: Where metrics are served unless the settings name a port; the deploy file
#: names the same one.
_METRICS_PORT: Final = 9464
_DEFAULT_PATH: Final = '/etc/verbenahall/settings.toml'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of time and of retries that the operators give, in seconds.

    ``leaving_s`` is how long after its word a leaving endpoint may still get
    work; ``retry_share`` and ``retry_slack`` bound the further sends of all
    instances together within ``retry_window_s``.
    """

    leaving_s: float
    grace_s: float
    lease_s: float
    retry_share: float
    retry_window_s: float
    retry_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What the platform tells a process; addresses are ``IP:port``."""

    name: str
    ip: str
    data_centre: str
    callers: str
    readiness: str
    peer_port: int
    metrics_port: int
    store: str
    bounds: Bounds


def find_settings_path(environment: Mapping[str, str]) -> Path:
    """Return where the platform has put the settings file."""
    return Path(environment.get(names.SETTINGS_VARIABLE, _DEFAULT_PATH))


def read_settings(path: Path) -> Result[ProcessSettings, tuple[Fault, ...]]:
    """Read a process's settings, or tell the fault that was met."""
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return _fail(path, '', str(error))
    try:
        return Success(_build(table))
    except KeyError as error:
        return _fail(path, str(error.args[0]), 'the key is missing')
    except (TypeError, ValueError) as error:
        return _fail(path, '', str(error))


def _fail(
    path: Path,
    key: str,
    message: str,
) -> Result[ProcessSettings, tuple[Fault, ...]]:
    return Failure((Fault(str(path), 1, key, message),))


def _build(table: dict[str, Any]) -> ProcessSettings:
    listen = table['listen']
    return ProcessSettings(
        name=fields.text(table, 'nodeName'),
        ip=fields.text(table, 'ip'),
        data_centre=fields.text(table, 'zone'),
        callers=fields.text(listen, 'front'),
        readiness=fields.text(listen, 'ready'),
        peer_port=int(table['portRange'][0]),
        metrics_port=int(table.get('metricsPort', _METRICS_PORT)),
        store=fields.text(table['platform'], 'address'),
        bounds=_build_bounds(table['bounds']),
    )


def _build_bounds(bounds: dict[str, Any]) -> Bounds:
    return Bounds(
        leaving_s=fields.seconds(bounds, 'drainMs'),
        grace_s=fields.number(bounds, 'graceS'),
        lease_s=fields.seconds(bounds, 'leaseMs'),
        retry_share=fields.number(bounds, 'retryRatio'),
        retry_window_s=fields.number(bounds, 'retryWindowS'),
        retry_slack=fields.number(bounds, 'retrySlack', 0),
    )
