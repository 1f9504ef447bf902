"""The ``verbenahall`` command."""

import sys

from cleo.application import Application

from verbenahall import __version__


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(Application('verbenahall', __version__).run())
