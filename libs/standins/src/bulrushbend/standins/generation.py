"""Token generation of the stand-in engine, with resumable event streams."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from bulrushbend.core.clock import Clock
from bulrushbend.standins.server import Slots, read_json_object
from bulrushbend.standins.settings import EngineSettings

_MAX_TOKENS = 100_000
_MAX_COST_MS = 3_600_000.0
# Bounds how long a cancelled generation still holds its slot.
_MAX_PAUSE_MS = 50.0


@dataclass(frozen=True)
class GenerationRequest:
    """Parameters of a completion request.

    Attributes
    ----------
    tokens : int
        Tokens of the answer.
    cost_ms : float
        Time of the complete answer when it runs alone.
    nonce : str
        Text echoed at the start and the end of the answer.
    prefix : str
        First message as JSON; key of the prefix cache.
    """

    model: str
    stream: bool
    tokens: int
    cost_ms: float
    nonce: str
    prefix: str


def parse_request(body: bytes, settings: EngineSettings) -> GenerationRequest:
    """Read the JSON body of a completion request.

    Raises
    ------
    ValueError
        If the body is not valid.
    """
    document = read_json_object(body)
    tokens = int(
        _read_number(document, "x_tokens", settings.default_tokens, _MAX_TOKENS)
    )
    tokens = max(1, tokens)
    cost_ms = _read_number(
        document, "x_cost_ms", tokens * settings.token_ms, _MAX_COST_MS
    )
    return GenerationRequest(
        model=str(document.get("model", "")),
        stream=document.get("stream") is True,
        tokens=tokens,
        cost_ms=cost_ms,
        nonce=str(document.get("x_nonce", "")),
        prefix=json.dumps(document.get("messages", [])[:1]),
    )


def _read_number(
    document: dict[str, Any], key: str, default: float, maximum: float
) -> float:
    value = document.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{key} is not a number")
    if not 0 <= value <= maximum:
        raise ValueError(f"{key} is not between 0 and {maximum:g}")
    return float(value)


class Generation:
    """One running or finished answer; its frames can be read from any position.

    Parameters
    ----------
    request_id : str
        Identifier of the stream.
    request : GenerationRequest
        Parameters of the answer.
    echoed_nonce : str
        Nonce in the answer; differs from that of the request only under the
        ``crossed`` fault.
    """

    def __init__(self, request_id: str, request: GenerationRequest, echoed_nonce: str):
        self._request_id = request_id
        self._request = request
        self._echoed_nonce = echoed_nonce
        self._frame_texts: list[str] = []
        self._finished = False
        self._cancelled = False
        self._changed = asyncio.Event()
        self._readers = 0

    @property
    def finished(self) -> bool:
        """Whether the last frame has been generated."""
        return self._finished

    @property
    def cancelled(self) -> bool:
        """Whether the generation was cancelled."""
        return self._cancelled

    @property
    def readers(self) -> int:
        """Number of connections that read this answer."""
        return self._readers

    @property
    def text(self) -> str:
        """Text generated so far."""
        return "".join(self._frame_texts)

    def append(self, text: str) -> None:
        """Add the text of one frame."""
        self._frame_texts.append(text)
        self._notify_readers()

    def finish(self) -> None:
        """Add the last frame."""
        self._frame_texts.append(f"end:{self._echoed_nonce}")
        self._finished = True
        self._notify_readers()

    def begin(self) -> None:
        """Add the first frame."""
        self.append(f"begin:{self._echoed_nonce} ")

    def cancel(self) -> None:
        """Stop the generation; readers see the stream end without a last frame."""
        self._cancelled = not self._finished
        self._notify_readers()

    async def frames(self, after: int = -1) -> AsyncIterator[bytes]:
        """Yield groups of server-sent events with an id greater than `after`."""
        position = after + 1
        self._readers += 1
        try:
            while True:
                ready = [
                    self._frame(i) for i in range(position, len(self._frame_texts))
                ]
                position = max(position, len(self._frame_texts))
                if self._finished and position <= len(self._frame_texts):
                    ready.append(
                        f"id: {len(self._frame_texts)}\ndata: [DONE]\n\n".encode()
                    )
                if ready:
                    yield b"".join(ready)
                if self._finished or self._cancelled:
                    return
                await self._changed.wait()
        finally:
            self._readers -= 1

    async def wait(self) -> None:
        """Wait until the generation is finished or cancelled."""
        while not (self._finished or self._cancelled):
            await self._changed.wait()

    def answer(self) -> dict[str, Any]:
        """Return the complete answer as a completion object."""
        message = {"role": "assistant", "content": self.text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        return {
            "id": self._request_id,
            "object": "chat.completion",
            "model": self._request.model,
            "choices": [choice],
            "usage": {"completion_tokens": self._request.tokens},
        }

    def _frame(self, index: int) -> bytes:
        last = self._finished and index == len(self._frame_texts) - 1
        choice = {
            "index": 0,
            "delta": {"content": self._frame_texts[index]},
            "finish_reason": "stop" if last else None,
        }
        document = {
            "id": self._request_id,
            "object": "chat.completion.chunk",
            "model": self._request.model,
            "choices": [choice],
        }
        data = json.dumps(document, separators=(",", ":"))
        return f"id: {index}\ndata: {data}\n\n".encode()

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def generate(
    generation: Generation,
    request: GenerationRequest,
    slots: Slots,
    settings: EngineSettings,
    clock: Clock,
    prefill_ms: float,
) -> None:
    """Produce the frames of `generation` at the speed of the current batch.

    Each further running request slows all of them down by
    `EngineSettings.batch_slowdown`.
    """
    await clock.sleep_ms(prefill_ms)
    generation.begin()
    progress_ms = 0.0
    emitted = 0
    last_ms = clock.now_ms()
    while not generation.cancelled:
        slowdown = 1.0 + settings.batch_slowdown * max(0, slots.running - 1)
        remaining_ms = (request.cost_ms - progress_ms) * slowdown
        if remaining_ms <= 0:
            break
        pause_ms = max(settings.step_ms, request.cost_ms / request.tokens)
        await clock.sleep_ms(min(remaining_ms, pause_ms, _MAX_PAUSE_MS))
        now_ms = clock.now_ms()
        progress_ms += (now_ms - last_ms) / slowdown
        last_ms = now_ms
        due = min(request.tokens, int(request.tokens * progress_ms / request.cost_ms))
        for index in range(emitted, due):
            generation.append(f"t{index} ")
        emitted = max(emitted, due)
    if generation.cancelled:
        return
    for index in range(emitted, request.tokens):
        generation.append(f"t{index} ")
    generation.finish()
