import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import tomli_w

from .builders import FakeControl, make_manifest, make_settings

ROOT = Path(__file__).parents[3]


async def test_waiting_requests_are_served_until_the_drain_ends(fleet, agent):
    # Guards against a shutdown that drops accepted requests.
    agent.auto_claim = False
    await fleet.start(agent)
    first, second = fleet.start_request(), fleet.start_request()
    await fleet.wait_for_waiting(2)
    draining = asyncio.create_task(fleet.router.drain(lambda: None))
    await asyncio.sleep(0)
    assert not fleet.router.is_ready
    refused = await fleet.send_request()
    assert (refused.status, refused.outcome) == (503, "not-run")
    agent.claim("crew-a")
    answers = await asyncio.gather(first, second)
    assert sorted(answer.status for answer in answers) == [200, 503]
    assert sorted(answer.outcome for answer in answers) == ["answered", "not-run"]
    await draining


async def test_running_requests_finish_after_the_drain_deadline(fleet, agent):
    # Guards against a shutdown that interrupts a request in progress.
    ended = asyncio.Event()

    async def slow(exchange):
        await exchange.head()
        await exchange.chunk("a")
        await asyncio.sleep(0.8)
        await exchange.chunk("b")
        await exchange.end()
        ended.set()

    agent.answers["POST"] = slow
    await fleet.start(agent, drain_ms=100)
    call = fleet.start_request()
    await fleet.wait_until(lambda: agent.count("POST"))
    await fleet.router.drain(lambda: None)
    assert ended.is_set()
    assert (await call).body == b"ab"


async def test_request_without_a_manifest_is_not_run(fleet):
    # Guards against a restarted router that serves requests without a manifest.
    fleet.control = FakeControl(None)
    await fleet.control.start()
    fleet.stack.callback(fleet.control.server.close)
    await fleet.start_router()
    answer = await fleet.send_request()
    assert (answer.status, answer.outcome) == (503, "not-run")
    assert answer.headers["Retry-After"] == "1"


async def test_process_exits_cleanly_on_sigterm(fleet, tmp_path):
    await fleet.start(manifest=make_manifest())
    settings = make_settings(fleet.control.address, name="router-2")
    path = tmp_path / "router.toml"
    path.write_text(tomli_w.dumps(settings.model_dump(mode="json", exclude_none=True)))
    code = (
        "import asyncio, sys; from bulrushbend.core.settings import *;"
        "from bulrushbend.router.daemon import run_router;"
        "asyncio.run(run_router(load_settings(sys.argv[1], RouterSettings)))"
    )
    sources = os.pathsep.join(str(p) for p in sorted(ROOT.glob("libs/*/src")))
    process = subprocess.Popen(
        [sys.executable, "-c", code, str(path)],
        env={**os.environ, "PYTHONPATH": sources},
        stderr=subprocess.PIPE,
    )
    try:
        host, port = settings.http_address.split(":")
        await fleet.wait_until(lambda: is_ready(host, int(port)), seconds=20)
        process.send_signal(signal.SIGTERM)
        _, errors = await asyncio.to_thread(process.communicate, timeout=10)
        assert process.returncode == 0, errors.decode()
    finally:
        process.kill()


def is_ready(host, port):

    try:
        with socket.create_connection((host, port), 0.5) as connection:
            connection.sendall(b"GET /readyz HTTP/1.0\r\n\r\n")
            return connection.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
