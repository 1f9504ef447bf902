"""What the commands share: options, running and telling problems."""

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
TEAM: Final = option('team', None, 'The team that publishes.', flag=False)
AUTHOR: Final = option('author', None, 'Who publishes.', flag=False)
INSTANCES: Final = option(
    'instance',
    'i',
    f"An instance's IP:port; its token is in ${_TOKEN_VARIABLE}.",
    flag=False,
    multiple=True,
)


class AsyncCommand(Command):
    """A command whose work is ``run_async``; its result is the exit code."""

    options: ClassVar[list[Option]] = []

    def handle(self) -> int:
        """Run the command; a problem ends it as unreachable."""
        try:
            return asyncio.run(self.run_async())
        except ProblemError as error:
            self.print_problem(error.problem)
            return _exit_codes.UNREACHABLE

    async def run_async(self) -> int:
        """Do the command's work and return its exit code."""
        raise NotImplementedError

    def get_required_option(self, name: str) -> Any:
        """Return an option that must be given."""
        given = self.option(name)
        if not given:
            raise CleoUserError(f'the option --{name} must be given')
        return given

    def print_problem(self, problem: Problem) -> None:
        """Write a problem to standard error, and whether it had an effect."""
        kind = problem.kind.value
        ran = problem.answer.ran.value
        self.line_error(f'{kind} (ran {ran}): {problem.message}')

    @contextlib.asynccontextmanager
    async def open_instances(self) -> AsyncIterator[Instances]:
        """Yield the instances that the options name."""
        async with aiohttp.ClientSession() as session:
            yield Instances(
                session,
                self.option('instance'),
                os.environ.get(_TOKEN_VARIABLE, ''),
            )
