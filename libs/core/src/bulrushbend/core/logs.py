"""Loggers with a fixed prefix for each component, based on ``absl.logging``."""

from typing import Any

from absl import logging


class PrefixLogger:
    """Logger that puts the name of a component before each message.

    Parameters
    ----------
    prefix : str
        Name of the component, such as ``"router.queue"``.
    """

    def __init__(self, prefix: str):
        self._prefix = prefix

    def info(self, message: str, *args: Any) -> None:
        """Log a message about normal operation; `args` are ``%``-formatted into it."""
        logging.info(f"{self._prefix}: {message}", *args)

    def warning(self, message: str, *args: Any) -> None:
        """Log a condition that may need the attention of an operator."""
        logging.warning(f"{self._prefix}: {message}", *args)

    def error(self, message: str, *args: Any) -> None:
        """Log a failure."""
        logging.error(f"{self._prefix}: {message}", *args)


def get_logger(prefix: str) -> PrefixLogger:
    """Return the logger of the component `prefix`."""
    return PrefixLogger(prefix)


def set_verbosity(level: str) -> None:
    """Set the minimum level of the messages that are written.

    Parameters
    ----------
    level : {"info", "warning", "error"}
        Minimum level written to standard error.
    """
    logging.set_verbosity(level)
