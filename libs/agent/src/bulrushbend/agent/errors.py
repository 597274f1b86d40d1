"""Errors raised only by the agent."""

from bulrushbend.core.errors import AttemptError


class AnswerTruncatedError(AttemptError):
    """The answer ended, or was discarded, before it was complete."""


class AnswerNotBufferedError(AttemptError):
    """The requested offset is no longer in the replay buffer."""


class OffsetBeyondEndError(AttemptError):
    """The requested offset is beyond the bytes produced so far."""


class ReaderDetachedError(AttemptError):
    """The reader was closed, or replaced by that of a newer connection."""


class ReaderStalledError(AttemptError):
    """The router read nothing for too long while the replay buffer was full."""
