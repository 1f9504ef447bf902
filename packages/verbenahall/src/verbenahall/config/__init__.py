"""The instance's own settings file."""

from verbenahall.config._instance import (
    AdminConfig,
    CredentialConfig,
    InstanceConfig,
    LimitsConfig,
    PlatformConfig,
    TimingConfig,
    read_instance_config,
)

__all__ = (
    'AdminConfig',
    'CredentialConfig',
    'InstanceConfig',
    'LimitsConfig',
    'PlatformConfig',
    'TimingConfig',
    'read_instance_config',
)
