"""Resumption of the event stream of one attempt over several connections."""

from collections.abc import AsyncGenerator, Callable

from bulrushbend.agent import metrics
from bulrushbend.agent.endpoint import Endpoint
from bulrushbend.core.clock import Clock
from bulrushbend.core.errors import PeerError, PeerTimeoutError, TruncatedResponseError
from bulrushbend.wire.eventstream import EventFramer, StreamTail
from bulrushbend.wire.exchange import Exchange

_MIN_BACKOFF_MS = 20.0
_MAX_BACKOFF_MS = 500.0
# An endpoint that is overloaded or restarting may still have the stream.
_TEMPORARY_STATUSES = frozenset({429, 502, 503, 504})


class ResumingStream:
    """Reads an event stream and reconnects when its connection breaks.

    Fails when no complete event has arrived within the endpoint's idle time-out.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that produces the stream.
    stream_id : str
        Id of the stream.
    check : callable
        Raises an error if an answer belongs to another request, or if it would look
        complete when truncated.
    on_resume : callable
        Called with the last event id and the cause of each resume.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        stream_id: str,
        check: Callable[[Exchange], None],
        on_resume: Callable[[str, PeerError], None],
        clock: Clock,
    ):
        self._endpoint = endpoint
        self._stream_id = stream_id
        self._check = check
        self._on_resume = on_resume
        self._clock = clock
        self._framer = EventFramer()
        self._last_progress_ms = clock.now_ms()
        self._backoff_ms = _MIN_BACKOFF_MS

    async def iter_events(self, exchange: Exchange) -> AsyncGenerator[bytes, None]:
        """Yield complete events, first from `exchange`, then from resumed connections.

        Raises
        ------
        PeerError
            The stream broke and could not be resumed.
        """
        try:
            while True:
                tail = StreamTail()
                try:
                    async for chunk in exchange.chunks():
                        tail.feed(chunk)
                        events = self._framer.feed(chunk)
                        if events:
                            yield events
                            # Time in which the reader applies backpressure is no stall.
                            self._record_progress()
                        else:
                            self._check_stall()
                    tail.check_end(
                        exchange.peer,
                        ends_with_connection=exchange.ends_with_connection,
                    )
                    yield self._framer.finish()
                    return
                except (TruncatedResponseError, PeerTimeoutError) as error:
                    exchange.close()
                    exchange = await self._resume(error)
        finally:
            exchange.close()

    def _check_stall(self) -> None:
        """Raise if no event was completed within the idle time-out.

        The time-out of the exchange does not expire while single bytes arrive.
        """
        if self._clock.now_ms() >= self._last_progress_ms + self._endpoint.idle_ms:
            raise PeerTimeoutError(
                "no complete event within the idle timeout", step="body"
            )

    def _record_progress(self) -> None:
        self._last_progress_ms = self._clock.now_ms()
        self._backoff_ms = _MIN_BACKOFF_MS

    async def _resume(self, cause: PeerError) -> Exchange:
        """Reconnect to the stream; raise `cause` if that is not possible."""
        while self._clock.now_ms() < self._last_progress_ms + self._endpoint.idle_ms:
            await self._clock.sleep_ms(self._backoff_ms)
            self._backoff_ms = min(2 * self._backoff_ms, _MAX_BACKOFF_MS)
            try:
                exchange = await self._endpoint.resume(
                    self._stream_id, self._framer.last_id
                )
            except PeerError:
                continue
            if exchange.status in _TEMPORARY_STATUSES:
                exchange.close()
                continue
            try:
                if not is_event_stream(exchange):
                    raise cause
                self._check(exchange)
            except BaseException:
                exchange.close()
                raise
            self._framer.restart()
            metrics.RESUMES.inc()
            self._on_resume(self._framer.last_id, cause)
            return exchange
        raise cause


async def iter_whole_stream(exchange: Exchange) -> AsyncGenerator[bytes, None]:
    """Yield the chunks of an event stream that cannot be resumed.

    Raises
    ------
    TruncatedResponseError
        The stream ended inside an event. The other errors are those of
        `Exchange.chunks`.
    """
    tail = StreamTail()
    async for chunk in exchange.chunks():
        tail.feed(chunk)
        yield chunk
    tail.check_end(exchange.peer, ends_with_connection=exchange.ends_with_connection)


def is_event_stream(exchange: Exchange) -> bool:
    """Return whether an answer is a stream of server-sent events."""
    content_type = exchange.headers.get("Content-Type", "")
    return exchange.status == 200 and content_type.startswith("text/event-stream")
