"""Stand-ins for the platform on loopback: its instance list and its engines."""

import asyncio
import contextlib
import json

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler


class Engine:
    """One engine that answers with an event stream or a body and sets its own seal.

    Attributes
    ----------
    runs : list of tuple
        Request id, tenant and path of each run.
    silent_s : float
        Time from the start of a run until the first byte of the response.
    """

    def __init__(self, name, service, host, port, slots=8):
        self.name = name
        self.service = service
        self.address = f"{host}:{port}"
        self.listed_address = self.address
        self.slots = slots
        self.state = "ready"
        self.runs = []
        self.refuses = False
        self.events = 5
        self.pause_s = 0.01
        self.silent_s = 0.0
        application = Application([(r"/.*", _EngineHandler, {"engine": self})])
        self._server = HTTPServer(application)
        self._server.add_sockets(bind_sockets(port, host))

    def list_entry(self):
        return {
            "id": self.name,
            "service": self.service,
            "addr": self.listed_address,
            "zone": "papantla",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
        }

    def stop(self):
        self._server.stop()


class _EngineHandler(RequestHandler):
    def initialize(self, engine):
        self._engine = engine

    async def post(self):
        engine = self._engine
        headers = self.request.headers
        if headers.get("Expect-Instance") != engine.name:
            self.set_status(421)
            return
        if engine.refuses:
            self.set_status(503)
            self.set_header("Not-Executed", "1")
            return
        run = (headers["Attempt-Id"], headers.get("Tenant"), self.request.uri)
        engine.runs.append(run)
        await asyncio.sleep(engine.silent_s)
        self.set_header("Attempt-Id", headers["Attempt-Id"])
        self.set_header("Instance-Seal", f"{engine.name}.seal")
        if "Authorization" in headers:
            self.set_header("Leaked-Key", "1")
        if "Model" not in headers:
            self.write(self.request.body + b" at " + engine.name.encode())
            return
        self.set_header("Content-Type", "text/event-stream")
        first = int(headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, engine.events + 1):
            self.write(f"id: {number}\ndata: t\n\n")
            with contextlib.suppress(Exception):
                await self.flush()
            await asyncio.sleep(engine.pause_s)

    get = post


class Cloud:
    """Server of the platform's instance list."""

    def __init__(self, host, port, engines):
        self.address = f"{host}:{port}"
        self.engines = engines
        self._server = HTTPServer(
            Application([(r"/instances", _ListHandler, {"cloud": self})])
        )
        self._server.add_sockets(bind_sockets(port, host))

    def stop(self):
        self._server.stop()


class _ListHandler(RequestHandler):
    def initialize(self, cloud):
        self._cloud = cloud

    def get(self):
        entries = [engine.list_entry() for engine in self._cloud.engines]
        self.write(json.dumps({"instances": entries, "next": None}))
