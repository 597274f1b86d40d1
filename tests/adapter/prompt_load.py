"""Callers that send prompts made of shared parts to the gateways of a deployment."""

import asyncio
import random
from dataclasses import dataclass, field

from machines import Machines
from tornado.httputil import HTTPHeaders

from bulrushbend.core.errors import BulrushbendError, ConnectError
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

DEADLINE_MS = 5000.0
# Time after which a caller repeats a request that failed, once and at any gateway.
_REPEAT_S = 0.1
_TIMEOUTS = ExchangeTimeouts(1000.0, DEADLINE_MS + 3000.0, DEADLINE_MS + 3000.0)


@dataclass
class Prompt:
    """Contents of a request.

    Attributes
    ----------
    key : str
        Key of the caller's team.
    parts : tuple of str
        Ids of the shared parts; each request adds one of its own. A request without
        them has no prompt.
    route : str, default="gen"
        Name of the route.
    body : bytes, default=b""
        Body of the request; if empty, each one has a body of its own.
    """

    key: str
    parts: tuple[str, ...]
    route: str = "gen"
    body: bytes = b""


@dataclass
class Attempt:
    """One request to a gateway and its outcome.

    Attributes
    ----------
    prompt : Prompt
        Contents of the request.
    host : str
        Address of the gateway.
    request_id : str
        Id of the request.
    sent_s : float
        Time of the event loop at which it was sent.
    is_repeat : bool
        Whether the caller sent it after a failure.
    status : int
        Status of the answer, 0 if there was none.
    has_begun : bool
        Whether a part of a successful answer arrived.
    took_ms : float
        Time until the end of the answer.
    """

    prompt: Prompt
    host: str
    request_id: str
    sent_s: float
    is_repeat: bool = False
    status: int = 0
    has_begun: bool = False
    took_ms: float = 0.0


@dataclass
class PromptLoad:
    """Requests to the gateways that are ready.

    Attributes
    ----------
    machines : Machines
        Gateways to which requests are sent.
    seed : int
        Seed of the prompts and of the choice of gateways.
    attempts : list of Attempt
        All requests sent so far.
    prefix : str, default=""
        Beginning of the ids of the requests.
    """

    machines: Machines
    seed: int
    attempts: list[Attempt] = field(default_factory=list)
    prefix: str = ""

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.ready = set(self.machines.hosts)

    async def send_periodically(self, rate_per_s, duration_s, make_prompt) -> None:
        """Send a prompt from `make_prompt` at a constant rate and await all answers."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        async with asyncio.TaskGroup() as group:
            for number in range(int(rate_per_s * duration_s)):
                group.create_task(self.send(make_prompt()))
                due_s = began_s + (number + 1) / rate_per_s
                await asyncio.sleep(max(0.0, due_s - loop.time()))

    async def send(self, prompt: Prompt) -> None:
        """Send a request and repeat it once if it failed without a refusal."""
        body = prompt.body or f"body {len(self.attempts)}".encode()
        attempt = await self._send_once(prompt, body, is_repeat=False)
        if attempt.status in (0, 502, 504) and not attempt.has_begun:
            await asyncio.sleep(_REPEAT_S)
            await self._send_once(prompt, body, is_repeat=True)

    async def _send_once(self, prompt: Prompt, body: bytes, is_repeat: bool) -> Attempt:
        loop = asyncio.get_running_loop()
        host = self.random.choice(sorted(self.ready))
        request_id = f"{self.prefix}{len(self.attempts):08x}"
        attempt = Attempt(prompt, host, request_id, loop.time(), is_repeat)
        self.attempts.append(attempt)
        sizes = [self.random.randrange(50, 200) for _ in range(len(prompt.parts) + 1)]
        names = [*prompt.parts, f"f{request_id}"]
        entries = zip(names, sizes, strict=True)
        headers = {
            "Authorization": f"Token {prompt.key}",
            "Host": "a.example",
            "Attempt-Id": request_id,
            "Deadline-Ms": f"{DEADLINE_MS:.0f}",
        }
        if prompt.parts:
            headers |= {
                "Model": "m",
                "Token-Usage": f"{sum(sizes)},10",
                "Prefix-Hash": ",".join(f"{name}:{size}" for name, size in entries),
            }
        path = f"/{prompt.route}/x"
        request = ExchangeRequest("POST", path, HTTPHeaders(headers), body)
        try:
            exchange = await Exchange.open(f"{host}:8783", request, _TIMEOUTS)
            attempt.status = exchange.status
            async for _ in exchange.chunks():
                attempt.has_begun = attempt.status == 200
        except ConnectError:
            # The caller of a gateway that is down tries another one; nothing was sent.
            self.attempts.remove(attempt)
        except BulrushbendError:
            # An answer that breaks off keeps its status.
            pass
        attempt.took_ms = (loop.time() - attempt.sent_s) * 1000.0
        return attempt
