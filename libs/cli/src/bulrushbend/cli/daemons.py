"""Start the daemons and the stand-ins.

Each command imports only the modules that it needs, so that operators' commands start
fast and a daemon spends no memory on modules of other daemons.
"""

import asyncio
from collections.abc import Mapping
from logging import WARNING, getLogger
from typing import Any

from absl import flags, logging
from pydantic import ValidationError

from bulrushbend.cli.exits import UsageError
from bulrushbend.core.errors import SettingsError
from bulrushbend.core.logs import set_verbosity
from bulrushbend.core.settings import (
    AgentSettings,
    ControlSettings,
    RouterSettings,
    load_settings,
)
from bulrushbend.core.validation import format_validation_error

_REQUEST_LOGGERS = ("tornado.access", "grpclib")
STAND_IN_KINDS = ("engine", "application", "platform")


def run_control_daemon(path: str, bootstrap: bool) -> None:
    """Run a control replica with the settings file `path` until it is stopped."""
    from bulrushbend.control.daemon import run_control

    settings = load_settings(path, ControlSettings)
    start_logging(settings.log_level)
    asyncio.run(run_control(settings, bootstrap=bootstrap))


def run_router_daemon(path: str) -> None:
    """Run a router with the settings file `path` until it is stopped."""
    from bulrushbend.router.daemon import run_router

    settings = load_settings(path, RouterSettings)
    start_logging(settings.log_level)
    asyncio.run(run_router(settings))


def run_agent_daemon(path: str) -> None:
    """Run an agent with the settings file `path` until it is stopped."""
    from bulrushbend.agent.daemon import run_agent

    settings = load_settings(path, AgentSettings)
    start_logging(settings.log_level)
    asyncio.run(run_agent(settings))


def run_stand_in(kind: str, path: str | None, options: Mapping[str, Any]) -> None:
    """Run a stand-in until it is stopped.

    Parameters
    ----------
    kind : {"engine", "application", "platform"}
        Kind of stand-in.
    path : str or None
        Settings file; if None, `options` are used.
    options : mapping
        Settings from the command line; those that are None are ignored.

    Raises
    ------
    UsageError
        If the kind is unknown or both a file and options are set.
    SettingsError
        If a setting is invalid.
    """
    model, run = _stand_in(kind)
    given = {key: value for key, value in options.items() if value is not None}
    if path is not None and given:
        raise UsageError(
            f"--settings cannot be combined with other options, got {', '.join(given)}",
            step="standin",
        )
    try:
        settings = load_settings(path, model) if path else model.model_validate(given)
    except ValidationError as error:
        message = format_validation_error(error)
        raise SettingsError(message, step="settings", peer="options") from None
    start_logging("warning")
    asyncio.run(run(settings))


def start_logging(level: str) -> None:
    """Write log lines of at least `level` to standard error.

    Tornado and grpclib log each request that they serve; only warnings are kept.
    """
    # absl warns about messages logged before its flags are parsed; none are used here.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    set_verbosity(level)
    for name in _REQUEST_LOGGERS:
        getLogger(name).setLevel(WARNING)


def _stand_in(kind: str) -> tuple[Any, Any]:
    if kind == "engine":
        from bulrushbend.standins.engine import run_engine
        from bulrushbend.standins.settings import EngineSettings

        return EngineSettings, run_engine
    if kind == "application":
        from bulrushbend.standins.application import run_application
        from bulrushbend.standins.settings import ApplicationSettings

        return ApplicationSettings, run_application
    if kind == "platform":
        from bulrushbend.standins.platform import run_platform
        from bulrushbend.standins.settings import PlatformSettings

        return PlatformSettings, run_platform
    allowed = ", ".join(STAND_IN_KINDS)
    raise UsageError(f"kind {kind!r} is not one of {allowed}", step="standin")
