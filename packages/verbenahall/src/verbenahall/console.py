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
        """Read the settings; run the command, or print all faults."""
        config_path = self.option('config')
        if not config_path:
            self.line_error('--config FILE is required', style='error')
            return ExitCode.USAGE
        match read_instance_config(Path(config_path)):
            case Success(config):
                return self.run_with(config)
            case Failure(faults):
                return self._print_faults(faults)
        return ExitCode.FAULTS

    def run_with(self, config: instance.InstanceConfig) -> int:
        """Run the command with valid settings and return its exit code."""
        raise NotImplementedError

    def _print_faults(self, faults: tuple[Fault, ...]) -> int:
        for fault in faults:
            # A value in the file may look like one of cleo's style tags.
            self.io.write_error_line(str(fault).replace('<', r'\<'))
        return ExitCode.FAULTS


@final
class CheckCommand(_ConfigCommand):
    """Check a settings file without starting anything."""

    name = 'check'
    description = 'Check the instance settings and print all faults.'
    options: ClassVar[list[object]] = [_CONFIG]

    def run_with(self, config: instance.InstanceConfig) -> int:
        """Print the name and the data centre of the instance."""
        self.line(f'ok: instance {config.name} in {config.data_centre}')
        return ExitCode.OK


@final
class ServeCommand(_ConfigCommand):
    """Run an instance until a signal stops it."""

    name = 'serve'
    description = 'Run an instance; SIGTERM stops it gracefully.'
    options: ClassVar[list[object]] = [
        _CONFIG,
        option('no-decisions', None, 'Log warnings only.'),
    ]

    def run_with(self, config: instance.InstanceConfig) -> int:
        """Run the instance; return after its graceful stop."""
        journal.start_logging(decisions=not self.option('no-decisions'))
        instance.serve(config)
        return ExitCode.OK


def main() -> None:
    """Run the command line and exit with its code."""
    application = Application('verbenahall', __version__)
    application.add(CheckCommand())
    application.add(ServeCommand())
    sys.exit(application.run())
