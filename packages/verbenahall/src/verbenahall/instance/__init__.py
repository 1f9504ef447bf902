"""One running instance: the slices composed into a process."""

from verbenahall.config import InstanceConfig
from verbenahall.instance._serve import serve

__all__ = ('InstanceConfig', 'serve')
