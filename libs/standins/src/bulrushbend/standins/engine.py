"""Stand-in for a model engine with continuous batching."""

import asyncio
import hashlib
import json
from collections import OrderedDict, deque

from tornado.web import RequestHandler

from bulrushbend.core.clock import Clock
from bulrushbend.core.identity import new_id
from bulrushbend.standins.endpoint import StandInEndpoint
from bulrushbend.standins.faults import AnswerAbortedError, AnswerWriter, FaultKind
from bulrushbend.standins.generation import (
    Generation,
    GenerationRequest,
    generate,
    parse_request,
)
from bulrushbend.standins.settings import EngineSettings

_CROSSED_NONCE = "of-another-request"


class Engine(StandInEndpoint[EngineSettings]):
    """Model engine that serves completions, resumable streams and load metrics.

    Parameters
    ----------
    settings : EngineSettings
        Capacity, speed and faults.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, settings: EngineSettings, clock: Clock | None = None):
        super().__init__(settings)
        self._clock = clock or Clock()
        self._generations: dict[str, Generation] = {}
        self._prefix_cache: OrderedDict[str, None] = OrderedDict()
        self._prefix_queries = 0
        self._prefix_hits = 0
        self._tokens_in_batch = 0
        self._load_samples: deque[tuple[float, int, int, float]] = deque(
            [(0.0, 0, 0, 0.0)]
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def stop(self) -> None:
        """Stop listening and cancel all generations."""
        super().stop()
        for task in self._tasks:
            task.cancel()

    def _routes(self) -> list[tuple]:
        handler_arguments = {"engine": self}
        return [
            (r"/v1/chat/completions", CompletionsHandler, handler_arguments),
            (r"/v1/streams/([^/]+)", StreamHandler, handler_arguments),
            (r"/metrics", EngineMetricsHandler, handler_arguments),
        ]

    def find_generation(self, request_id: str) -> Generation | None:
        """Return the generation of `request_id`, if it is still kept."""
        return self._generations.get(request_id)

    def submit(
        self, request_id: str, key: str, request: GenerationRequest, crossed: bool
    ) -> Generation:
        """Enqueue a generation and return it without waiting for its slot.

        An earlier generation with the same `request_id` is cancelled.
        """
        previous = self._generations.get(request_id)
        if previous is not None:
            previous.cancel()
        echoed_nonce = _CROSSED_NONCE if crossed else request.nonce
        generation = Generation(request_id, request, echoed_nonce)
        self._generations[request_id] = generation
        task = asyncio.create_task(self._generate(request_id, key, request, generation))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return generation

    def schedule_orphan_check(self, generation: Generation) -> None:
        """Cancel `generation` if it has no reader after `orphan_ms`."""
        task = asyncio.create_task(self._cancel_orphan(generation))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def format_metrics(self) -> str:
        """Return the load of `load_lag_ms` ago in the Prometheus text format."""
        cutoff_ms = self._clock.now_ms() - self._settings.load_lag_ms
        while len(self._load_samples) > 1 and self._load_samples[1][0] <= cutoff_ms:
            self._load_samples.popleft()
        _, running, waiting, usage = self._load_samples[0]
        label = f'{{model_name="{self._settings.name}"}}'
        lines = [
            "# TYPE vllm:num_requests_running gauge",
            f"vllm:num_requests_running{label} {running}",
            "# TYPE vllm:num_requests_waiting gauge",
            f"vllm:num_requests_waiting{label} {waiting}",
            "# TYPE vllm:kv_cache_usage_perc gauge",
            f"vllm:kv_cache_usage_perc{label} {usage:.6f}",
            "# TYPE vllm:prefix_cache_queries_total counter",
            f"vllm:prefix_cache_queries_total{label} {self._prefix_queries}",
            "# TYPE vllm:prefix_cache_hits_total counter",
            f"vllm:prefix_cache_hits_total{label} {self._prefix_hits}",
        ]
        return "\n".join(lines) + "\n"

    async def _generate(
        self,
        request_id: str,
        key: str,
        request: GenerationRequest,
        generation: Generation,
    ) -> None:
        self._record_load(waiting=1)
        async with self._slots:
            if generation.cancelled:
                return
            self._runs.record(key, request.nonce)
            self._tokens_in_batch += request.tokens
            self._record_load()
            prefill_ms = self._prefill_ms(request.prefix)
            await generate(
                generation,
                request,
                self._slots,
                self._settings,
                self._clock,
                prefill_ms,
            )
            self._tokens_in_batch -= request.tokens
        self._record_load()
        await self._clock.sleep_ms(self._settings.keep_ms)
        if self._generations.get(request_id) is generation:
            del self._generations[request_id]

    async def _cancel_orphan(self, generation: Generation) -> None:
        await self._clock.sleep_ms(self._settings.orphan_ms)
        if generation.readers == 0:
            generation.cancel()

    def _prefill_ms(self, prefix: str) -> float:
        name = hashlib.sha256(prefix.encode()).hexdigest()
        self._prefix_queries += 1
        hit = name in self._prefix_cache
        self._prefix_hits += hit
        self._prefix_cache[name] = None
        self._prefix_cache.move_to_end(name)
        while len(self._prefix_cache) > self._settings.prefix_entries:
            self._prefix_cache.popitem(last=False)
        return 0.0 if hit else self._settings.prefill_ms

    def _record_load(self, waiting: int = 0) -> None:
        usage = min(1.0, self._tokens_in_batch / self._settings.kv_tokens)
        # A request that is about to queue is not counted by `_slots` yet.
        queued = self._slots.waiting
        if waiting and self._slots.running >= self._settings.slots:
            queued += waiting
        sample = (self._clock.now_ms(), self._slots.running, queued, usage)
        self._load_samples.append(sample)


class _EngineHandler(RequestHandler):
    def initialize(self, engine: Engine) -> None:
        """Store the engine that serves the request."""
        self._engine = engine
        self._writer = AnswerWriter(self, None)

    def on_connection_close(self) -> None:
        """Notify the writer that the caller closed the connection."""
        self._writer.mark_closed()

    async def _send_frames(self, generation: Generation, after: int = -1) -> None:
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        await self._writer.apply_faults_before_headers()
        await self.flush()
        async for frames in generation.frames(after):
            await self._writer.write(frames)
        if generation.cancelled:
            self.request.connection.stream.close()


class CompletionsHandler(_EngineHandler):
    """``/v1/chat/completions``: generates an answer."""

    async def post(self) -> None:
        """Generate an answer, as JSON or as server-sent events."""
        try:
            request = parse_request(self.request.body, self._engine.settings)
        except (ValueError, TypeError) as error:
            self._send_json_error(400, str(error))
            return
        fault = self._engine.server.faults.next_fault(request.prefix)
        self._writer = AnswerWriter(self, fault)
        if self._writer.kind is FaultKind.REJECT:
            self._send_json_error(503, "rejected by a fault")
            return
        caller_request_id = self.request.headers.get("X-Request-Id", "")
        request_id = caller_request_id or new_id("cmpl")
        key = self.request.headers.get("Idempotency-Key", "")
        crossed = self._writer.kind is FaultKind.CROSSED
        self.set_header("X-Request-Id", _CROSSED_NONCE if crossed else request_id)
        generation = self._engine.submit(request_id, key, request, crossed)
        try:
            if request.stream:
                await self._send_frames(generation)
            else:
                await self._send_answer(generation)
        except AnswerAbortedError:
            self._handle_abort(
                generation, resumable=bool(caller_request_id) and request.stream
            )

    def _send_json_error(self, status: int, message: str) -> None:
        self.set_status(status)
        self.write({"error": {"message": message}})

    async def _send_answer(self, generation: Generation) -> None:
        closed = asyncio.ensure_future(self._writer.wait_closed())
        done = asyncio.ensure_future(generation.wait())
        await asyncio.wait({closed, done}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        done.cancel()
        if not generation.finished:
            self.request.connection.stream.close()
            raise AnswerAbortedError("the generation was cancelled")
        body = json.dumps(generation.answer()).encode()
        await self._writer.apply_faults_before_headers()
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        await self._writer.write(body)
        await self._writer.apply_faults_after_body(body)

    def _handle_abort(self, generation: Generation, resumable: bool) -> None:
        if resumable:
            self._engine.schedule_orphan_check(generation)
        else:
            generation.cancel()


class StreamHandler(_EngineHandler):
    """``/v1/streams/{request}``: resumes or cancels a stream."""

    async def get(self, request_id: str) -> None:
        """Send the events after ``Last-Event-ID``."""
        generation = self._engine.find_generation(request_id)
        if generation is None or generation.cancelled:
            self.set_status(404)
            return
        try:
            after = int(self.request.headers.get("Last-Event-ID", "-1"))
        except ValueError:
            self.set_status(400)
            return
        self.set_header("X-Request-Id", request_id)
        try:
            await self._send_frames(generation, after)
        except AnswerAbortedError:
            self._engine.schedule_orphan_check(generation)

    def delete(self, request_id: str) -> None:
        """Cancel the stream and answer with its state."""
        generation = self._engine.find_generation(request_id)
        if generation is None:
            self.set_status(404)
            return
        generation.cancel()
        state = "finished" if generation.finished else "cancelled"
        self.write({"state": state})


class EngineMetricsHandler(RequestHandler):
    """``/metrics``: load of the engine."""

    def initialize(self, engine: Engine) -> None:
        """Store the engine that serves the request."""
        self._engine = engine

    def get(self) -> None:
        """Answer with the load of `load_lag_ms` ago."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self._engine.format_metrics())


async def run_engine(settings: EngineSettings) -> None:
    """Serve the stand-in engine until SIGTERM or SIGINT."""
    engine = Engine(settings)
    engine.start()
    try:
        await engine.server.run()
    finally:
        engine.stop()
