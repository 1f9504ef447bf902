"""Composes the slices into an instance and runs it as a process."""

from verbenahall.config import InstanceConfig
from verbenahall.instance._serve import serve

__all__ = ('InstanceConfig', 'serve')
