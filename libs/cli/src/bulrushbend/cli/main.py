"""Entry point of the command line."""

import contextlib
import io
import os
import re
import sys
from collections.abc import Sequence

import fire
from fire.core import FireExit

from bulrushbend.cli.commands import Action, Commands
from bulrushbend.cli.exits import ExitCode, UsageError, exit_code_of
from bulrushbend.core.errors import BulrushbendError

PROGRAM = "bulrushbend"
_HELP_FLAGS = ("--help", "-h")
# Short flags in the help of fire; they are removed because they are not accepted: a
# value may start with a dash.
_SHORT_FLAG = re.compile(r"-\w, (?=--)")
_BOOLEAN_OPTIONS = ("--json", "--wait", "--bootstrap")
# Exit code of a program ended by SIGINT, by shell convention.
_INTERRUPTED = 130
# Exit code of a program ended by SIGPIPE, by shell convention.
_BROKEN_PIPE = 141


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with the exit code of the command.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments without the program name; those of `sys.argv` by default.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    sys.exit(run(given))


def run(arguments: Sequence[str]) -> int:
    """Run one command and return its exit code; see `ExitCode`."""
    try:
        action = _parse(arguments)
        if action is None:
            return ExitCode.OK
        code = action()
        sys.stdout.flush()
        return code
    except BulrushbendError as error:
        line = str(error).replace("\n", " ")
        print(f"{PROGRAM}: {line}", file=sys.stderr)
        return exit_code_of(error)
    except BrokenPipeError:
        # The reader closed the pipe. The descriptor is replaced so that the flush at
        # the exit of the interpreter does not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return _BROKEN_PIPE
    except KeyboardInterrupt:
        return _INTERRUPTED


def _parse(arguments: Sequence[str]) -> Action | None:
    """Parse the arguments with fire; return None if help was printed.

    The output of fire goes to a buffer: an invalid command line causes a message of one
    line, and fire cannot start a pager, which would be another process.
    """
    actions: list[Action] = []
    wants_help = not arguments or any(a in _HELP_FLAGS for a in arguments)
    command = [a for a in arguments if a not in _HELP_FLAGS]
    if "--" in command:
        raise UsageError("'--' is not accepted by any command", step="usage")
    if command and command[0].replace("-", "_") not in _command_names():
        allowed = ", ".join(_command_names()).replace("_", "-")
        raise UsageError(f"command {command[0]!r} is not one of {allowed}")
    quoted = [*command[:1], *(_quote_value(a) for a in command[1:])]
    if wants_help:
        quoted = [*command[:1], "--", "--help"]
    output = io.StringIO()
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            fire.Fire(Commands(actions.append), command=quoted, name=PROGRAM)
    except FireExit as stop:
        if stop.code == 0:
            print(_SHORT_FLAG.sub("", output.getvalue().strip()))
            return None
        raise UsageError(_usage_message(output.getvalue(), command)) from None
    if not actions:
        raise UsageError(_usage_message("", command))
    return actions[0]


def _command_names() -> list[str]:
    return [name for name in vars(Commands) if not name.startswith("_")]


def _quote_value(argument: str) -> str:
    """Quote a value, because fire would parse ``1.10`` as the number 1.1.

    A boolean option gets an explicit value, because fire would otherwise use the next
    argument as its value.
    """
    if not argument.startswith("--"):
        return repr(argument)
    name, equals, value = argument.partition("=")
    if name in _BOOLEAN_OPTIONS:
        if value.lower() not in ("", "true", "false"):
            raise UsageError(f"must be true or false, got {value!r}", step=name)
        return f"{name}={value.lower() != 'false'}"
    return f"{name}={value!r}" if equals else name


def _usage_message(text: str, command: Sequence[str]) -> str:
    reason = "invalid arguments"
    for line in text.splitlines():
        if line.startswith("ERROR: "):
            reason = line.removeprefix("ERROR: ")
            break
    hint = f"{PROGRAM} {command[0]} --help" if command else f"{PROGRAM} --help"
    return f"{reason}; see '{hint}'"
