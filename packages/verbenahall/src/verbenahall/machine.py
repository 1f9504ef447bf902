"""The machine on which a process runs."""

import contextlib
import os
from pathlib import Path
from typing import Final

#: The limit of the control group of the process, as the kernel shows it.
_GROUP_LIMIT: Final = Path('/sys/fs/cgroup/memory.max')


def read_memory_bytes() -> int:
    """Return the memory of the machine, or of the control group if less."""
    machine = os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
    with contextlib.suppress(OSError, ValueError):
        return min(machine, int(_GROUP_LIMIT.read_text()))
    return machine
