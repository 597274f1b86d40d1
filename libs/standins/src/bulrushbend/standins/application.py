"""Stand-in for an application whose calls are not idempotent."""

import asyncio
import json

from tornado.web import RequestHandler

from bulrushbend.core.identity import new_id
from bulrushbend.standins.endpoint import StandInEndpoint
from bulrushbend.standins.faults import AnswerAbortedError, AnswerWriter, FaultKind
from bulrushbend.standins.server import read_json_object
from bulrushbend.standins.settings import ApplicationSettings


class BookingApplication(StandInEndpoint[ApplicationSettings]):
    """Service that counts its runs by idempotency key.

    Parameters
    ----------
    settings : ApplicationSettings
        Capacity, default cost and faults.
    """

    def _routes(self) -> list[tuple]:
        return [(r"/.*", CallHandler, {"service": self})]


class CallHandler(RequestHandler):
    """Any method on any other path; each valid call is one run."""

    def initialize(self, service: BookingApplication) -> None:
        """Store the application that serves the call."""
        self._service = service
        self._writer = AnswerWriter(self, None)

    def on_connection_close(self) -> None:
        """Notify the writer that the caller left; the run continues."""
        self._writer.mark_closed()

    async def _handle_call(self) -> None:
        fault = self._service.server.faults.next_fault()
        self._writer = AnswerWriter(self, fault)
        if self._writer.kind is FaultKind.REJECT:
            self.set_status(503)
            self.write({"error": {"message": "rejected by a fault"}})
            return
        try:
            nonce, cost_ms = self._parse_call()
        except (ValueError, TypeError) as error:
            self.set_status(400)
            self.write({"error": {"message": str(error)}})
            return
        key = self.request.headers.get("Idempotency-Key", "")
        async with self._service.slots:
            run = self._service.runs.record(key, nonce)
            await asyncio.sleep(cost_ms / 1000.0)
        try:
            await self._send_answer(nonce, key, run)
        except AnswerAbortedError:
            return

    def _parse_call(self) -> tuple[str, float]:
        document = {}
        if self.request.body:
            document = read_json_object(self.request.body)
        nonce = self.get_query_argument("x_nonce", "")
        default_ms = self._service.settings.default_cost_ms
        cost = self.get_query_argument("x_cost_ms", str(default_ms))
        cost_ms = float(document.get("x_cost_ms", cost))
        if not 0 <= cost_ms <= 3_600_000:
            raise ValueError("x_cost_ms is not between 0 and 3600000")
        return str(document.get("x_nonce", nonce)), cost_ms

    async def _send_answer(self, nonce: str, key: str, run: int) -> None:
        crossed = self._writer.kind is FaultKind.CROSSED
        echoed_nonce = "of-another-request" if crossed else nonce
        document = {
            "begin": echoed_nonce,
            "method": self.request.method,
            "path": self.request.path,
            "key": key,
            "run": run,
            "booking": new_id("booking"),
            "end": echoed_nonce,
        }
        body = json.dumps(document).encode()
        caller_request_id = self.request.headers.get("X-Request-Id", "")
        await self._writer.apply_faults_before_headers()
        if caller_request_id:
            self.set_header(
                "X-Request-Id", echoed_nonce if crossed else caller_request_id
            )
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        await self._writer.write(body)
        await self._writer.apply_faults_after_body(body)

    get = post = put = patch = delete = _handle_call


async def run_application(settings: ApplicationSettings) -> None:
    """Serve the stand-in application until SIGTERM or SIGINT."""
    application = BookingApplication(settings)
    application.start()
    try:
        await application.server.run()
    finally:
        application.stop()
