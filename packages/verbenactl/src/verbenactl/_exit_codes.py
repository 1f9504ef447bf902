"""Exit codes of the command line."""

from typing import Final

#: All was done as asked.
DONE: Final = 0
#: The file has faults, or the change was refused or is not in force yet.
REFUSED: Final = 1
#: The command was used wrongly, or nobody answered.
UNREACHABLE: Final = 2
