"""Shared parts of prompts placed recently, for the load reports."""

from collections import deque

from bulrushbend.wire.fleet_pb2 import SharedPrompt

# Prompts that are kept for the next report, in bytes of the report.
_MAX_BYTES = 40_000
# Bytes of a prompt's tag and length in a report.
_OVERHEAD_BYTES = 4


class PromptReports:
    """Prompts to report, each in two reports, so that a single one may be lost.

    The newest are kept, since a report has to fit in a datagram. A prompt that is not
    reported is read again where another gateway places the next one with its parts.
    """

    def __init__(self) -> None:
        self._new: deque[SharedPrompt] = deque()
        self._new_bytes = 0
        self._repeated: list[SharedPrompt] = []

    def add(self, prompt: SharedPrompt) -> None:
        """Add a prompt that was placed."""
        self._new.append(prompt)
        self._new_bytes += _size(prompt)
        while self._new_bytes > _MAX_BYTES:
            self._new_bytes -= _size(self._new.popleft())

    def take(self, max_bytes: int) -> list[SharedPrompt]:
        """Return the prompts for the next report, those of the last one first.

        Parameters
        ----------
        max_bytes : int
            Size that they may have together.
        """
        taken: deque[SharedPrompt] = deque()
        new = list(self._new)
        for prompt in reversed(self._repeated + new):
            max_bytes -= _size(prompt)
            if max_bytes < 0:
                break
            taken.appendleft(prompt)
        self._new.clear()
        self._new_bytes = 0
        # Own tokens are counted once by a gateway that gets both reports.
        self._repeated = [
            SharedPrompt(
                endpoint=prompt.endpoint, digests=prompt.digests, tokens=prompt.tokens
            )
            for prompt in new
        ]
        return list(taken)


def _size(prompt: SharedPrompt) -> int:
    return prompt.ByteSize() + _OVERHEAD_BYTES
