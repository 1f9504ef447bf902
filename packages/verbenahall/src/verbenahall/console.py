"""The ``verbenahall`` command: ``serve`` and ``check``."""

import enum
import sys
from pathlib import Path
from typing import ClassVar, final

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure, Success

from verbenahall import __version__, instance, journal
from verbenahall.config import read_instance_config
from verbenahall.schema import Fault

_CONFIG = option(
    'config',
    'c',
    'The instance settings, a TOML file.',
    flag=False,
)


@final
class ExitCode(enum.IntEnum):
    """What the command's exit code means."""

    OK = 0
    FAULTS = 1
    USAGE = 2


class _ConfigCommand(Command):
    """A command that reads the instance's settings file."""

    def handle(self) -> int:
        """Read the settings and tell all faults, or go on with them."""
        config_path = self.option('config')
        if not config_path:
            self.line_error('--config FILE is needed', style='error')
            return ExitCode.USAGE
        match read_instance_config(Path(config_path)):
            case Success(config):
                return self.run_with(config)
            case Failure(faults):
                return self._tell(faults)
        return ExitCode.FAULTS

    def run_with(self, config: instance.InstanceConfig) -> int:
        """Do the command's work with checked settings."""
        raise NotImplementedError

    def _tell(self, faults: tuple[Fault, ...]) -> int:
        for fault in faults:
            # Written raw: a settings file may hold what cleo takes for style.
            self.io.write_error_line(str(fault).replace('<', r'\<'))
        return ExitCode.FAULTS


@final
class CheckCommand(_ConfigCommand):
    """Check a settings file without starting anything."""

    name = 'check'
    description = 'Check the instance settings; tells every fault at once.'
    options: ClassVar[list[object]] = [_CONFIG]

    def run_with(self, config: instance.InstanceConfig) -> int:
        """Say that the file is good and which instance it describes."""
        self.line(f'ok: instance {config.name} in {config.data_centre}')
        return ExitCode.OK


@final
class ServeCommand(_ConfigCommand):
    """Run an instance until it is told to stop."""

    name = 'serve'
    description = 'Run an instance; SIGTERM stops it gracefully.'
    options: ClassVar[list[object]] = [
        _CONFIG,
        option('no-decisions', None, 'Log warnings only.'),
    ]

    def run_with(self, config: instance.InstanceConfig) -> int:
        """Serve, then return once the last request is answered."""
        journal.start_logging(decisions=not self.option('no-decisions'))
        instance.serve(config)
        return ExitCode.OK


def main() -> None:
    """Run the command line and exit with its code."""
    application = Application('verbenahall', __version__)
    application.add(CheckCommand())
    application.add(ServeCommand())
    sys.exit(application.run())
