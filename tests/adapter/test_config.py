import random
import sys

import pytest
from platform_builders import encode, make_config, make_route

from bulrushbend.core.errors import ManifestError
from bulrushbend.core.manifest import RouteKind, hash_token, parse_manifest
from bulrushbend.gateway.routes import choose_service
from bulrushbend.platform.config import decode_config, encode_config


def test_configuration_is_decoded_into_a_manifest():
    # Guards against fields that are decoded into the wrong field or unit.
    manifest = decode_config(encode(make_config()))
    route = manifest.routes[0]
    assert manifest.version == 7
    assert route.kind is RouteKind.STREAM
    assert (route.time_limit_ms, route.objective_ms) == (15000, 1000)
    assert (route.most_endpoints, route.resumable, route.public) == (2, True, False)
    assert manifest.services_by_name["llm"].kind == "model"
    assert manifest.services_by_name["app"].kind == "application"
    assert manifest.teams_by_token[hash_token("k2")].name == "crew-a"
    assert manifest.limits.tokens_per_s == 105000


def test_configuration_is_encoded_as_it_was_sent():
    # Guards against the loss of fields that are unknown to this version.
    content = encode(make_config(a_field_of_tomorrow=[1, {"x": None}]))
    manifest = parse_manifest(decode_config(content).canonical())
    assert encode_config(manifest) == content


@pytest.mark.parametrize("kind", ["non_idempotent", "a-new-type"])
def test_request_of_another_type_is_not_retried(kind):
    # Guards against retries of requests that may not be idempotent.
    manifest = decode_config(encode(make_config(routes=[make_route(type=kind)])))
    assert not manifest.routes[0].allows_retry


def split(*weights):
    return [{"service": "llm", "weight": weight} for weight in weights]


INVALID = {
    "truncated": encode(make_config())[:-9],
    "not an object": b"[]",
    "not text": b"\xff\xfe",
    "no version": encode({"routes": [], "services": []}),
    "no routes": encode({"version": 1, "services": []}),
    "unknown service": encode(make_config(routes=[make_route(service="nowhere")])),
    "unknown service beside a split": encode(
        make_config(
            routes=[
                make_route(service="nowhere", split=[{"service": "llm", "weight": 1}])
            ]
        )
    ),
    "no service": encode(make_config(routes=[make_route(service=None)])),
    "same host and path": encode(
        make_config(
            routes=[
                make_route("a", path_prefix="/p/"),
                make_route("b", path_prefix="/p/"),
            ]
        )
    ),
    "no weight": encode(make_config(routes=[make_route(split=split(0, 0))])),
    "no timeout": encode(make_config(routes=[make_route(timeout_ms=0)])),
    "shared key": encode(
        make_config(
            tenants=[{"name": n, "api_keys": ["same"]} for n in ("crew-a", "crew-b")]
        )
    ),
}


@pytest.mark.parametrize("content", INVALID.values(), ids=INVALID.keys())
def test_invalid_configuration_is_refused(content):
    # Guards against an invalid configuration that is accepted, or raises another error.
    with pytest.raises(ManifestError):
        decode_config(content)


@pytest.mark.parametrize("key", ["routes", "version", "services"])
@pytest.mark.parametrize(("start", "end"), [(b"[", b"]"), (b'{"x":', b"}")])
def test_nested_configuration_is_refused(key, start, end):
    # Guards against an answer of 500, after which the operator sends it elsewhere.
    content = encode(make_config(**{key: "nested"}))
    for depth in range(sys.getrecursionlimit() - 200, sys.getrecursionlimit() + 1):
        nested = start * depth + b"1" + end * depth
        for decode in (decode_config, parse_manifest):
            with pytest.raises(ManifestError):
                decode(content.replace(b'"nested"', nested))


def test_numbers_too_large_for_a_float_are_limited():
    # Guards against requests that fail because of a number in the configuration.
    large, service = 10**400, {"backend": {"slots": 64, "kv_capacity": 10**400}}
    route = make_route(
        timeout_ms=large,
        slo_ms=large,
        split=[*split(3 * large, large, 1, 0), {"service": "app", "weight": large}],
    )
    config = make_config(
        routes=[route], services=[{"name": "llm"} | service, {"name": "app"}]
    )
    manifest = decode_config(encode(config))
    weights = [float(part.weight) for part in manifest.routes[0].split]
    assert weights[0] / weights[1] == pytest.approx(3.0)
    assert weights[2:4] == [1.0, 0.0]
    assert choose_service(manifest.routes[0], random.Random(1)) in ("llm", "app")
    assert float(manifest.routes[0].time_limit_ms) >= 1e15
    assert float(manifest.routes[0].objective_ms) >= 1e15
    assert float(manifest.services_by_name["llm"].memory_tokens) >= 1e15
    assert encode_config(manifest) == encode(config)


@pytest.mark.parametrize("weights", [(1, 2), (0, 5), (2**53 - 1, 0)])
def test_other_weights_are_unchanged(weights):
    # Guards against a share of the requests that differs from the configuration.
    config = make_config(routes=[make_route(split=split(*weights))])
    route = decode_config(encode(config)).routes[0]
    assert tuple(part.weight for part in route.split) == weights


def test_team_without_keys_has_no_token():
    # Guards against a team without keys that can still authenticate.
    content = encode(make_config(tenants=[{"name": "crew-a", "api_keys": []}]))
    assert decode_config(content).teams_by_token == {}
