"""Runs an entry instance with the platform's settings file."""

import os
import sys

from returns.result import Failure, Success

from verbenahall import gateway, journal
from verbenahall.platform import find_settings_path, read_settings


def main() -> int:
    """Serve, or print the faults of the settings and return 1."""
    match read_settings(find_settings_path(os.environ)):
        case Success(settings):
            journal.log_to_stdout()
            gateway.serve(settings)
            return 0
        case Failure(faults):
            for fault in faults:
                sys.stderr.write(f'{fault}\n')
    return 1


if __name__ == '__main__':
    sys.exit(main())
