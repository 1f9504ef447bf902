"""The entry instance: the request path and the process that runs it."""

from verbenahall.gateway._serve import Gateway, serve

__all__ = ('Gateway', 'serve')
