"""Errors that only the agent raises."""

from bulrushbend.core.errors import AttemptError


class AnswerCut(AttemptError):
    """The answer ended before it was complete."""


class AnswerNotHeld(AttemptError):
    """The replay buffer no longer holds the requested offset."""


class OffsetAhead(AttemptError):
    """The requested offset is beyond the bytes produced so far."""


class ReaderDropped(AttemptError):
    """A newer connection reads the same answer."""


class ReaderStalled(AttemptError):
    """The router did not read for too long while the replay buffer was full."""
