"""Stand-in for the platform's list of live and leaving VMs."""

import hashlib
import json
from collections import deque

from pydantic import ValidationError
from tornado.web import RequestHandler

from bulrushbend.core.clock import Clock
from bulrushbend.core.validation import explain_validation
from bulrushbend.standins.server import StandInServer, read_json_object
from bulrushbend.standins.settings import ListedVm, PlatformSettings


class Platform:
    """List of VMs that shows changes after a delay.

    Parameters
    ----------
    settings : PlatformSettings
        Initial list and delay of changes.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, settings: PlatformSettings, clock: Clock | None = None):
        self._settings = settings
        self._clock = clock or Clock()
        self._vms = {listed.vm: listed for listed in settings.vms}
        self._pending_updates: deque[tuple[float, ListedVm]] = deque()
        self._server = StandInServer(settings.name, settings.http_address)

    @property
    def server(self) -> StandInServer:
        """Server with its address."""
        return self._server

    def start(self) -> None:
        """Listen and serve; raises SettingsError if the address is taken."""
        handler_arguments = {"platform": self}
        self._server.start(
            [
                (r"/vms", VmListHandler, handler_arguments),
                (r"/vms/([^/]+)", VmHandler, handler_arguments),
            ]
        )

    def change(self, listed: ListedVm) -> None:
        """Change or add a VM; the list shows it `lag_ms` later."""
        visible_at_ms = self._clock.now_ms() + self._settings.lag_ms
        self._pending_updates.append((visible_at_ms, listed))

    def encode_list(self) -> bytes:
        """Return the list as JSON."""
        now_ms = self._clock.now_ms()
        while self._pending_updates and self._pending_updates[0][0] <= now_ms:
            _, listed = self._pending_updates.popleft()
            self._vms[listed.vm] = listed
        vms = [listed.model_dump() for listed in self._vms.values()]
        return json.dumps({"vms": vms}).encode()


class VmListHandler(RequestHandler):
    """``/vms``: list of all VMs."""

    def initialize(self, platform: Platform) -> None:
        """Store the platform that serves the request."""
        self._platform = platform

    def get(self) -> None:
        """Answer with the list, or 304 if the caller's ETag is current."""
        body = self._platform.encode_list()
        etag = f'"{hashlib.sha256(body).hexdigest()[:32]}"'
        self.set_header("ETag", etag)
        self.set_header("Content-Type", "application/json")
        if self.check_etag_header():
            self.set_status(304)
            return
        self.write(body)


class VmHandler(RequestHandler):
    """``/vms/{vm}``: changes one VM."""

    def initialize(self, platform: Platform) -> None:
        """Store the platform that serves the request."""
        self._platform = platform

    def put(self, vm: str) -> None:
        """Set state and data centre from a JSON body."""
        try:
            document = read_json_object(self.request.body)
            listed = ListedVm.model_validate({**document, "vm": vm})
        except ValidationError as error:
            self._reject(explain_validation(error))
            return
        except ValueError as error:
            self._reject(str(error))
            return
        self._platform.change(listed)
        self.write(listed.model_dump())

    def _reject(self, message: str) -> None:
        self.set_status(400)
        self.write({"error": message})


async def run_platform(settings: PlatformSettings) -> None:
    """Serve the stand-in platform list until SIGTERM or SIGINT."""
    platform = Platform(settings)
    platform.start()
    try:
        await platform.server.run()
    finally:
        platform.server.stop()
