"""The request path on the users' platform, and the process that runs it."""

from verbenahall.gateway._serve import serve

__all__ = ('serve',)
