import pytest
from platform_builders import make_invalid_sizes
from tornado.httputil import HTTPHeaders

from bulrushbend.core.manifest import Route, Split
from bulrushbend.gateway.call import Call, RequestError, not_run_error
from bulrushbend.gateway.endpoints import DiscoveredEndpoint
from bulrushbend.platform.headers import PlatformHeaderCodec
from bulrushbend.wire.fleet_pb2 import PlaceRequest

HEADER_CODEC = PlatformHeaderCodec()
ENDPOINT = DiscoveredEndpoint("i-1", "llm", "10.0.0.1:80", "papantla", 64)
REQUEST = HTTPHeaders(
    {
        "Host": "a.example",
        "Attempt-Id": "9c41",
        "Model": "m",
        "Token-Usage": "1460,80",
        "Prefix-Hash": "5c:800,91:410,e4:250",
        "Deadline-Ms": "15000",
        "Authorization": "Token k1",
        "X-Other": "kept",
    }
)


def make_call(**headers):
    given = REQUEST.copy()
    given.update(headers)
    route = Route(
        name="r",
        host="a.example",
        path_prefix="/",
        split=(Split(service="llm"),),
        time_limit_ms=1000,
    )
    details = HEADER_CODEC.read_details(given)
    return Call(details, "POST", "/x", given, b"", route, "llm", "crew-a", 0.0, 1.0)


def test_request_headers_are_decoded():
    # Guards against wrong or missing values of decoded request headers.
    details = HEADER_CODEC.read_details(REQUEST)
    assert (details.request_id, details.token) == ("9c41", "k1")
    assert (details.prompt_tokens, details.output_tokens) == (1460, 80)
    assert [part.tokens for part in details.shared_parts] == [800, 410]
    assert details.deadline_ms == 15000


@pytest.mark.parametrize("name", ["Token-Usage", "Prefix-Hash", "Deadline-Ms"])
def test_invalid_header_is_refused(name):
    # Guards against an invalid header that is ignored or not answered with 400.
    with pytest.raises(RequestError) as ended:
        HEADER_CODEC.read_details(HTTPHeaders({name: "5c:x,y"}))
    assert ended.value.status == 400


@pytest.mark.parametrize("headers", make_invalid_sizes(), ids=str)
def test_invalid_size_is_refused(headers):
    # Guards against a size that load reports and placement messages cannot hold.
    with pytest.raises(RequestError) as ended:
        make_call(**headers)
    assert ended.value.status == 400


