"""Interface for encoding and decoding the headers of callers and endpoints."""

import math
import re
from typing import Protocol

from tornado.httputil import HTTPHeaders

from bulrushbend.core.identity import new_id
from bulrushbend.gateway.call import Call, CallDetails, RequestError
from bulrushbend.gateway.endpoints import DiscoveredEndpoint

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?|\.[0-9]+")


class HeaderCodec(Protocol):
    """Decodes and encodes the headers of a deployment."""

    def read_details(self, headers: HTTPHeaders) -> CallDetails:
        """Return the values decoded from the headers of a caller's request.

        Raises
        ------
        RequestError
            A header is invalid.
        """
        ...

    def read_request_id(self, headers: HTTPHeaders) -> str:
        """Return the request id supplied by the caller, empty if there is none."""
        ...

    def endpoint_headers(
        self,
        call: Call,
        endpoint: DiscoveredEndpoint,
        remaining_ms: float,
        fetch_from: str = "",
    ) -> HTTPHeaders:
        """Return the headers of the request that sends `call` to `endpoint`.

        `fetch_from` is the address of an endpoint that has parts of the prompt in
        memory.
        """
        ...

    def proves_not_run(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether the response states that the request did not run."""
        ...

    def is_genuine(self, call: Call, status: int, headers: HTTPHeaders) -> bool:
        """Return whether the response belongs to `call` and comes from an endpoint."""
        ...

    def states_leaving(self, headers: HTTPHeaders) -> bool:
        """Return whether the endpoint states in a response that it is leaving."""
        ...

    def read_pause_ms(self, headers: HTTPHeaders) -> float | None:
        """Return how long the endpoint of a 503 response wants no further requests.

        None if it does not say so.

        Raises
        ------
        ValueError
            The value cannot be read.
        """
        ...

    def read_limit_per_s(self, headers: HTTPHeaders) -> float | None:
        """Return how many requests a second the endpoint accepts from all gateways.

        None if it does not say so.

        Raises
        ------
        ValueError
            The value cannot be read.
        """
        ...

    def caller_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers that are passed to the caller with a response."""
        ...

    def error_headers(self, request_id: str, error: RequestError) -> HTTPHeaders:
        """Return the headers of the error response for `error`."""
        ...


def end_to_end_headers(headers: HTTPHeaders, dropped: frozenset[str]) -> HTTPHeaders:
    """Return the headers to forward, without hop-by-hop and `dropped` headers."""
    named = {
        name.strip().lower()
        for value in headers.get_list("Connection")
        for name in value.split(",")
    }
    passed = HTTPHeaders()
    for name, value in headers.get_all():
        lowered = name.lower()
        if lowered in HOP_BY_HOP_HEADERS or lowered in dropped or lowered in named:
            continue
        passed.add(name, value)
    return passed


def retry_after_value(error: RequestError) -> str | None:
    """Return the value of Retry-After in seconds, None if there is none."""
    if error.retry_after_ms is None:
        return None
    return f"{error.retry_after_ms / 1000.0:.3f}"


def parse_rate(headers: HTTPHeaders, name: str) -> float | None:
    """Return the rate in the headers called `name`, None if there is none.

    Of several rates, the lowest one counts.

    Raises
    ------
    ValueError
        A value is not a decimal number, or is too large.
    """
    values = [part for value in headers.get_list(name) for part in value.split(",")]
    rates = [_parse_decimal(value, name) for value in values]
    if not all(map(math.isfinite, rates)):
        raise ValueError(f"{name} is too large: {values[0][:40]!r}")
    return min(rates, default=None)


def parse_retry_after(headers: HTTPHeaders) -> float | None:
    """Return the time in Retry-After in milliseconds, None if there is none.

    Of several headers, the longest time counts.

    Raises
    ------
    ValueError
        A value is not a number of seconds, with or without a fraction.
    """
    values = headers.get_list("Retry-After")
    delays_ms = [_parse_decimal(value, "Retry-After") * 1000.0 for value in values]
    if not all(map(math.isfinite, delays_ms)):
        raise ValueError(f"Retry-After is too large: {values[0][:40]!r}")
    return max(delays_ms, default=None)


def _parse_decimal(text: str, name: str) -> float:
    if not _DECIMAL.fullmatch(text.strip()):
        raise ValueError(f"{name} is no decimal number: {text[:40]!r}")
    return float(text)


def bearer_token(headers: HTTPHeaders, scheme: str) -> str:
    """Return the token of the Authorization header, empty if there is none."""
    actual_scheme, _, token = headers.get("Authorization", "").partition(" ")
    return token.strip() if actual_scheme.lower() == scheme.lower() else ""


def request_id_or_new(request_id: str) -> str:
    """Return the caller's request id, or a new one if it is empty."""
    return request_id or new_id("req")
