"""Entry point of the program."""

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
# Short flags are not taken, because a value may start with a dash.
_SHORT_FLAG = re.compile(r"-\w, (?=--)")
_SWITCHES = ("--json", "--wait", "--bootstrap")
# Exit code of a program that SIGINT ended, by the convention of the shells.
_INTERRUPTED = 130
# Exit code of a program that SIGPIPE ended, by the same convention.
_BROKEN_PIPE = 141


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with its code.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments without the program name; taken from `sys.argv` by default.
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
        # Output is lost by the reader's choice; the descriptor is replaced so that
        # the interpreter's last flush does not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return _BROKEN_PIPE
    except KeyboardInterrupt:
        return _INTERRUPTED


def _parse(arguments: Sequence[str]) -> Action | None:
    """Let fire read the arguments; return None when help was printed.

    Fire writes its usage text to a buffer here: on a bad command line the user gets
    one line, and fire cannot start a pager, which would be another process.
    """
    noted: list[Action] = []
    wants_help = not arguments or any(a in _HELP_FLAGS for a in arguments)
    command = [a for a in arguments if a not in _HELP_FLAGS]
    if "--" in command:
        raise UsageError("'--' is not an argument of any command", step="usage")
    if command and command[0].replace("-", "_") not in _command_names():
        allowed = ", ".join(_command_names()).replace("_", "-")
        raise UsageError(f"command {command[0]!r} is not one of {allowed}")
    literal = [*command[:1], *(_as_literal(a) for a in command[1:])]
    if wants_help:
        literal = [*command[:1], "--", "--help"]
    output = io.StringIO()
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            fire.Fire(Commands(noted.append), command=literal, name=PROGRAM)
    except FireExit as stop:
        if stop.code == 0:
            print(_SHORT_FLAG.sub("", output.getvalue().strip()))
            return None
        raise UsageError(_usage_message(output.getvalue(), command)) from None
    if not noted:
        raise UsageError(_usage_message("", command))
    return noted[0]


def _command_names() -> list[str]:
    return [name for name in vars(Commands) if not name.startswith("_")]


def _as_literal(argument: str) -> str:
    """Quote a value, since fire would read ``1.10`` as the number 1.1.

    An option that is on or off takes no value from the next argument, which fire
    would allow.
    """
    if not argument.startswith("--"):
        return repr(argument)
    name, equals, value = argument.partition("=")
    if name in _SWITCHES:
        if value.lower() not in ("", "true", "false"):
            raise UsageError(f"is true or false, got {value!r}", step=name)
        return f"{name}={value.lower() != 'false'}"
    return f"{name}={value!r}" if equals else name


def _usage_message(text: str, command: Sequence[str]) -> str:
    reason = "the arguments are not valid"
    for line in text.splitlines():
        if line.startswith("ERROR: "):
            reason = line.removeprefix("ERROR: ")
            break
    hint = f"{PROGRAM} {command[0]} --help" if command else f"{PROGRAM} --help"
    return f"{reason}; see '{hint}'"
