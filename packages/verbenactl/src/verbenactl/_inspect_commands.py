"""Commands that read instances and logs, such as status and losses."""

import itertools
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, ClassVar

from cleo.exceptions import CleoUserError
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from returns.result import Success

from verbenactl import _base, _exit_codes
from verbenactl._duties import find_duties
from verbenactl._explanations import LogLine, explain, parse_lines
from verbenactl._instances import Answers
from verbenactl._losses import find_losses, format_table
from verbenahall import wire


class InspectingCommand(_base.AsyncCommand):
    """Fetches a view from the given instances and prints it."""

    view = ''
    options: ClassVar[list[Option]] = [_base.INSTANCES]

    async def run_async(self) -> int:
        """Fetch and print the view; return the exit code."""
        self.get_required_option('instance')
        query = self.build_query()
        async with self.open_instances() as instances:
            answers = await instances.fetch_all(self.view, query)
        return self.print_answers(answers)

    def build_query(self) -> dict[str, str]:
        """Return the query of the view's URL."""
        return {}

    def print_answers(self, answers: Answers) -> int:
        """Print the answer or the problem of each instance."""
        code = _exit_codes.DONE
        for answer in answers.values():
            match answer:
                case Success(view):
                    self.print_view(view)
                case failure:
                    self.print_problem(failure.failure())
                    code = _exit_codes.UNREACHABLE
        return code

    def print_view(self, view: dict[str, Any]) -> None:
        """Print one instance's answer as a line of JSON."""
        self.line(wire.encode(view).decode())


class StatusCommand(InspectingCommand):
    """Shows the state of each instance."""

    name = 'status'
    description = 'Show which settings offset each instance has applied.'
    view = 'status'

    def print_view(self, view: dict[str, Any]) -> None:
        """Print a line on an instance."""
        readiness = (
            'ready' if view['ready'] else f'not ready ({view["reason"]})'
        )
        self.line(
            f'{view["name"]} {view["data_centre"]} {readiness}'
            + f' settings {view["settings_position"]}'
            + f' log {view["log_position"]} of {view["log_head"]}'
            + f' heard {view["settings_age_s"]} s ago',
        )


class HistoryCommand(InspectingCommand):
    """Shows the history of a path."""

    name = 'history'
    description = 'Show who changed a path, at which offset, and refusals.'
    view = 'history'
    arguments: ClassVar[list[Argument]] = [
        argument('path', 'A path, or the beginning of paths.'),
    ]

    def build_query(self) -> dict[str, str]:
        """Return the path as the query."""
        return {'path': self.argument('path')}

    def print_view(self, view: dict[str, Any]) -> None:
        """Print a line for each verdict, oldest first, and the value in force.

        Instances keep only the latest verdicts, so the value may be older
        than all of them.
        """
        for verdict in view['verdicts']:
            refusal = verdict['refusal']
            outcome = (
                f'refused: {refusal["message"]}' if refusal else 'accepted'
            )
            author = f'{verdict["team"]}/{verdict["author"]}'
            self.line(f'{verdict["offset"]} {author} {outcome}')
        if view['value'] is not None:
            value = wire.encode(view['value']).decode()
            self.line(f'in force since offset {view["offset"]}: {value}')


class ExplainCommand(InspectingCommand):
    """Shows the decisions on a request or an engine."""

    name = 'explain'
    description = (
        "Show the decisions on a request or an engine: by a request's"
        ' identity from logs, or from instances.'
    )
    view = 'explain'
    arguments: ClassVar[list[Argument]] = [
        argument('id', "A request's identity, looked up in logs.", True),
    ]
    options: ClassVar[list[Option]] = [
        *InspectingCommand.options,
        option('request', None, "A request's identity.", flag=False),
        option('engine', None, "An engine's name.", flag=False),
        option(
            'log',
            None,
            'A log file; - or none for standard input.',
            flag=False,
            multiple=True,
        ),
    ]

    async def run_async(self) -> int:
        """Explain an identity from logs, or fetch from the given instances."""
        if not self.argument('id'):
            return await super().run_async()
        lines = itertools.chain.from_iterable(
            _read_log(path) for path in self.option('log') or ['-']
        )
        for text in explain(lines, self.argument('id')):
            self.io.write_line(text.replace('<', r'\<'))
        return _exit_codes.DONE

    def build_query(self) -> dict[str, str]:
        """Return the request or the engine as the query."""
        for name in ('request', 'engine'):
            if self.option(name):
                return {name: self.option(name)}
        raise CleoUserError('give an identity, --request or --engine')

    def print_view(self, view: dict[str, Any]) -> None:
        """Print each decision as a line of JSON."""
        for decision in view['decisions']:
            self.line(wire.encode(decision).decode())


class LossesCommand(_base.AsyncCommand):
    """Shows how requests ended, from instances' logs."""

    name = 'losses'
    description = 'Show how requests ended, by route, window and cause.'
    arguments: ClassVar[list[Argument]] = [
        argument(
            'log',
            'Log files of instances; none for standard input.',
            optional=True,
            multiple=True,
        ),
    ]
    options: ClassVar[list[Option]] = [
        option(
            'window',
            None,
            'Length of a window in seconds.',
            flag=False,
            default='2',
        ),
    ]

    async def run_async(self) -> int:
        """Read the logs and write the tables."""
        try:
            window_s = float(self.option('window'))
        except ValueError:
            window_s = 0
        if window_s <= 0:
            raise CleoUserError('--window takes seconds above 0')
        lines = itertools.chain.from_iterable(
            _read_log(path) for path in self.argument('log') or ['-']
        )
        for table in find_losses(lines, window_s):
            for row in format_table(table):
                self.io.write_line(row.replace('<', r'\<'))
            self.io.write_line('')
        return _exit_codes.DONE


class DutiesCommand(_base.AsyncCommand):
    """Shows holders of duties, usage windows and engine orders, from logs."""

    name = 'duties'
    description = 'Show holders of duties, usage windows and engine orders.'
    arguments: ClassVar[list[Argument]] = LossesCommand.arguments

    async def run_async(self) -> int:
        """Read the logs and write the tables."""
        lines = itertools.chain.from_iterable(
            _read_log(path) for path in self.argument('log') or ['-']
        )
        for table in find_duties(lines):
            for row in format_table(table):
                self.io.write_line(row.replace('<', r'\<'))
            self.io.write_line('')
        return _exit_codes.DONE


def _read_log(path: str) -> Iterator[LogLine]:
    if path == '-':
        yield from parse_lines('stdin', sys.stdin)
        return
    with Path(path).open(errors='replace') as log:
        yield from parse_lines(Path(path).name, log)
