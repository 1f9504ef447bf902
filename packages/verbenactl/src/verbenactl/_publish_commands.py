"""Commands that check and publish settings.

Publishing appends records to the log, which the instances check and apply.
"""

import collections
import getpass
from collections.abc import Sequence
from pathlib import Path
from typing import ClassVar, Final

import aiohttp
from cleo.exceptions import CleoUserError
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from returns.result import Failure

from verbenactl import _base, _exit_codes
from verbenactl._changes import format_change, list_changes, split_changes
from verbenactl._publisher import Publisher, unwrap_or_raise
from verbenactl._settings_files import is_team_name, read_values
from verbenahall.log import LogClient
from verbenahall.settings import Change, Verdict, find_offset, find_value

_FILE: Final = argument('file', 'TOML file of published settings.')
_ENDPOINT: Final = argument('endpoint', "The endpoint's name.")
_PRUNE: Final = option(
    'prune', None, 'Remove entries of the team that are not in the file.'
)
_WAIT: Final = option(
    'wait',
    None,
    'Seconds to wait until the given instances have applied it.',
    flag=False,
    default='10',
)


class PublishingCommand(_base.AsyncCommand):
    """Publishes the changes that ``list_changes`` returns."""

    options: ClassVar[list[Option]] = [
        _base.LOG,
        _base.TEAM,
        _base.AUTHOR,
        _base.INSTANCES,
        _WAIT,
    ]

    async def run_async(self) -> int:
        """Read the published settings, then publish; return the exit code."""
        team = self.get_required_option('team')
        if not is_team_name(team):
            raise CleoUserError(f'{team!r} is not a valid team name')
        author = self.option('author') or getpass.getuser()
        async with aiohttp.ClientSession() as session:
            client = LogClient(
                self.get_required_option('log'), session, f'ctl-{author}'
            )
            publisher = Publisher(client, team, author)
            unwrap_or_raise(await publisher.start())
            return await self.publish(publisher)

    async def publish(self, publisher: Publisher) -> int:
        """Publish the changes, if any, and wait until they are in force."""
        changes = self.list_changes(publisher)
        if not changes:
            self.line('nothing to change')
            return _exit_codes.DONE
        offset = await self._publish_batches(publisher, changes)
        if offset == 0:
            return _exit_codes.REFUSED
        if self.option('instance'):
            return await self._wait_in_force(offset)
        return _exit_codes.DONE

    def list_changes(self, publisher: Publisher) -> Sequence[Change]:
        """Return the changes to publish."""
        raise NotImplementedError

    def print_verdict(self, verdict: Verdict) -> None:
        """Print a verdict."""
        refusal = verdict.refusal
        if refusal is None:
            count = len(verdict.paths)
            self.line(f'accepted at offset {verdict.offset}: {count} changes')
            return
        self.line_error(
            f'refused at offset {verdict.offset}: {refusal.message}',
        )
        if refusal.winner:
            self.line_error(f'the winning change is at {refusal.winner}')

    async def _publish_batches(
        self,
        publisher: Publisher,
        changes: Sequence[Change],
    ) -> int:
        """Return the offset of the last record, or 0 if one was refused."""
        batches = collections.deque(split_changes(changes))
        if len(batches) > 1:
            self.line(f'published as {len(batches)} records, one by one')
        offset = 0
        while batches:
            verdict = unwrap_or_raise(
                await publisher.publish(batches.popleft())
            )
            self.print_verdict(verdict)
            if not verdict.accepted:
                return 0
            offset = verdict.offset
        return offset

    async def _wait_in_force(self, offset: int) -> int:
        async with self.open_instances() as instances:
            wait_s = float(self.option('wait'))
            in_force = await instances.wait_in_force(offset, wait_s)
        reached = len(in_force.reached)
        self.line(
            f'in force on {reached} instances after {in_force.waited_s:.3f} s',
        )
        for address in in_force.missing:
            self.line_error(f'not in force on {address}')
        return _exit_codes.REFUSED if in_force.missing else _exit_codes.DONE


class PublishCommand(PublishingCommand):
    """Publishes the settings of a file."""

    name = 'publish'
    description = 'Publish the settings of a file.'
    arguments: ClassVar[list[Argument]] = [_FILE]
    options: ClassVar[list[Option]] = [*PublishingCommand.options, _PRUNE]

    def handle(self) -> int:
        """Check the file before the log is read; print its faults."""
        values = read_values(Path(self.argument('file')))
        if isinstance(values, Failure):
            for fault in values.failure():
                self.line_error(str(fault))
            return _exit_codes.REFUSED
        return super().handle()

    def list_changes(self, publisher: Publisher) -> Sequence[Change]:
        """Return the differences between file and published settings."""
        values = read_values(Path(self.argument('file'))).unwrap()
        return list_changes(
            publisher.state,
            publisher.team,
            values,
            prune=self.option('prune'),
        )


class DiffCommand(PublishCommand):
    """Shows what ``publish`` would change, and whether it would be refused."""

    name = 'diff'
    description = 'Show what publishing a file would change.'

    async def publish(self, publisher: Publisher) -> int:
        """Print the changes and, if they would be refused, the reason."""
        changes = self.list_changes(publisher)
        for change in changes:
            self.line(format_change(change))
        if not changes:
            return _exit_codes.DONE
        expected = publisher.predict_verdict(changes)
        if expected.refusal is None:
            return _exit_codes.DONE
        reason = expected.refusal
        self.line_error(f'would be refused: {reason.message}')
        return _exit_codes.REFUSED


class LintCommand(_base.AsyncCommand):
    """Checks a file without reading the log."""

    name = 'lint'
    description = 'Check a file of published settings and print all faults.'
    arguments: ClassVar[list[Argument]] = [_FILE]

    def handle(self) -> int:
        """Print all faults, or the number of entries."""
        values = read_values(Path(self.argument('file')))
        if isinstance(values, Failure):
            for fault in values.failure():
                self.line_error(str(fault))
            return _exit_codes.REFUSED
        count = len(values.unwrap())
        self.line(f'{count} entries, no faults')
        return _exit_codes.DONE


class DrainCommand(PublishingCommand):
    """Publishes a drain."""

    name = 'drain'
    description = 'Stop giving new work to an endpoint.'
    arguments: ClassVar[list[Argument]] = [_ENDPOINT]
    options: ClassVar[list[Option]] = [
        *PublishingCommand.options,
        option('reason', None, 'Why.', flag=False, default=''),
    ]

    def list_changes(self, publisher: Publisher) -> Sequence[Change]:
        """Return the drain, unless the same one exists."""
        path = _build_drain_path(self, publisher)
        value = {'reason': self.option('reason')}
        if find_value(publisher.state, path) == value:
            return ()
        return (Change(path, find_offset(publisher.state, path), value),)


class UndrainCommand(PublishingCommand):
    """Removes a drain."""

    name = 'undrain'
    description = 'Resume giving work to a drained endpoint.'
    arguments: ClassVar[list[Argument]] = [_ENDPOINT]

    def list_changes(self, publisher: Publisher) -> Sequence[Change]:
        """Return the removal of the drain, if there is one."""
        path = _build_drain_path(self, publisher)
        if find_value(publisher.state, path) is None:
            return ()
        return (Change(path, find_offset(publisher.state, path), None),)


def _build_drain_path(command: PublishingCommand, publisher: Publisher) -> str:
    endpoint = command.argument('endpoint')
    return f'{publisher.team}/drains/{endpoint}'
