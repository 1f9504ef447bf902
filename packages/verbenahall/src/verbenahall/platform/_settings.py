"""Decodes the settings file that the platform writes for a process.

Unknown fields are ignored, since the platform may add some.
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

#: The port for metrics if the settings state none; the deploy file uses the
#: same default.
_METRICS_PORT: Final = 9464
#: The memory of a process if the settings state none, in MB.
_MEMORY_MB: Final = 256
#: The descriptors of a process if the settings state none.
_DESCRIPTORS: Final = 4096
#: The bandwidth of the machine's link if the settings state none, in Mbit/s.
_LINK_MEGABITS: Final = 1000.0
_BYTES_IN_MB: Final = 1_000_000
_DEFAULT_PATH: Final = '/etc/verbenahall/settings.toml'
_LAST_PORT: Final = 65_535
_TEXT: Final = Field(str, pattern='.+')
#: Not negative and finite: with an infinite bound a wait would never end.
_NON_NEGATIVE: Final = Field(float, minimum=0, maximum=sys.float_info.max)
#: The keys that this system reads. All tables are open, since the platform
#: may add others.
_SCHEMA: Final = Table(
    {
        'nodeName': _TEXT,
        'ip': _TEXT,
        'zone': _TEXT,
        # The first and the last port that this system may use.
        'portRange': Field(list, entry=int, minimum=2, maximum=2),
        'metricsPort': Field(
            int,
            default=_METRICS_PORT,
            minimum=1,
            maximum=_LAST_PORT,
        ),
        'listen': Table({'front': _TEXT, 'ready': _TEXT}, open=True),
        # ``cores`` is the speed of the core relative to a usual one.
        'limits': Table(
            {
                'cpuShare': dataclasses.replace(_NON_NEGATIVE, default=1),
                'cores': dataclasses.replace(_NON_NEGATIVE, default=1),
                'memoryMb': dataclasses.replace(
                    _NON_NEGATIVE, default=_MEMORY_MB
                ),
                'maxFds': dataclasses.replace(
                    _NON_NEGATIVE, default=_DESCRIPTORS
                ),
                'linkMbps': dataclasses.replace(
                    _NON_NEGATIVE, default=_LINK_MEGABITS
                ),
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
                'drainMs': _NON_NEGATIVE,
                'graceS': _NON_NEGATIVE,
                'leaseMs': _NON_NEGATIVE,
                'retryRatio': _NON_NEGATIVE,
                'retryWindowS': _NON_NEGATIVE,
                'retrySlack': dataclasses.replace(_NON_NEGATIVE, default=0),
                'configApplyMs': dataclasses.replace(_NON_NEGATIVE, default=0),
                'usageWindowS': dataclasses.replace(_NON_NEGATIVE, default=0),
                'usageLateS': dataclasses.replace(_NON_NEGATIVE, default=0),
            },
            open=True,
        ),
    },
    open=True,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and retry limits of the operators; times in seconds.

    A leaving endpoint may get requests for at most ``leaving_s`` after it
    announced that it leaves. An accepted manifest must be in force within
    ``manifest_s``. ``retry_share`` and ``retry_slack`` limit the retries of
    all instances together within ``retry_window_s``. Usage is reported for
    each ``usage_window_s``, within ``usage_late_s`` after its end.
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
    """The settings of a process; addresses are ``IP:port``.

    ``callers`` and ``readiness`` are the addresses to listen on. ``cores`` is
    the share of a usual core that the process may use, and ``memory_bytes`` the
    memory beyond which it is killed. ``descriptors`` is the number of files and
    sockets that it may have open. ``link_megabits`` is the bandwidth of its
    machine's link in Mbit/s. ``duties`` names the
    calls to the address ``duty_api`` that one instance at a time makes.
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
    memory_bytes: int = _MEMORY_MB * _BYTES_IN_MB
    link_megabits: float = _LINK_MEGABITS
    descriptors: int = _DESCRIPTORS

    @property
    def peer_address(self) -> str:
        """The address on which this instance receives messages of its peers."""
        return f'{self.ip}:{self.peer_port}'


def find_settings_path(environment: Mapping[str, str]) -> Path:
    """Return the path of the settings file."""
    return Path(environment.get(names.SETTINGS_VARIABLE, _DEFAULT_PATH))


def read_settings(path: Path) -> Result[ProcessSettings, tuple[Fault, ...]]:
    """Read the settings of a process, or return all faults with lines."""
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
        memory_bytes=int(limits['memoryMb'] * _BYTES_IN_MB),
        link_megabits=limits['linkMbps'],
        descriptors=int(limits['maxFds']),
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
    """Return the limit for manifests; that for endpoints if not stated."""
    name = 'configApplyMs' if bounds['configApplyMs'] else 'drainMs'
    return fields.seconds(bounds, name)
