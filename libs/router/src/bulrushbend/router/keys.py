"""Idempotency keys: a non-idempotent request with a key runs at most once."""

import hashlib
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from tornado.httputil import HTTPHeaders

from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import NoQuorum
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import Identity
from bulrushbend.core.logs import part_logger
from bulrushbend.router.buffering import BufferingSink
from bulrushbend.router.errors import RequestEndedError, not_run, refused
from bulrushbend.router.request import CallerRequest
from bulrushbend.router.sinks import AnswerSink
from bulrushbend.wire.fleet_pb2 import Header, KeyReply, KeyRequest, StoredAnswer
from bulrushbend.wire.names import HEADER_OUTCOME, Outcome

_log = part_logger("router.keys")

_RUNNING_RETRY_AFTER_MS = 1_000.0
_UNAVAILABLE_RETRY_AFTER_MS = 2_000.0
_UNCONFIRMED_RETRY_MS = 1_000.0
# Bounds the memory: each unconfirmed completion holds an answer of up to 64 KiB.
_MAX_UNCONFIRMED = 500


class ControlClient(Protocol):
    """Client of control; implemented by `FleetClient`."""

    async def call(self, method: str, request: Any, timeout_ms: float) -> Any:
        """Call a method of the `Fleet` service.

        Raises `NoQuorum` if no replica answers in time.
        """
        ...


class IdempotencyKeys:
    """Records, completes and releases idempotency keys through control.

    Completions and releases that control has not confirmed are repeated until it
    confirms them.

    Parameters
    ----------
    control : ControlClient
        Client of control.
    identity : Identity
        This router, the owner of the keys it records.
    clock : Clock
        Source of time.
    events : EventLog
        Receives the key events.
    timeout_ms : float
        Deadline of one call in milliseconds.
    """

    def __init__(
        self,
        control: ControlClient,
        identity: Identity,
        clock: Clock,
        events: EventLog,
        timeout_ms: float,
    ):
        self._control = control
        self._identity = identity
        self._clock = clock
        self._events = events
        self._timeout_ms = timeout_ms
        self._unconfirmed: OrderedDict[str, tuple[str, KeyRequest]] = OrderedDict()

    @property
    def unconfirmed(self) -> int:
        """Number of completions and releases that control has not confirmed."""
        return len(self._unconfirmed)

    async def serve(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        run: Callable[[AnswerSink], Awaitable[None]],
    ) -> None:
        """Run a request with a key once, or replay the answer of its first run.

        The answer is buffered until control has stored it, so that a caller that has
        seen an answer gets the same one for a repeated request.

        Parameters
        ----------
        request : CallerRequest
            Request with a key.
        sink : AnswerSink
            Receives the answer.
        run : callable
            Runs the request and forwards its answer to the sink passed to it.

        Raises
        ------
        RequestEndedError
            The request ended without a complete answer of an endpoint.
        """
        key_request = self._build_key_request(request)
        reply = await self._record(key_request)
        if reply.result == KeyReply.COMPLETED:
            await _replay(reply.answer, sink)
            return
        if reply.result != KeyReply.RECORDED:
            raise _error_from_reply(reply)
        self._record_event(EventKind.KEY_RECORDED, request)
        await self._run_once(request, key_request, BufferingSink(sink), run)

    async def retry_unconfirmed(self) -> None:
        """Repeat unconfirmed completions and releases until cancelled."""
        while True:
            await self._clock.sleep_ms(_UNCONFIRMED_RETRY_MS)
            for request_id, (method, message) in list(self._unconfirmed.items()):
                if not await self._send(method, message):
                    break
                self._unconfirmed.pop(request_id, None)

    async def _run_once(
        self,
        request: CallerRequest,
        key_request: KeyRequest,
        buffering_sink: BufferingSink,
        run: Callable[[AnswerSink], Awaitable[None]],
    ) -> None:
        try:
            await run(buffering_sink)
        except RequestEndedError as error:
            if error.outcome is Outcome.NOT_RUN:
                await self._send_or_retry_later("ReleaseKey", key_request)
                self._record_event(EventKind.KEY_RELEASED, request)
            else:
                await self._complete(
                    request, key_request, _stored_failure(error, key_request)
                )
            raise
        await self._complete(request, key_request, buffering_sink.to_stored_answer())
        await buffering_sink.flush()

    async def _record(self, key_request: KeyRequest) -> KeyReply:
        try:
            reply = await self._control.call("RecordKey", key_request, self._timeout_ms)
        except NoQuorum as error:
            _log.warning(
                "idempotency key of request %s not recorded, answering 503: %s",
                key_request.request_id,
                error,
            )
            reply = KeyReply(result=KeyReply.UNAVAILABLE)
        if reply.result in (KeyReply.UNAVAILABLE, KeyReply.UNSPECIFIED):
            # The key may have been recorded nevertheless. It is released, because no
            # request runs under it.
            self._retry_later("ReleaseKey", key_request)
        return reply

    async def _complete(
        self, request: CallerRequest, key_request: KeyRequest, answer: StoredAnswer
    ) -> None:
        message = KeyRequest()
        message.CopyFrom(key_request)
        message.answer.CopyFrom(answer)
        await self._send_or_retry_later("CompleteKey", message)
        self._record_event(EventKind.KEY_COMPLETED, request)

    async def _send_or_retry_later(self, method: str, message: KeyRequest) -> None:
        if not await self._send(method, message):
            self._retry_later(method, message)

    async def _send(self, method: str, message: KeyRequest) -> bool:
        try:
            reply = await self._control.call(method, message, self._timeout_ms)
        except NoQuorum:
            return False
        return reply.result not in (KeyReply.UNAVAILABLE, KeyReply.UNSPECIFIED)

    def _retry_later(self, method: str, message: KeyRequest) -> None:
        self._unconfirmed[message.request_id] = (method, message)
        if len(self._unconfirmed) > _MAX_UNCONFIRMED:
            self._unconfirmed.popitem(last=False)
            _log.error(
                "more than %d key operations unconfirmed by control; dropping oldest",
                _MAX_UNCONFIRMED,
            )

    def _build_key_request(self, request: CallerRequest) -> KeyRequest:
        return KeyRequest(
            team=request.team,
            service=request.service,
            key=request.key,
            body_digest=body_digest(request),
            owner=self._identity.name,
            owner_incarnation=self._identity.incarnation,
            request_id=request.request_id,
        )

    def _record_event(self, kind: EventKind, request: CallerRequest) -> None:
        self._events.write(
            kind,
            request_id=request.request_id,
            team=request.team,
            service=request.service,
        )


