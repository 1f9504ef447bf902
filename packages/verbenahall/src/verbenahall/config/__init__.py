"""The settings file of an instance."""

from verbenahall.config._instance import (
    INSTANCE_SCHEMA,
    AdminConfig,
    CredentialConfig,
    InstanceConfig,
    LimitsConfig,
    PlatformConfig,
    TimingConfig,
    read_instance_config,
)

__all__ = (
    'INSTANCE_SCHEMA',
    'AdminConfig',
    'CredentialConfig',
    'InstanceConfig',
    'LimitsConfig',
    'PlatformConfig',
    'TimingConfig',
    'read_instance_config',
)
