"""Builders of settings, members and requests for the tests of control."""

import errno
import threading

from tornado.web import RequestHandler

from bulrushbend.bench.addresses import free_address
from bulrushbend.core.errors import NoQuorumError
from bulrushbend.core.manifest import parse_manifest
from bulrushbend.core.settings import ControlSettings, RouterSettings
from bulrushbend.store.files import LocalFileSystem
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


def spare_settings(template, name, folder):
    """Return settings of a replica outside of the initial configuration."""
    return template.model_copy(
        update={
            "name": name,
            "http_address": free_address(),
            "link_address": free_address(),
            "data_folder": str(folder / name),
        }
    )


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


def manifest_of_version(version, team="crew-a"):
    text = f'version = {version}\n[[teams]]\nname = "{team}"\n'
    return parse_manifest(text + f'token_sha256 = "{"0" * 64}"')


def publish_request(version, team="crew-a"):
    return PublishRequest(manifest=pack_manifest(manifest_of_version(version, team)))


class Disk(LocalFileSystem):
    """File system that refuses all writes while it is full, and can hold them up."""

    def __init__(self):
        self.is_full = False
        self.answers = threading.Event()
        self.answers.set()

    def create(self, path):
        self._require_room()
        return super().create(path)

    def write(self, file, data):
        self._require_room()
        super().write(file, data)

    def _require_room(self):
        self.answers.wait(5.0)
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")


class _PublishHandler(RequestHandler):
    def initialize(self, publisher):
        self._publisher = publisher

    async def post(self):
        try:
            manifest = manifest_of_version(int(self.request.body))
            self.write(str(await self._publisher.publish(manifest)))
        except NoQuorumError:
            self.set_status(503)


def operator_routes(publisher):
    return [("/publish", _PublishHandler, {"publisher": publisher})]


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