def body_digest(request: CallerRequest) -> str:
    """Return the hexadecimal SHA-256 digest of method, path and body."""
    digest = hashlib.sha256(f"{request.method} {request.path}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()


def _error_from_reply(reply: KeyReply) -> RequestEndedError:
    first_request_id = reply.request_id or "unknown"
    match reply.result:
        case KeyReply.RUNNING:
            return RequestEndedError(
                409,
                Outcome.RUNNING,
                "key-running",
                f"the first request with this key still runs: {first_request_id}",
                retry_after_ms=_RUNNING_RETRY_AFTER_MS,
            )
        case KeyReply.OUTCOME_UNKNOWN:
            message = (
                f"the first request with this key may have run: {first_request_id}"
            )
            return RequestEndedError(409, Outcome.UNKNOWN, "key-unknown", message)
        case KeyReply.MISMATCH:
            return refused(422, "key-reused", "the key was used with another request")
    message = "no majority of control recorded the key"
    return not_run(503, "key-unavailable", message, _UNAVAILABLE_RETRY_AFTER_MS)


async def _replay(answer: StoredAnswer, sink: AnswerSink) -> None:
    headers = HTTPHeaders()
    for header in answer.headers:
        headers.add(header.name, header.value)
    if not answer.body_kept:
        headers[HEADER_OUTCOME] = str(Outcome.COMPLETED)
    await sink.start(answer.status, headers)
    if answer.body:
        await sink.write(answer.body)


def _stored_failure(error: RequestEndedError, key_request: KeyRequest) -> StoredAnswer:
    """Return the answer to repeated requests after a first run ended in `error`."""
    status = 409 if error.outcome is Outcome.UNKNOWN else error.status
    return StoredAnswer(
        status=status,
        headers=[
            Header(name=header, value=value)
            for header, value in error.headers(key_request.request_id).get_all()
        ],
        body=error.body(key_request.request_id),
        body_kept=True,
    )
