"""Shared by the commands: options, running, and printing of problems."""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator
from typing import Any, ClassVar, Final

import aiohttp
from cleo.commands.command import Command
from cleo.exceptions import CleoUserError
from cleo.helpers import option
from cleo.io.inputs.option import Option

from verbenactl import _exit_codes
from verbenactl._instances import Instances
from verbenahall.errors import Problem, ProblemError

_TOKEN_VARIABLE: Final = 'VERBENACTL_TOKEN'

LOG: Final = option('log', None, "The log's IP:port.", flag=False)
TEAM: Final = option('team', None, 'The team to publish for.', flag=False)
AUTHOR: Final = option(
    'author', None, 'Author of the change; default: the user name.', flag=False
)
INSTANCES: Final = option(
    'instance',
    'i',
    f"An instance's IP:port; its token is in ${_TOKEN_VARIABLE}.",
    flag=False,
    multiple=True,
)


class AsyncCommand(Command):
    """A command that runs ``run_async`` and exits with its result."""

    options: ClassVar[list[Option]] = []

    def handle(self) -> int:
        """Run the command; a ``ProblemError`` exits with ``UNREACHABLE``."""
        try:
            return asyncio.run(self.run_async())
        except ProblemError as error:
            self.print_problem(error.problem)
            return _exit_codes.UNREACHABLE

    async def run_async(self) -> int:
        """Run the command and return its exit code."""
        raise NotImplementedError

    def get_required_option(self, name: str) -> Any:
        """Return an option's value; raise if the option is not given."""
        given = self.option(name)
        if not given:
            raise CleoUserError(f'the option --{name} must be given')
        return given

    def print_problem(self, problem: Problem) -> None:
        """Print a problem and whether the call ran to standard error."""
        kind = problem.kind.value
        ran = problem.answer.ran.value
        self.line_error(f'{kind} (ran {ran}): {problem.message}')

    @contextlib.asynccontextmanager
    async def open_instances(self) -> AsyncIterator[Instances]:
        """Yield a client of the instances given as options."""
        async with aiohttp.ClientSession() as session:
            yield Instances(
                session,
                self.option('instance'),
                os.environ.get(_TOKEN_VARIABLE, ''),
            )
