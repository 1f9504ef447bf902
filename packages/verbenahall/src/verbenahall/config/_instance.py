"""Settings that an instance reads at start: addresses, limits, timings."""

import dataclasses
from pathlib import Path
from typing import Any, Final

from returns.result import Result

from verbenahall import machine
from verbenahall.schema import Fault, Field, Rows, Table, read_table

_NAME: Final = '[a-z0-9][a-z0-9_.-]{0,62}'
_ADDRESS: Final = r'[0-9.]+:\d{1,5}'
_SHA256: Final = '[0-9a-f]{64}'
_BYTES_IN_MB: Final = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Addresses of the platform's services, as ``IP:port``."""

    log: str
    instance_list: str


@dataclasses.dataclass(frozen=True, slots=True)
class CredentialConfig:
    """A credential for the administration API.

    Only the SHA-256 of the token is stored.
    """

    team: str
    token_sha256: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdminConfig:
    """Credentials that may use ``/admin/v1``."""

    credentials: tuple[CredentialConfig, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsConfig:
    """Limits on requests, connections, queues and memory.

    ``memory_mb`` is the memory of the process in MB, 0 for that of the machine.
    """

    body_bytes: int
    header_bytes: int
    json_depth: int
    connections: int
    body_timeout_s: float
    queue_per_priority: int
    queue_per_workspace: int
    in_flight_per_engine: int
    default_deadline_s: float
    memory_mb: int = 0

    def find_memory_bytes(self) -> int:
        """Return the memory that the process may use, in bytes."""
        return self.memory_mb * _BYTES_IN_MB or machine.read_memory_bytes()


@dataclasses.dataclass(frozen=True, slots=True)
class TimingConfig:
    """Periods and timeouts in seconds."""

    list_poll_s: float
    load_poll_s: float
    heartbeat_s: float
    silent_after_s: float
    lease_s: float
    clock_margin_s: float
    longest_pause_s: float
    order_timeout_s: float
    grace_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceConfig:
    """All settings of an instance."""

    name: str
    data_centre: str
    deployment: str
    listen: str
    platform: PlatformConfig
    admin: AdminConfig
    limits: LimitsConfig
    timing: TimingConfig


INSTANCE_SCHEMA: Final = Table(
    {
        'instance': Table(
            {
                'name': Field(str, pattern=_NAME),
                'data_centre': Field(str, pattern=_NAME),
                'deployment': Field(str, pattern=_NAME),
                'listen': Field(str, pattern=_ADDRESS),
            },
            required=True,
        ),
        'platform': Table(
            {
                'log': Field(str, pattern=_ADDRESS),
                'instance_list': Field(str, pattern=_ADDRESS),
            },
            required=True,
        ),
        'admin': Table(
            {
                'credentials': Rows(
                    Table(
                        {
                            'team': Field(str, pattern=_NAME),
                            'token_sha256': Field(str, pattern=_SHA256),
                            'path': Field(str, default=''),
                        },
                    ),
                ),
            },
        ),
        'limits': Table(
            {
                'body_bytes': Field(int, default=8_388_608, minimum=1024),
                'header_bytes': Field(int, default=16_384, minimum=1024),
                'json_depth': Field(int, default=32, minimum=4, maximum=512),
                'connections': Field(int, default=4096, minimum=1),
                'body_timeout_s': Field(float, default=10.0, minimum=0.1),
                'queue_per_priority': Field(int, default=512, minimum=1),
                'queue_per_workspace': Field(int, default=128, minimum=1),
                'in_flight_per_engine': Field(int, default=16, minimum=1),
                'default_deadline_s': Field(float, default=60.0, minimum=0.1),
                'memory_mb': Field(int, default=0, minimum=0),
            },
        ),
        'timing': Table(
            {
                'list_poll_s': Field(float, default=0.5, minimum=0.05),
                'load_poll_s': Field(float, default=0.5, minimum=0.05),
                'heartbeat_s': Field(float, default=0.5, minimum=0.05),
                'silent_after_s': Field(float, default=2.0, minimum=0.1),
                'lease_s': Field(float, default=5.0, minimum=0.2),
                'clock_margin_s': Field(float, default=0.5, minimum=0),
                'longest_pause_s': Field(float, default=10.0, minimum=0),
                'order_timeout_s': Field(float, default=2.0, minimum=0.1),
                'grace_s': Field(float, default=30.0, minimum=0),
            },
        ),
    },
)


def read_instance_config(
    path: Path,
) -> Result[InstanceConfig, tuple[Fault, ...]]:
    """Read an instance's TOML file, or return all of its faults."""
    return read_table(path, INSTANCE_SCHEMA).map(_build_config)


def _build_config(table: dict[str, Any]) -> InstanceConfig:
    credentials = tuple(
        CredentialConfig(**row) for row in table['admin']['credentials']
    )
    return InstanceConfig(
        **table['instance'],
        platform=PlatformConfig(**table['platform']),
        admin=AdminConfig(credentials),
        limits=LimitsConfig(**table['limits']),
        timing=TimingConfig(**table['timing']),
    )
