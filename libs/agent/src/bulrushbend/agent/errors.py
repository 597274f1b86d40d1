"""Errors that only the agent raises."""

from bulrushbend.core.errors import AttemptError


class AnswerTruncatedError(AttemptError):
    """The answer ended before it was complete."""


class AnswerNotBufferedError(AttemptError):
    """The replay buffer no longer holds the requested offset."""


class OffsetBeyondEndError(AttemptError):
    """The requested offset is beyond the bytes produced so far."""


class ReaderDetachedError(AttemptError):
    """A newer connection reads the same answer."""


class ReaderStalledError(AttemptError):
    """The router did not read for too long while the replay buffer was full."""
