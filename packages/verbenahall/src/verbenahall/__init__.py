"""Entry instance of a serving system for a fixed fleet of engines."""

__version__ = '0.1.0'
