"""The command that checks a settings file before a process uses it."""

from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, ClassVar, Final

from cleo.commands.command import Command
from cleo.exceptions import CleoUserError
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from returns.result import Failure, Result

from verbenactl import _exit_codes
from verbenahall.config import read_instance_config
from verbenahall.platform import read_settings
from verbenahall.schema import Fault

_Faults = tuple[Fault, ...]
_Reader = Callable[[Path], Result[Any, _Faults]]

#: Functions that read each kind of settings file: that of an entry instance on
#: the platform, and that of an instance with settings of its own.
_READERS: Final[Mapping[str, _Reader]] = MappingProxyType(
    {'platform': read_settings, 'instance': read_instance_config},
)


class CheckCommand(Command):
    """Reads a file as the process would, and prints all of its faults."""

    name = 'check'
    description = "Check a process's settings file; print its faults."
    arguments: ClassVar[list[Argument]] = [
        argument('file', 'TOML file of one process.'),
    ]
    options: ClassVar[list[Option]] = [
        option(
            'kind',
            None,
            'Kind of the file: platform or instance.',
            flag=False,
            default='platform',
        ),
    ]

    def handle(self) -> int:
        """Read the file and print its faults."""
        read = _READERS.get(self.option('kind'))
        if read is None:
            kinds = ', '.join(_READERS)
            raise CleoUserError(f'--kind must be one of {kinds}')
        settings = read(Path(self.argument('file')))
        if isinstance(settings, Failure):
            for fault in settings.failure():
                self.line_error(str(fault))
            return _exit_codes.REFUSED
        self.line('no faults')
        return _exit_codes.DONE
