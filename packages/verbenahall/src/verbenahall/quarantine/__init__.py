"""Requests that crash the endpoints that run them."""

from verbenahall.quarantine._fingerprint import make_fingerprint

__all__ = ('make_fingerprint',)
