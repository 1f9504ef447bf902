"""The entry instance: the request path and the process that runs it."""

from verbenahall.gateway._core import Core
from verbenahall.gateway._serve import Gateway, serve
from verbenahall.gateway._topics import Topics

__all__ = ('Core', 'Gateway', 'Topics', 'serve')
