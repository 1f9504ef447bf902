"""Decodes the settings file that the platform writes for a process.

Fields that are not known are left alone: the platform may add some.
"""

import dataclasses
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from returns.result import Result

from verbenahall.platform import _fields as fields
from verbenahall.platform import _names as names
from verbenahall.schema import Fault, Field, Table, read_table

#: Where metrics are served unless the settings name a port; the deploy file
#: names the same one.
_METRICS_PORT: Final = 9464
_DEFAULT_PATH: Final = '/etc/verbenahall/settings.toml'
_LAST_PORT: Final = 65_535
_TEXT: Final = Field(str, pattern='.+')
#: Zero or more, and finite: an endless bound would never end a wait.
_AMOUNT: Final = Field(float, minimum=0, maximum=sys.float_info.max)
#: The keys that this system reads. All tables are open, since the platform
#: may add keys.
_SCHEMA: Final = Table(
    {
        'nodeName': _TEXT,
        'ip': _TEXT,
        'zone': _TEXT,
        # The first and the last of the ports that are free for this system.
        'portRange': Field(list, entry=int, minimum=2, maximum=2),
        'metricsPort': Field(
            int,
            default=_METRICS_PORT,
            minimum=1,
            maximum=_LAST_PORT,
        ),
        'listen': Table({'front': _TEXT, 'ready': _TEXT}, open=True),
        # ``cores`` is how many times as fast as one the core is.
        'limits': Table(
            {
                'cpuShare': dataclasses.replace(_AMOUNT, default=1),
                'cores': dataclasses.replace(_AMOUNT, default=1),
            },
            open=True,
        ),
        'platform': Table({'address': _TEXT}, open=True),
        'cloudApi': Table(
            {
                'address': Field(str, default=''),
                'duties': Field(list, entry=str, default=()),
            },
            open=True,
        ),
        'bounds': Table(
            {
                'drainMs': _AMOUNT,
                'graceS': _AMOUNT,
                'leaseMs': _AMOUNT,
                'retryRatio': _AMOUNT,
                'retryWindowS': _AMOUNT,
                'retrySlack': dataclasses.replace(_AMOUNT, default=0),
                'configApplyMs': dataclasses.replace(_AMOUNT, default=0),
                'usageWindowS': dataclasses.replace(_AMOUNT, default=0),
                'usageLateS': dataclasses.replace(_AMOUNT, default=0),
            },
            open=True,
        ),
    },
    open=True,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of time and of retries that the operators give, in seconds.

    ``leaving_s`` is how long after its word a leaving endpoint may still get
    work, and ``manifest_s`` how long after its acceptance a manifest must be in
    force; ``retry_share`` and ``retry_slack`` bound the further sends of all
    instances together within ``retry_window_s``. Usage is reported for each
    ``usage_window_s``, within ``usage_late_s`` after its end.
    """

    leaving_s: float
    manifest_s: float
    grace_s: float
    lease_s: float
    retry_share: float
    retry_window_s: float
    retry_slack: float
    usage_window_s: float = 0
    usage_late_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """What the platform tells a process; addresses are ``IP:port``.

    ``cores`` is how much of a usual core the process may use. ``duties`` are
    the calls that one instance at a time makes to the address ``duty_api``.
    """

    name: str
    ip: str
    data_centre: str
    callers: str
    readiness: str
    peer_port: int
    metrics_port: int
    store: str
    cores: float
    bounds: Bounds
    duty_api: str = ''
    duties: frozenset[str] = frozenset()

    @property
    def peer_address(self) -> str:
        """Where this instance hears its peers."""
        return f'{self.ip}:{self.peer_port}'


def find_settings_path(environment: Mapping[str, str]) -> Path:
    """Return where the platform has put the settings file."""
    return Path(environment.get(names.SETTINGS_VARIABLE, _DEFAULT_PATH))


def read_settings(path: Path) -> Result[ProcessSettings, tuple[Fault, ...]]:
    """Read a process's settings, or tell every fault with its line."""
    return read_table(path, _SCHEMA).map(_build)


def _build(table: dict[str, Any]) -> ProcessSettings:
    listen = table['listen']
    limits = table['limits']
    return ProcessSettings(
        name=table['nodeName'],
        ip=table['ip'],
        data_centre=table['zone'],
        callers=listen['front'],
        readiness=listen['ready'],
        peer_port=table['portRange'][0],
        metrics_port=table['metricsPort'],
        store=table['platform']['address'],
        cores=limits['cpuShare'] * limits['cores'],
        bounds=_build_bounds(table['bounds']),
        duty_api=table['cloudApi']['address'],
        duties=frozenset(table['cloudApi']['duties']),
    )


def _build_bounds(bounds: dict[str, Any]) -> Bounds:
    return Bounds(
        leaving_s=fields.seconds(bounds, 'drainMs'),
        manifest_s=_read_manifest_bound(bounds),
        grace_s=bounds['graceS'],
        lease_s=fields.seconds(bounds, 'leaseMs'),
        retry_share=bounds['retryRatio'],
        retry_window_s=bounds['retryWindowS'],
        retry_slack=bounds['retrySlack'],
        usage_window_s=bounds['usageWindowS'],
        usage_late_s=bounds['usageLateS'],
    )


def _read_manifest_bound(bounds: dict[str, Any]) -> float:
    """Return the bound for manifests; that for endpoints if there is none."""
    name = 'configApplyMs' if bounds['configApplyMs'] else 'drainMs'
    return fields.seconds(bounds, name)
