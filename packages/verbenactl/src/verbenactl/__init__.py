"""The operators' command line."""

__version__ = '0.1.0'
