"""Operators' command: lint, publish, diff, history, status, explain."""

__version__ = '0.1.0'
