"""Errors that the router itself answers to a caller."""

import json
import math

from tornado.httputil import HTTPHeaders

from bulrushbend.core.errors import BulrushbendError
from bulrushbend.wire.names import HEADER_OUTCOME, HEADER_REQUEST, Outcome


class RequestEndedError(BulrushbendError):
    """A request ended without an answer of an endpoint.

    Holds the status, headers and body that are sent to the caller.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    outcome : Outcome
        Outcome reported to the caller.
    code : str
        Short machine-readable reason.
    message : str
        Human-readable reason.
    retry_after_ms : float or None, default=None
        Time after which the caller should retry, in milliseconds.
    """

    def __init__(
        self,
        status: int,
        outcome: Outcome,
        code: str,
        message: str,
        *,
        retry_after_ms: float | None = None,
    ):
        super().__init__(message, step=code)
        self._status = status
        self._outcome = outcome
        self._code = code
        self._retry_after_ms = retry_after_ms

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self._status

    @property
    def outcome(self) -> Outcome:
        """Outcome reported to the caller."""
        return self._outcome

    @property
    def code(self) -> str:
        """Short machine-readable reason."""
        return self._code

    @property
    def retry_after_s(self) -> int | None:
        """Value of ``Retry-After`` in whole seconds, None without the header."""
        if self._retry_after_ms is None:
            return None
        return max(1, math.ceil(self._retry_after_ms / 1000.0))

    def headers(self, request_id: str) -> HTTPHeaders:
        """Return the headers of the answer to the request `request_id`."""
        headers = HTTPHeaders({"Content-Type": "application/json"})
        headers[HEADER_OUTCOME] = str(self._outcome)
        headers[HEADER_REQUEST] = request_id
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        if self._status == 401:
            headers["WWW-Authenticate"] = "Bearer"
        return headers

    def body(self, request_id: str) -> bytes:
        """Return the JSON body of the answer to the request `request_id`."""
        error = {"code": self._code, "message": self._message, "request_id": request_id}
        return json.dumps({"error": error}).encode() + b"\n"


def refused(status: int, code: str, message: str) -> RequestEndedError:
    """Return the error for an invalid request."""
    return RequestEndedError(status, Outcome.REFUSED, code, message)


def not_run(
    status: int, code: str, message: str, retry_after_ms: float | None = None
) -> RequestEndedError:
    """Return the error for a request that did not run and will not run."""
    return RequestEndedError(
        status, Outcome.NOT_RUN, code, message, retry_after_ms=retry_after_ms
    )


def caller_disconnected() -> RequestEndedError:
    """Return the error for a request whose caller disconnected before it ran."""
    return not_run(499, "caller-gone", "the caller closed the connection")


def unknown(code: str, message: str, status: int = 502) -> RequestEndedError:
    """Return the error for a request that may have run."""
    return RequestEndedError(status, Outcome.UNKNOWN, code, message)


def failed(code: str, message: str) -> RequestEndedError:
    """Return the error for a request that ran and failed."""
    return RequestEndedError(502, Outcome.FAILED, code, message)
