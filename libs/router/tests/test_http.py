import asyncio
import contextlib
import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from .builders import FakeAgent, make_manifest
from .conftest import Fleet

CHAT = "/v1/chat/completions"


@pytest.mark.parametrize(
    ("path", "body", "headers", "status"),
    [
        ("/services/flor-llm/x", b"", {"Authorization": "Bearer wrong"}, 401),
        ("/services/flor-llm/x", b"", {"Authorization": "Basic abc"}, 401),
        ("/services/none/x", b"", {}, 404),
        ("/elsewhere", b"", {}, 404),
        (CHAT, b"{", {}, 400),
        (CHAT, b"[" * 100_000, {}, 400),
        (CHAT, b"{}", {}, 400),
        (CHAT, b'{"model": 3}', {}, 400),
        (CHAT, b'{"model": "rota-app"}', {}, 404),
        ("/services/flor-llm/x", b"x" * 2000, {}, 413),
        ("/services/flor-llm/x", b"", {"X-Large": "x" * 17_000}, 431),
        ("/services/flor-llm/x", b"", {"Bulrushbend-Deadline-Ms": "-1"}, 400),
        ("/services/flor-llm/x", b"", {"Bulrushbend-Deadline-Ms": "0"}, 400),
        ("/services/flor-llm/x", b"", {"Bulrushbend-Idempotent": "yes"}, 400),
        ("/services/flor-llm/x", b"", {"Idempotency-Key": "k" * 256}, 400),
    ],
)
async def test_bad_request_is_refused(fleet, path, body, headers, status):
    limit = 200_000 if path == CHAT else 1000
    await fleet.start(manifest=make_manifest(body_bytes=limit))
    answer = await fleet.send_request(path, body, **headers)
    assert (answer.status, answer.outcome) == (status, "refused")
    error = json.loads(answer.body)["error"]
    assert error["request_id"] == answer.headers["Bulrushbend-Request"]
    assert fleet.router.waiting == 0


async def send_and_close(fleet, data):
    host, port = fleet.settings.http_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.suppress(ConnectionError):
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        return answer
    return b""


async def test_chunked_body_over_the_limit_is_refused(fleet):
    # Guards against a body limit that applies only with Content-Length.
    await fleet.start(manifest=make_manifest(body_bytes=1000))
    head = (
        b"POST /services/flor-llm/x HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer token-crew-a\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    answer = await send_and_close(
        fleet, head + b"7d0\r\n" + b"x" * 2000 + b"\r\n0\r\n\r\n"
    )
    assert answer.startswith(b"HTTP/1.1 413")
    await fleet.wait_for_waiting(0)


async def test_fleet_and_hop_by_hop_headers_are_not_forwarded(fleet, agent):
    # Guards against tokens that leak to endpoints, and against forged fleet headers.
    await fleet.start(agent)
    headers = {"Bulrushbend-Team": "crew-b", "Connection": "x-hop", "X-Hop": "1"}
    await fleet.send_request(X_Kept="1", **headers)
    [(_, sent, _)] = agent.requests
    assert sent["X-Kept"] == "1"
    assert sent["Bulrushbend-Team"] == "crew-a"
    assert sent["Bulrushbend-Path"] == "/x"
    assert "Authorization" not in sent


async def test_answer_headers_and_status_are_forwarded(fleet, agent):
    async def teapot(exchange):
        await exchange.head(418, "text/plain", X_Brew="tea", ETag='"1"')
        await exchange.chunk("short")
        await exchange.end()

    agent.answers["POST"] = teapot
    await fleet.start(agent)
    answer = await fleet.send_request()
    assert (answer.status, answer.body) == (418, b"short")
    assert answer.headers["X-Brew"] == "tea"
    assert answer.headers.get_list("Content-Type") == ["text/plain"]


@pytest.mark.parametrize(("status", "method"), [(204, "POST"), (200, "HEAD")])
async def test_answer_without_a_body(fleet, agent, status, method):
    async def empty(exchange):
        await exchange.head(status)
        await exchange.end()

    agent.answers["POST"] = empty
    await fleet.start(agent)
    request = f"{method} /services/flor-llm/x HTTP/1.1\r\nHost: x\r\n"
    request += "Authorization: Bearer token-crew-a\r\nConnection: close\r\n\r\n"
    answer = await send_and_read(fleet, request.encode())
    assert answer.startswith(f"HTTP/1.1 {status} ".encode())
    assert answer.endswith(b"\r\n\r\n")


async def send_and_read(fleet, data):
    host, port = fleet.settings.http_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    return answer


TEXT = st.text(st.characters(codec="latin-1", exclude_characters="\r\n"), max_size=40)
PATHS = st.one_of(
    st.just(CHAT),
    TEXT.map(lambda t: f"/services/flor-llm/{t}"),
    TEXT.map(lambda t: f"/{t}"),
)
NAMES = st.sampled_from(
    (
        "Authorization",
        "Idempotency-Key",
        "Bulrushbend-Deadline-Ms",
        "Bulrushbend-Idempotent",
        "Content-Type",
        "Expect",
        "Accept",
        "Cookie",
    )
)
METHODS = st.sampled_from(["POST", "GET", "PUT", "PATCH", "BREW", "OPTIONS", "post"])
DOCUMENTS = st.recursive(
    st.none() | st.integers() | TEXT,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["model", "messages", "prompt"]), inner)
    ),
    max_leaves=5,
)
BODIES = st.binary(max_size=200) | DOCUMENTS.map(lambda d: json.dumps(d).encode())


@given(
    requests=st.lists(
        st.tuples(
            METHODS,
            PATHS,
            st.lists(st.tuples(NAMES, TEXT), max_size=3),
            BODIES,
            st.booleans(),
        ),
        min_size=1,
        max_size=20,
    )
)
@settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
def test_no_caller_input_causes_an_internal_error(requests):
    # Guards against invalid input that causes status 500 or leaks a reservation.
    asyncio.run(send_all(requests))


async def send_all(requests):
    async with contextlib.AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.start(FakeAgent(), manifest=make_manifest(default_deadline_ms=3000))
        for method, path, headers, body, known in requests:
            lines = [f"{method} {path} HTTP/1.1", "Host: x"]
            if known:
                lines.append("Authorization: Bearer token-crew-a")
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            answer = await send_and_read(
                fleet, "\r\n".join(lines).encode("latin-1") + body
            )
            assert not answer.startswith(b"HTTP/1.1 500"), (lines, body, answer)
        await fleet.wait_for_waiting(0)
