"""Child processes for tests and drivers; the product starts none."""

import contextlib
import dataclasses
import signal
import subprocess
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final, final

_STOP_TIMEOUT_S: Final = 40.0
_READY_PREFIX: Final = 'listening '


class NotReadyError(Exception):
    """A process ended before it said that it listens."""


@final
@dataclasses.dataclass(slots=True)
class Running:
    """A started process and the ``IP:port`` on which it listens."""

    address: str
    process: 'subprocess.Popen[str]'

    @property
    def pid(self) -> int:
        """The process's number."""
        return self.process.pid

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, wait, and return the exit code.

        A process that has not ended after ``timeout_s`` seconds is killed,
        so that a driver never leaves one behind.
        """
        self.ask_to_stop()
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode
        finally:
            self._close()

    def ask_to_stop(self) -> None:
        """Send SIGTERM, also to a paused process, and do not wait."""
        self.process.terminate()
        self.resume()

    def kill(self) -> None:
        """Send SIGKILL and wait until the process is gone."""
        self.process.kill()
        self.process.wait()
        self._close()

    def pause(self) -> None:
        """Send SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    def _close(self) -> None:
        if self.process.stdout is not None:
            self.process.stdout.close()


def start(module: str, *arguments: str) -> Running:
    """Start ``python -m module arguments`` and wait until it listens.

    The process prints ``listening IP:port`` as its first line on standard
    output. Its standard error is this process's own::

        log = start('verbenahall_standins.log', '--port', '0')
    """
    return wait_ready(launch(module, *arguments))


def launch(module: str, *arguments: str) -> 'subprocess.Popen[str]':
    """Start ``python -m module arguments`` without waiting."""
    return launch_command((sys.executable, '-m', module, *arguments))


def launch_command(
    command: Sequence[str],
    errors: Path | None = None,
) -> 'subprocess.Popen[str]':
    """Start a command without waiting; ``errors`` takes its standard error."""
    with contextlib.ExitStack() as stack:
        file = errors and stack.enter_context(errors.open('w'))
        return subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=file,
            text=True,
        )


def find_script(name: str) -> str:
    """Return the path of a console script of this environment."""
    return str(Path(sys.executable).with_name(name))


def wait_ready(process: 'subprocess.Popen[str]') -> Running:
    """Read the process's lines until it says where it listens."""
    for line in process.stdout or ():
        if line.startswith(_READY_PREFIX):
            return Running(line.removeprefix(_READY_PREFIX).strip(), process)
    code = process.wait()
    raise NotReadyError(f'{process.args} ended with {code}')


def stop_all(started: Iterable[Running]) -> None:
    """Stop processes together, killing those that take too long."""
    ending = list(started)
    for running in ending:
        running.ask_to_stop()
    for last in ending:
        last.stop()
