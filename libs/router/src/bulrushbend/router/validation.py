"""Validation of a caller's HTTP request and conversion to a `CallerRequest`."""

import json
from dataclasses import dataclass
from typing import Any

from tornado.httputil import HTTPHeaders, HTTPServerRequest

from bulrushbend.core.manifest import Manifest, Service, Team
from bulrushbend.router.affinity import prefix_hashes
from bulrushbend.router.authentication import authenticate
from bulrushbend.router.errors import refused
from bulrushbend.router.request import CallerRequest, is_idempotent
from bulrushbend.wire.names import (
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_IDEMPOTENT,
    HOP_BY_HOP,
)

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/services/"
_MAX_DEADLINE_MS = 86_400_000
_MAX_KEY_CHARACTERS = 255


@dataclass(frozen=True)
class RequestHead:
    """Validated request line and headers of a request whose body is not yet read.

    Attributes
    ----------
    team : Team
        Authenticated team.
    service : Service or None
        Service named in the path; None if the body names it.
    path : str
        Path and query for the endpoint.
    deadline_ms : int
        Time within which the answer must start, in milliseconds.
    declared_idempotent : bool or None
        Declaration of the caller; None if there is none.
    key : str or None
        Idempotency key.
    """

    team: Team
    service: Service | None
    path: str
    deadline_ms: int
    declared_idempotent: bool | None
    key: str | None


def validate_headers(
    request: HTTPServerRequest, manifest: Manifest, header_bytes: int
) -> RequestHead:
    """Validate everything that is known before the body is read.

    Parameters
    ----------
    request : HTTPServerRequest
        The caller's request.
    manifest : Manifest
        Manifest in force.
    header_bytes : int
        Largest size of the request line and the headers together.

    Raises
    ------
    RequestEndedError
        With outcome ``refused``.
    """
    team = authenticate(manifest, request.headers.get("Authorization"))
    if _header_size(request) > header_bytes:
        raise refused(431, "headers-too-large", f"headers exceed {header_bytes} bytes")
    _check_content_length(request, manifest.limits.body_bytes)
    service, path = _find_service(request, manifest)
    return RequestHead(
        team,
        service,
        path,
        _parse_deadline(request.headers, manifest.limits.default_deadline_ms),
        _parse_idempotent(request.headers),
        _parse_key(request.headers),
    )


def build_request(
    head: RequestHead,
    request: HTTPServerRequest,
    body: bytes,
    manifest: Manifest,
    request_id: str,
    now_ms: float,
) -> CallerRequest:
    """Build the request that is queued.

    Parameters
    ----------
    head : RequestHead
        Result of `validate_headers`.
    request : HTTPServerRequest
        The caller's request.
    body : bytes
        Complete body.
    manifest : Manifest
        Manifest in force.
    request_id : str
        Identifier of the request.
    now_ms : float
        Monotonic time in milliseconds.

    Raises
    ------
    RequestEndedError
        With outcome ``refused``.
    """
    service = head.service
    document = None
    if service is None:
        document = _parse_json(body)
        service = _find_model_service(document, manifest)
    elif service.kind == "model" and head.path.partition("?")[0] == CHAT_PATH:
        document = _parse_json(body) if body else None
    method = request.method or "GET"
    idempotent = is_idempotent(
        method, service.posts_are_idempotent, head.declared_idempotent
    )
    return CallerRequest(
        request_id=request_id,
        team=head.team.name,
        service=service.name,
        method=method,
        path=head.path,
        headers=_end_to_end_headers(request.headers),
        body=body,
        idempotent=idempotent,
        deadline_ms=now_ms + head.deadline_ms,
        key=None if idempotent else head.key,
        prefix=prefix_hashes(document),
        admitted_ms=now_ms,
    )


def _header_size(request: HTTPServerRequest) -> int:
    line = len(request.method or "") + len(request.uri or "")
    return line + sum(len(n) + len(v) + 4 for n, v in request.headers.get_all())


def _check_content_length(request: HTTPServerRequest, body_bytes: int) -> None:
    length = request.headers.get("Content-Length", "0")
    if length.isascii() and length.isdigit() and int(length) > body_bytes:
        raise body_too_large(body_bytes)


def body_too_large(body_bytes: int) -> Exception:
    """Return the error for a body that exceeds the limit of `body_bytes`."""
    return refused(413, "body-too-large", f"the body exceeds {body_bytes} bytes")


def _find_service(
    request: HTTPServerRequest, manifest: Manifest
) -> tuple[Service | None, str]:
    uri = request.uri or "/"
    if not uri.isascii() or not uri.isprintable() or " " in uri:
        raise refused(400, "bad-path", "the path has characters that are not allowed")
    path, separator, query = uri.partition("?")
    if path == CHAT_PATH:
        if request.method != "POST":
            raise refused(405, "bad-method", f"{CHAT_PATH} takes POST")
        return None, uri
    if not path.startswith(SERVICES_PATH):
        raise refused(404, "no-such-path", "the path names no interface of the router")
    name, _, rest = path[len(SERVICES_PATH) :].partition("/")
    service = manifest.services_by_name.get(name)
    if service is None:
        raise refused(404, "no-such-service", "the manifest has no such service")
    return service, f"/{rest}{separator}{query}"


def _parse_deadline(headers: HTTPHeaders, default_ms: int) -> int:
    text = headers.get(HEADER_DEADLINE)
    if text is None:
        return default_ms
    if not text.isascii() or not text.isdigit() or len(text) > 8:
        raise refused(400, "bad-deadline", f"{HEADER_DEADLINE} is a number of ms")
    if not 1 <= int(text) <= _MAX_DEADLINE_MS:
        raise refused(400, "bad-deadline", f"{HEADER_DEADLINE} is out of range")
    return int(text)


def _parse_idempotent(headers: HTTPHeaders) -> bool | None:
    text = headers.get(HEADER_IDEMPOTENT)
    if text is None:
        return None
    if text.lower() not in ("true", "false"):
        message = f"{HEADER_IDEMPOTENT} is true or false"
        raise refused(400, "bad-declaration", message)
    return text.lower() == "true"


def _parse_key(headers: HTTPHeaders) -> str | None:
    key = headers.get(HEADER_IDEMPOTENCY_KEY)
    if key is None:
        return None
    if (
        not 1 <= len(key) <= _MAX_KEY_CHARACTERS
        or not key.isascii()
        or not key.isprintable()
    ):
        message = (
            f"{HEADER_IDEMPOTENCY_KEY} has 1 to {_MAX_KEY_CHARACTERS} ASCII characters"
        )
        raise refused(400, "bad-key", message)
    return key


def _parse_json(body: bytes) -> Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        raise refused(400, "bad-json", "the body is not JSON") from None


def _find_model_service(document: Any, manifest: Manifest) -> Service:
    model = document.get("model") if isinstance(document, dict) else None
    if not isinstance(model, str):
        raise refused(400, "no-model", "the body has no field 'model'")
    service = manifest.services_by_name.get(model)
    if service is None or service.kind != "model":
        raise refused(404, "no-such-model", "the manifest has no such model service")
    return service


def _end_to_end_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers to forward to the endpoint.

    Omits hop-by-hop headers, the token of the caller and the headers of the fleet
    itself.
    """
    connection_options = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    dropped = HOP_BY_HOP | connection_options | {"authorization"}
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        lowered = name.lower()
        if lowered not in dropped and not lowered.startswith("bulrushbend-"):
            kept.add(name, value)
    return kept
