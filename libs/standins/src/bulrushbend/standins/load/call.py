"""One request of the load generator and the check of its answer."""

import json
import re
import secrets
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import PeerError
from bulrushbend.standins.load.settings import LoadSettings, LoadTeam
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts
from bulrushbend.wire.names import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_OUTCOME,
)

ANSWERED = "answered"
WRONG_ANSWER = "wrong-answer"
_CONNECT_TIMEOUT_MS = 2000.0
_DATA_LINE = re.compile(rb"^data: (\{.*\})\s*$", re.MULTILINE)


@dataclass
class CallRecord:
    """Outcome and times of one request.

    Attributes
    ----------
    outcome : str
        ``answered``, ``wrong-answer``, the outcome that the router names,
        ``status-`` and the status code if it names none, or the class name of the
        connection error.
    first_byte_ms, total_ms : float
        Time from the start to the first body byte and to the end.
    gaps_ms : list of float
        Times between two chunks of the body.
    detail : str
        Status code, reason and start of the body of an unexpected answer, or the
        nonces that differ, or the message of the connection error.
    """

    team: str
    nonce: str
    cost_ms: float
    outcome: str = ""
    status: int = 0
    first_byte_ms: float | None = None
    total_ms: float = 0.0
    gaps_ms: list[float] = field(default_factory=list)
    detail: str = ""


def new_nonce() -> str:
    """Return a random nonce that ties an answer to its request."""
    return secrets.token_hex(8)


def build_request(
    settings: LoadSettings, team: LoadTeam, nonce: str, cost_ms: float
) -> ExchangeRequest:
    """Return the HTTP request of one call."""
    headers = HTTPHeaders({"Authorization": f"Bearer {team.token}"})
    headers["Content-Type"] = "application/json"
    if settings.deadline_ms is not None:
        headers[HEADER_DEADLINE] = str(settings.deadline_ms)
    if settings.keyed:
        headers[HEADER_IDEMPOTENCY_KEY] = f"key-{nonce}"
    document = {"x_nonce": nonce, "x_cost_ms": round(cost_ms, 3)}
    path = f"/services/{settings.service}/{settings.path}"
    if settings.kind == "model":
        path = "/v1/chat/completions"
        message = {"role": "user", "content": f"question {nonce}"}
        document |= {
            "model": settings.service,
            "stream": settings.stream,
            "x_tokens": settings.tokens,
            "messages": [message],
        }
    return ExchangeRequest("POST", path, headers, json.dumps(document).encode())


def extract_nonces(settings: LoadSettings, body: bytes) -> tuple[str, str]:
    """Return the nonces at the start and the end of a complete answer.

    Raises
    ------
    ValueError
        If the body is not a complete answer.
    """
    try:
        if settings.kind == "application":
            document = json.loads(body)
            return document["begin"], document["end"]
        words = _completion_text(settings, body).split(" ")
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise ValueError(f"the body is not an answer: {error}") from None
    if not words[0].startswith("begin:") or not words[-1].startswith("end:"):
        raise ValueError(
            "the answer does not start with begin: or does not end with end:"
        )
    expected = [f"t{index}" for index in range(settings.tokens)]
    if words[1:-1] != expected:
        raise ValueError("a token is missing, repeated or out of order")
    return words[0][6:], words[-1][4:]


async def send_request(
    settings: LoadSettings,
    team: LoadTeam,
    router: str,
    cost_ms: float,
    clock: Clock,
) -> CallRecord:
    """Send one request and check that the answer is complete and belongs to it.

    Parameters
    ----------
    settings : LoadSettings
        Kind of the request and its time-outs.
    team : LoadTeam
        Team that sends the request.
    router : str
        ``"host:port"`` of the router.
    cost_ms : float
        Cost that the request asks of the stand-in.
    clock : Clock
        Source of time.
    """
    record = CallRecord(team.name, new_nonce(), cost_ms)
    request = build_request(settings, team, record.nonce, cost_ms)
    timeout_ms = float(settings.answer_timeout_ms)
    timeouts = ExchangeTimeouts(_CONNECT_TIMEOUT_MS, timeout_ms, timeout_ms)
    start_ms = clock.now_ms()
    try:
        exchange = await Exchange.open(router, request, timeouts)
        try:
            body = await _read_body(exchange, record, start_ms, clock)
        finally:
            exchange.close()
    except PeerError as error:
        record.outcome = type(error).__name__
        record.detail = str(error)
    else:
        _classify_answer(settings, record, exchange, body)
    record.total_ms = clock.now_ms() - start_ms
    return record


def _completion_text(settings: LoadSettings, body: bytes) -> str:
    if not settings.stream:
        return json.loads(body)["choices"][0]["message"]["content"]
    if not body.rstrip().endswith(b"data: [DONE]"):
        raise ValueError("the event stream does not end with data: [DONE]")
    events = [json.loads(data) for data in _DATA_LINE.findall(body)]
    return "".join(event["choices"][0]["delta"]["content"] for event in events)


async def _read_body(
    exchange: Exchange, record: CallRecord, start_ms: float, clock: Clock
) -> bytes:
    body_chunks = []
    last_ms = None
    async for chunk in exchange.chunks():
        now_ms = clock.now_ms()
        if last_ms is None:
            record.first_byte_ms = now_ms - start_ms
        else:
            record.gaps_ms.append(now_ms - last_ms)
        last_ms = now_ms
        body_chunks.append(chunk)
    return b"".join(body_chunks)


def _classify_answer(
    settings: LoadSettings, record: CallRecord, exchange: Exchange, body: bytes
) -> None:
    record.status = exchange.status
    if exchange.status != 200:
        router_outcome = exchange.headers.get(HEADER_OUTCOME, "")
        record.outcome = router_outcome or f"status-{exchange.status}"
        record.detail = f"{exchange.status} {body[:200]!r}"
        return
    try:
        begin, end = extract_nonces(settings, body)
    except ValueError as error:
        record.outcome = WRONG_ANSWER
        record.detail = f"{error}: {body[:200]!r}"
        return
    record.outcome = ANSWERED if begin == end == record.nonce else WRONG_ANSWER
    if record.outcome == WRONG_ANSWER:
        record.detail = (
            f"sent nonce {record.nonce}, "
            f"got {begin} at the start and {end} at the end of the answer"
        )
