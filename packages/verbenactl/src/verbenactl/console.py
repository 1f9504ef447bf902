"""The ``verbenactl`` command."""

import sys

from cleo.application import Application

from verbenactl import __version__


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(Application('verbenactl', __version__).run())
