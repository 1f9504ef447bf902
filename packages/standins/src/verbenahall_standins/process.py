"""Child processes for tests and tools; the product itself starts none."""

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
    """A process ended before it printed its address."""


@final
@dataclasses.dataclass(slots=True)
class RunningProcess:
    """A started process and the ``IP:port`` on which it listens."""

    address: str
    process: 'subprocess.Popen[str]'

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, wait for the end, and return the exit code.

        A process that is still running after ``timeout_s`` seconds is
        killed, so that no process is left behind.
        """
        self.terminate()
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode
        finally:
            self._close()

    def terminate(self) -> None:
        """Send SIGTERM without waiting; a paused process is resumed."""
        self.process.terminate()
        self.resume()

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
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


def start(module: str, *arguments: str) -> RunningProcess:
    """Start ``python -m module arguments`` and wait until it listens.

    The process prints ``listening IP:port`` on standard output. It inherits
    the standard error of this process::

        log = start('verbenahall_standins.log', '--port', '0')
    """
    return wait_until_ready(launch(module, *arguments))


def launch(module: str, *arguments: str) -> 'subprocess.Popen[str]':
    """Start ``python -m module arguments`` without waiting for it."""
    return launch_command((sys.executable, '-m', module, *arguments))


def launch_command(
    command: Sequence[str],
    errors: Path | None = None,
) -> 'subprocess.Popen[str]':
    """Start a command; its standard error goes to the file ``errors``."""
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


def wait_until_ready(process: 'subprocess.Popen[str]') -> RunningProcess:
    """Read the process's output until it prints its address.

    Raises ``NotReadyError`` if the process ends first.
    """
    for line in process.stdout or ():
        if line.startswith(_READY_PREFIX):
            return RunningProcess(
                line.removeprefix(_READY_PREFIX).strip(), process
            )
    code = process.wait()
    raise NotReadyError(f'{process.args} exited with code {code}')


def stop_all(started: Iterable[RunningProcess]) -> None:
    """Stop processes in parallel; kill those that exceed the timeout."""
    processes = list(started)
    for running in processes:
        running.terminate()
    for terminated in processes:
        terminated.stop()
