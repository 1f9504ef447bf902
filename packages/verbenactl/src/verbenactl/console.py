"""The ``verbenactl`` command."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from verbenactl import __version__, _exit_codes
from verbenactl._check_command import CheckCommand
from verbenactl._inspect_commands import (
    DutiesCommand,
    ExplainCommand,
    HistoryCommand,
    LossesCommand,
    StatusCommand,
)
from verbenactl._publish_commands import (
    DiffCommand,
    DrainCommand,
    LintCommand,
    PublishCommand,
    UndrainCommand,
)


def build_application() -> Application:
    """Return the application with all of its commands."""
    application = Application('verbenactl', __version__)
    application.auto_exits(auto_exits=False)
    application.catch_exceptions(catch_exceptions=False)
    commands = (
        CheckCommand(),
        LintCommand(),
        DiffCommand(),
        PublishCommand(),
        DrainCommand(),
        UndrainCommand(),
        StatusCommand(),
        HistoryCommand(),
        ExplainCommand(),
        LossesCommand(),
        DutiesCommand(),
    )
    for command in commands:
        application.add(command)
    return application


def main() -> None:
    """Run the command line and exit with its code."""
    application = build_application()
    try:
        code = application.run()
    except CleoError as error:
        sys.stderr.write(f'{error}\n')
        code = _exit_codes.UNREACHABLE
    sys.exit(code)
