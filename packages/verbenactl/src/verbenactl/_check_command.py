"""The command that checks a process's settings file before it is used."""

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

#: Who reads the file: an entry instance on the platform, or one that runs by
#: the product's own settings.
_READERS: Final[Mapping[str, _Reader]] = MappingProxyType(
    {'platform': read_settings, 'instance': read_instance_config},
)


class CheckCommand(Command):
    """Reads a file as the process would, and tells every fault at once."""

    name = 'check'
    description = "Check a process's settings file; tell file, line and key."
    arguments: ClassVar[list[Argument]] = [
        argument('file', 'TOML file of one process.'),
    ]
    options: ClassVar[list[Option]] = [
        option(
            'kind',
            None,
            'Who reads it: platform or instance.',
            flag=False,
            default='platform',
        ),
    ]

    def handle(self) -> int:
        """Read the file and write its faults."""
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
