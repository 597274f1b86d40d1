"""Builders of settings, members and requests for the tests of control."""

from bulrushbend.bench.addresses import free_address
from bulrushbend.core.manifest import parse_manifest
from bulrushbend.core.settings import ControlSettings, RouterSettings
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_pb2 import KeyRequest, Member, PublishRequest


def control_settings(folder, names=("c1",), **changes):
    control = [{"name": name, "address": free_address()} for name in names]
    return [
        ControlSettings(
            name=peer["name"],
            vm=peer["name"],
            data_centre="papantla",
            http_address=free_address(),
            control=control,
            link_address=peer["address"],
            data_folder=str(folder / peer["name"]),
            **changes,
        )
        for peer in control
    ]


def router_settings(control, name="r1", heartbeat_ms=50):
    return RouterSettings(
        name=name,
        vm=name,
        data_centre="papantla",
        http_address="127.0.0.1:1",
        control=control,
        heartbeat_ms=heartbeat_ms,
    )


def router_member(name="r1", incarnation=1):
    return Member(name=name, role="router", incarnation=incarnation)


def publish_request(version, team="crew-a"):
    text = f'version = {version}\n[[teams]]\nname = "{team}"\n'
    manifest = parse_manifest(text + f'token_sha256 = "{"0" * 64}"')
    return PublishRequest(manifest=pack_manifest(manifest))


def key_request(key="k1", request_id="req-1", owner="r1", incarnation=1, **fields):
    return KeyRequest(
        team="crew-a",
        service="rota-app",
        key=key,
        body_digest=fields.pop("body_digest", "digest-1"),
        owner=owner,
        owner_incarnation=incarnation,
        request_id=request_id,
        **fields,
    )