@pytest.mark.parametrize("digits", [1, 8, 40_000])
def test_long_prefix_fits_in_a_placement_request(digits):
    # Guards against coordinators that seem silent, since a request never reaches them.
    prefix = ",".join(f"{number:0{digits}x}:1" for number in range(100_000 // digits))
    parts = make_call(**{"Prefix-Hash": prefix}).details.shared_parts
    request = PlaceRequest(
        digests=[part.digest for part in parts],
        part_tokens=[part.tokens for part in parts],
    )
    assert request.ByteSize() <= 60_000
    assert len(parts) >= 2_000 or digits == 40_000
    assert all(len(part.digest) >= digits for part in parts)


def test_credentials_and_forged_headers_are_not_forwarded():
    # Guards against leaked keys, and gateway headers that callers could forge.
    call = make_call(
        Tenant="forged",
        **{
            "Kv-Hold": "x",
            "Pin-Ms": "1",
            "Kv-Backup": "x",
            "Kv-From": "x",
            "Kv-Fetch": "x",
            "Expect-Instance": "forged",
            "Last-Event-Id": "4",
            "Connection": "X-Hop",
            "X-Hop": "1",
        },
    )
    headers = HEADER_CODEC.endpoint_headers(call, ENDPOINT, 900.7)
    assert headers["Tenant"] == "crew-a"
    assert headers["Expect-Instance"] == "i-1"
    assert headers["Deadline-Ms"] == "900"
    assert headers["X-Other"] == "kept"
    assert headers["Prefix-Hash"] == REQUEST["Prefix-Hash"]
    for name in ("Authorization", "Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-From"):
        assert name not in headers
    for name in ("Kv-Fetch", "Last-Event-Id", "X-Hop", "Connection"):
        assert name not in headers


def test_fetch_address_is_sent_to_the_endpoint():
    # Guards against an endpoint that cannot fetch a cached prompt from its peer.
    headers = HEADER_CODEC.endpoint_headers(make_call(), ENDPOINT, 900, "10.0.0.2:80")
    assert headers["Kv-Fetch"] == "10.0.0.2:80"


@pytest.mark.parametrize(
    ("status", "headers", "proved"),
    [
        (503, {"Not-Executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {}, False),
    ],
)
def test_only_explicit_refusals_prove_that_nothing_ran(status, headers, proved):
    # Guards against retries of requests that may have run.
    assert HEADER_CODEC.proves_not_run(status, HTTPHeaders(headers)) is proved


@pytest.mark.parametrize(
    ("values", "states_leaving"),
    [
        ([], False),
        (["1"], True),
        ([" 1 "], True),
        (["0", "1"], True),
        ([""], False),
        (["0"], False),
        (["yes"], False),
        (["true"], False),
        (["11"], False),
        (["1, 0"], False),
    ],
)
def test_only_the_defined_value_states_that_an_endpoint_leaves(values, states_leaving):
    # Guards against a sound endpoint that is left out for a value without a meaning.
    response = HTTPHeaders()
    for value in values:
        response.parse_line(f"Server-Leaving: {value}")
    assert HEADER_CODEC.states_leaving(response) is states_leaving


@pytest.mark.parametrize(
    ("values", "pause_ms"),
    [
        ([], None),
        (["2"], 2_000.0),
        ([" 0.25 "], 250.0),
        ([".5"], 500.0),
        (["0"], 0.0),
        (["1000000000"], 1e12),
        (["1", "3", "2"], 3_000.0),
    ],
)
def test_pause_is_read_in_seconds(values, pause_ms):
    # Guards against a pause in the wrong unit, or the shorter one of two.
    response = HTTPHeaders()
    for value in values:
        response.parse_line(f"Retry-After: {value}")
    assert HEADER_CODEC.read_pause_ms(response) == pause_ms


@pytest.mark.parametrize(
    "value",
    [
        "",
        "-1",
        "+1",
        "1e3",
        "1_0",
        "0x10",
        "1, 2",
        "1 2",
        "1.",
        "nan",
        "inf",
        "soon",
        "Fri, 04 Dec 2026 23:59:59 GMT",
        "9" * 400,
        "9" * 307,
        "\u0662",
    ],
)
def test_odd_pause_is_reported_as_unreadable(value):
    # Guards against another error than the one that the gateway expects, or a pause.
    with pytest.raises(ValueError, match="Retry-After"):
        HEADER_CODEC.read_pause_ms(HTTPHeaders({"Retry-After": value}))


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ([], None),
        (["7"], 7.0),
        (["0"], 0.0),
        (["0.30"], 0.3),
        (["1000000000"], 1e9),
        (["8", "2.5"], 2.5),
    ],
)
def test_limit_of_an_endpoint_is_read(values, rate):
    headers = HTTPHeaders()
    for value in values:
        headers.add("Server-Limit", value)
    assert HEADER_CODEC.read_limit_per_s(headers) == rate


@pytest.mark.parametrize(
    "value", ["-1", "nan", "inf", "", "x", "1e3", "7,y", 400 * "9"]
)
def test_limit_that_is_no_number_is_refused(value):
    with pytest.raises(ValueError, match="Server-Limit"):
        HEADER_CODEC.read_limit_per_s(HTTPHeaders({"Server-Limit": value}))


@pytest.mark.parametrize(
    ("status", "headers", "genuine"),
    [
        (200, {"Instance-Seal": "s", "Attempt-Id": "9c41"}, True),
        (200, {"Instance-Seal": "s"}, True),
        (200, {"Attempt-Id": "9c41"}, False),
        (200, {"Instance-Seal": "s", "Attempt-Id": "other"}, False),
        (500, {}, True),
        (400, {"Not-Executed": "1"}, True),
        (421, {"Attempt-Id": "other"}, False),
        (503, {"Not-Executed": "1", "Attempt-Id": "other"}, False),
    ],
)
def test_success_requires_a_seal_and_the_request_id(status, headers, genuine):
    # Guards against answers of another server or to another request.
    assert HEADER_CODEC.is_genuine(make_call(), status, HTTPHeaders(headers)) is genuine


def test_refusal_has_a_retry_after_header():
    # Guards against a missing delay, or one in the wrong unit.
    headers = HEADER_CODEC.error_headers("9c41", not_run_error(503, "x", "busy", 250.0))
    assert headers["Retry-After"] == "0.250"
