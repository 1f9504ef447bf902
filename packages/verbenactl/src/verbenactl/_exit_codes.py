"""Exit codes of the command line."""

from typing import Final

#: The command succeeded.
DONE: Final = 0
#: The file has faults, or the change was refused or is not in force yet.
REFUSED: Final = 1
#: The arguments are wrong, or the log or an instance did not answer.
UNREACHABLE: Final = 2
