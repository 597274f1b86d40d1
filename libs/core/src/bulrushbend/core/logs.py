"""Log lines with a fixed prefix for each part, over ``absl.logging``."""

from typing import Any

from absl import logging


class PrefixLogger:
    """Writes short sentences behind the prefix of one part.

    Parameters
    ----------
    prefix : str
        Name of the part, such as ``"router.queue"``.
    """

    def __init__(self, prefix: str):
        self._prefix = prefix

    def info(self, message: str, *args: Any) -> None:
        """Log a normal event; `args` are ``%``-formatted into `message`."""
        logging.info(f"{self._prefix}: {message}", *args)

    def warning(self, message: str, *args: Any) -> None:
        """Log an event that an operator may want to look at."""
        logging.warning(f"{self._prefix}: {message}", *args)

    def error(self, message: str, *args: Any) -> None:
        """Log a failure."""
        logging.error(f"{self._prefix}: {message}", *args)


def get_logger(prefix: str) -> PrefixLogger:
    """Return the logger of the part `prefix`."""
    return PrefixLogger(prefix)


def set_verbosity(level: str) -> None:
    """Set the lowest level that is written.

    Parameters
    ----------
    level : {"info", "warning", "error"}
        Lowest level written to standard error.
    """
    logging.set_verbosity(level)
