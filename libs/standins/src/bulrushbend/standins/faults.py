"""Faults that can be injected into the answers of a stand-in."""

import asyncio
import enum
import os
import signal
from collections.abc import Iterable

from pydantic import BaseModel, ConfigDict, Field
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler


class FaultKind(enum.StrEnum):
    """Kinds of injected faults."""

    TRUNCATE = "truncate"
    SILENCE = "silence"
    LATE = "late"
    REFUSE = "refuse"
    REJECT = "reject"
    CROSSED = "crossed"
    CUT = "cut"
    TWICE = "twice"
    KILL = "kill"


class Fault(BaseModel):
    """A fault and the requests that it affects.

    Attributes
    ----------
    kind : FaultKind
        ``truncate``, ``silence`` and ``kill`` act after `after_bytes` body bytes.
        ``truncate`` then waits for `delay_ms` before it closes the connection, so that
        the bytes sent so far are forwarded first. ``silence`` sends nothing more and
        keeps the connection open. ``kill`` ends the process with SIGKILL.
        ``late`` delays the headers by `delay_ms`. ``refuse`` closes the listening
        socket for `delay_ms`. ``reject`` answers 503 without running. ``crossed``
        answers with the nonce and id of another request. ``cut`` closes the
        connection after the run without sending headers. ``twice`` sends a complete
        answer a second time on the same connection.
    after_bytes : int
        Body bytes sent before the fault.
    delay_ms : float
        Duration in milliseconds.
    skip : int
        Number of requests that are answered normally first.
    times : int
        Number of requests that are affected; 0 means all.
    prompt : str
        Text that the first message of a request must contain for the request to be
        affected or skipped.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: FaultKind
    after_bytes: int = Field(0, ge=0)
    delay_ms: float = Field(0.0, ge=0, le=86_400_000)
    skip: int = Field(0, ge=0)
    times: int = Field(1, ge=0)
    prompt: str = ""


class FaultPlan:
    """Faults in the order in which they are applied.

    Parameters
    ----------
    faults : iterable of Fault
        Faults from the settings; more can be added while running.
    """

    def __init__(self, faults: Iterable[Fault] = ()):
        self._entries = [_PlannedFault(fault) for fault in faults]

    @property
    def faults(self) -> list[Fault]:
        """Faults that are still to be applied."""
        return [entry.fault for entry in self._entries]

    def add(self, fault: Fault) -> None:
        """Append `fault`."""
        self._entries.append(_PlannedFault(fault))

    def clear(self) -> None:
        """Remove all faults."""
        self._entries.clear()

    def next_fault(self, prompt: str = "") -> Fault | None:
        """Return the fault of the next request, if any, and count it as applied.

        Parameters
        ----------
        prompt : str, optional
            First message of the request.
        """
        if not self._entries or self._entries[0].fault.prompt not in prompt:
            return None
        entry = self._entries[0]
        if entry.skip > 0:
            entry.skip -= 1
            return None
        if entry.fault.times > 0:
            entry.remaining -= 1
            if entry.remaining == 0:
                self._entries.pop(0)
        return entry.fault


class _PlannedFault:
    def __init__(self, fault: Fault):
        self.fault = fault
        self.skip = fault.skip
        self.remaining = fault.times


class AnswerAbortedError(Exception):
    """The answer ended early by a fault, a cancellation or the caller."""


class AnswerWriter:
    """Writes one answer and applies a fault to it.

    Parameters
    ----------
    handler : RequestHandler
        Handler whose answer is written.
    fault : Fault or None
        Fault to apply to this answer.
    """

    def __init__(self, handler: RequestHandler, fault: Fault | None):
        self._handler = handler
        self._fault = fault
        self._sent_bytes = 0
        self._closed = asyncio.Event()

    @property
    def kind(self) -> FaultKind | None:
        """Kind of the fault."""
        return self._fault.kind if self._fault else None

    def mark_closed(self) -> None:
        """Record that the caller closed the connection."""
        self._closed.set()

    async def wait_closed(self) -> None:
        """Wait until the caller has closed the connection."""
        await self._closed.wait()

    async def apply_faults_before_headers(self) -> None:
        """Apply a fault that takes effect before the headers.

        Raises
        ------
        AnswerAbortedError
            The connection is closed and nothing was sent.
        """
        if self._fault is None:
            return
        if self._fault.kind is FaultKind.CUT:
            self._abort_answer()
        if self._fault.kind is FaultKind.LATE:
            await asyncio.sleep(self._fault.delay_ms / 1000.0)

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body and apply a fault that takes effect within it.

        Raises
        ------
        AnswerAbortedError
            The connection is closed.
        """
        if self._fault_falls_within(data):
            allowed_bytes = self._fault.after_bytes - self._sent_bytes
            await self._flush(data[:allowed_bytes])
            await self._apply_body_fault()
        await self._flush(data)

    async def apply_faults_after_body(self, body: bytes) -> None:
        """Apply a fault that takes effect after the whole `body`.

        Raises
        ------
        AnswerAbortedError
            The connection is closed.
        """
        if self.kind is not FaultKind.TWICE:
            return
        header_section = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            await self._handler.request.connection.stream.write(
                header_section.encode() + body
            )
        except StreamClosedError:
            raise AnswerAbortedError("the caller closed the connection") from None

    def _fault_falls_within(self, data: bytes) -> bool:
        if self.kind not in (FaultKind.TRUNCATE, FaultKind.SILENCE, FaultKind.KILL):
            return False
        return self._sent_bytes + len(data) > self._fault.after_bytes

    async def _flush(self, data: bytes) -> None:
        self._handler.write(data)
        self._sent_bytes += len(data)
        try:
            await self._handler.flush()
        except StreamClosedError:
            raise AnswerAbortedError("the caller closed the connection") from None

    async def _apply_body_fault(self) -> None:
        if self.kind is FaultKind.KILL:
            os.kill(os.getpid(), signal.SIGKILL)
        if self.kind is FaultKind.SILENCE:
            await self._closed.wait()
        if self._fault.delay_ms > 0:
            await asyncio.sleep(self._fault.delay_ms / 1000.0)
        self._abort_answer()

    def _abort_answer(self) -> None:
        self._handler.request.connection.stream.close()
        raise AnswerAbortedError("an injected fault closed the connection")
