import asyncio
import contextlib

import pytest
from tornado.httpserver import HTTPServer

from bulrushbend.core.clock import Clock
from bulrushbend.process.daemon import listen_http
from bulrushbend.router.daemon import Router
from bulrushbend.router.http import caller_application
from bulrushbend.wire.exchange import Exchange, ExchangeRequest, ExchangeTimeouts

from .builders import (
    FakeAgent,
    FakeControl,
    make_events,
    make_identity,
    make_manifest,
    make_settings,
)

TIMEOUTS = ExchangeTimeouts(1000, 8000, 8000)


class Answer:
    def __init__(self, exchange, body):
        self.status = exchange.status
        self.headers = exchange.headers
        self.body = body
        self.outcome = exchange.headers.get("Bulrushbend-Outcome")


class Fleet:
    """One router between a fake control and fake agents."""

    def __init__(self, stack):
        self.stack = stack
        self.control = None
        self.router = None
        self.events = make_events()

    async def start(self, *agents, manifest=None, **settings):
        self.control = FakeControl(manifest or make_manifest())
        await self.control.start()
        self.stack.callback(self.control.server.close)
        await self.start_router(**settings)
        for agent in agents:
            await self.add_agent(agent)

    async def start_router(self, **settings):
        self.settings = make_settings(self.control.address, **settings)
        self.router = Router(self.settings, make_identity(), Clock(), self.events)
        server = HTTPServer(caller_application(self.router, []))
        listen_http(server, self.settings.http_address)
        self.stack.callback(server.stop)
        task = asyncio.create_task(self.router.run())
        self.stack.push_async_callback(self.end, task)
        await self.wait_until(lambda: self.router.is_ready or not self.control.manifest)

    async def add_agent(self, agent):
        await agent.start()
        self.stack.push_async_callback(agent.stop)
        self.control.add_agent(agent)
        await self.wait_until(lambda: agent.links and agent.batches)
        await asyncio.sleep(0.1)

    @staticmethod
    async def end(task):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    @staticmethod
    async def wait_until(condition, seconds=5):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.005)

    async def open(
        self, path="/services/flor-llm/x", body=b"hi", method="POST", **extra_headers
    ):
        request = ExchangeRequest(method, path, body=body)
        request.headers["Authorization"] = "Bearer token-crew-a"
        for name, value in extra_headers.items():
            request.headers[name.replace("_", "-")] = value
        return await Exchange.open(self.settings.http_address, request, TIMEOUTS)

    async def send_request(self, *args, **kwargs):
        exchange = await self.open(*args, **kwargs)
        try:
            return Answer(exchange, await exchange.body())
        finally:
            exchange.close()

    def start_request(self, *args, **kwargs):
        return asyncio.create_task(self.send_request(*args, **kwargs))

    async def wait_for_waiting(self, number=1):
        await self.wait_until(lambda: self.router.waiting == number)

    def kinds(self):
        return [record["kind"] for record in self.events.records]


@pytest.fixture
async def fleet():
    async with contextlib.AsyncExitStack() as stack:
        yield Fleet(stack)


@pytest.fixture
def agent():
    return FakeAgent()


@pytest.fixture
def app_agent():
    return FakeAgent("rota-1", "rota-app")
