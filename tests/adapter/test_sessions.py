"""Sessions of the real programs behind the adapter, against stand-ins."""

import asyncio
import contextlib
import json
import signal
from pathlib import Path

import pytest
from machines import PORTS, Machines, is_loopback_range_usable
from platform_builders import (
    encode,
    make_config,
    make_invalid_sizes,
    make_route,
    make_unreadable_entries,
)

from bulrushbend.core.errors import BulrushbendError

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

ROUTES = [
    make_route("gen", service="llm", type="streaming"),
    make_route(
        "book", service="app", type="non_idempotent", resumable=False, slo_ms=3000
    ),
]
BASE_HEADERS = {"Authorization": "Token k1", "Host": "a.example", "Deadline-Ms": "5000"}


def config(version, **fields):
    return encode(make_config(version, **({"routes": ROUTES} | fields)))


@contextlib.asynccontextmanager
async def deployment(folder, **options):
    machines = Machines(folder, **options)
    try:
        await machines.start_all()

        async def published():
            return await machines.publish(machines.hosts[0], config(3)) == 200

        await machines.wait_until(published, "the first configuration is accepted")
        for host in machines.hosts:
            await machines.wait_until(
                lambda host=host: machines.is_ready(host), f"{host} is ready"
            )
        yield machines
    finally:
        await machines.stop()


async def send_booking(machines, host, request_id, **headers):
    given = BASE_HEADERS | {"Attempt-Id": request_id} | headers
    return await machines.call(host, "front", "POST", "/book/x", given, b"row 7")


async def send_generation(machines, host, request_id, deadline="5000", **headers):
    given = BASE_HEADERS | {
        "Attempt-Id": request_id,
        "Deadline-Ms": deadline,
        "Model": "m",
        "Token-Usage": "100,10",
        "Prefix-Hash": "5c:50,e4:50",
    }
    given |= headers
    return await machines.call(host, "front", "POST", "/gen/x", given, b"{}")


async def test_valid_requests_are_served_and_invalid_ones_refused(tmp_path):
    # Guards against repeated runs, leaked keys and wrong statuses of refused requests.
    async with deployment(tmp_path) as machines:
        for number, host in enumerate(machines.hosts):
            status, headers, body = await send_booking(machines, host, f"b{number}")
            assert (status, body) == (200, b"row 7 at i-app")
            assert headers["Instance-Seal"] == "i-app.seal"
            assert "Leaked-Key" not in headers
            status, headers, body = await send_generation(machines, host, f"g{number}")
            assert status == 200
            assert body.count(b"data: t") == 5
        runs = [run for engine in machines.engines for run in engine.runs]
        assert sorted(run[0] for run in runs) == ["b0", "b1", "b2", "g0", "g1", "g2"]
        assert {run[1] for run in runs} == {"crew-a"}

        status, _, _ = await send_booking(
            machines, host, "x", Authorization="Token wrong"
        )
        assert status == 401
        status, _, _ = await send_booking(machines, host, "x", Host="other.example")
        assert status == 404
        status, _, _ = await send_booking(machines, host, "x", Large="x" * 17_000)
        assert status == 431
        machines.engines[2].refuses = True
        status, headers, _ = await send_booking(machines, host, "x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert len(machines.engines[2].runs) == 3

        request_lines = [
            json.loads(line)
            for path in tmp_path.glob("*gateway.log")
            for line in path.read_text().splitlines()
            if '"request_id":"b0"' in line
        ]
        assert [line["kind"] for line in request_lines] == ["request-answered"]


async def test_key_is_revoked_at_every_gateway(
    tmp_path,
):
    # Guards against a revoked key that some gateway still accepts, and against invalid
    # or stale configurations that replace a newer one.
    async with deployment(tmp_path) as machines:
        invalid = config(5, tenants=[{"name": n, "api_keys": ["k"]} for n in "ab"])
        assert await machines.publish(machines.hosts[1], invalid) == 400
        content = config(4, tenants=[{"name": "crew-a", "api_keys": ["k2"]}])
        assert await machines.publish(machines.hosts[1], content) == 200
        assert await machines.publish(machines.hosts[2], config(3)) == 200
        await asyncio.sleep(1.0)
        for number, host in enumerate(machines.hosts):
            status, _, _ = await send_booking(machines, host, f"b{number}")
            assert status == 401
            status, _, body = await machines.call(
                host, "control", "GET", "/bulrushbend/Config.Read"
            )
            assert (status, body) == (200, content)


async def test_gateway_without_control_does_not_deny_that_a_route_exists(tmp_path):
    """Guards against a 404 for a route that was added out of reach."""
    async with deployment(tmp_path) as machines:
        for host in machines.hosts:
            machines.send(signal.SIGSTOP, host, "control")
        await asyncio.sleep(4.0)
        status, headers, _ = await machines.call(
            machines.hosts[0], "front", "GET", "/added/", {"Host": "new.example"}
        )
        assert (status, "Retry-After" in headers) == (503, True)


async def test_gateway_without_control_stops_serving(tmp_path):
    # Guards against an isolated gateway that accepts revoked keys indefinitely.
    async with deployment(tmp_path) as machines:
        for host in machines.hosts:
            machines.send(signal.SIGSTOP, host, "control")
        await asyncio.sleep(4.0)
        status, _, _ = await send_booking(machines, machines.hosts[0], "b1")
        assert status == 503
        assert machines.engines[2].runs == []
        for host in machines.hosts:
            machines.send(signal.SIGCONT, host, "control")

        async def served():
            return (await send_booking(machines, machines.hosts[0], "b2"))[0] == 200

        await machines.wait_until(served, "requests are served again")


async def test_acknowledged_configuration_survives_killing_all_processes(tmp_path):
    # Guards against the loss of an acknowledged configuration when all processes die.
    async with deployment(tmp_path) as machines:
        content = config(9)
        assert await machines.publish(machines.hosts[2], content) == 200
        for host in machines.hosts:
            await machines.kill(host, "control")
            await machines.kill(host, "gateway")
        for host in machines.hosts:
            await machines.start(host, "control")
            await machines.start(host, "gateway")

        async def read():
            status, _, body = await machines.call(
                machines.hosts[0], "control", "GET", "/bulrushbend/Config.Read"
            )
            return body if status == 200 else None

        assert await machines.wait_until(read, "the configuration is read") == content


async def test_stopping_gateway_finishes_running_requests(tmp_path):
    # Guards against answers that are interrupted by a planned restart.
    async with deployment(tmp_path) as machines:
        host = machines.hosts[0]
        for engine in machines.engines:
            engine.pause_s = 0.4
        running = asyncio.create_task(send_generation(machines, host, "g1"))
        await asyncio.sleep(0.5)
        machines.send(signal.SIGTERM, host, "gateway")
        await asyncio.sleep(0.2)
        assert not await machines.is_ready(host)
        status, headers, _ = await send_generation(
            machines, host, "g2", deadline="15000"
        )
        assert (status, headers["Retry-After"]) == (503, "0.100")
        assert (await send_booking(machines, host, "b1"))[0] == 200
        status, _, body = await running
        assert (status, body.count(b"data: t")) == (200, 5)
        process = machines.processes[host, "gateway"]
        assert await asyncio.wait_for(process.wait(), 10) == 0


async def test_stopping_gateway_answers_requests_that_have_not_ended(tmp_path):
    # Guards against a request that ends with its gateway, without an answer or a trace.
    async with deployment(tmp_path, grace_s=4) as machines:
        host = machines.hosts[0]
        machines.engines[2].silent_s = 20.0
        running = asyncio.create_task(send_booking(machines, host, "b1"))
        await asyncio.sleep(0.3)
        machines.send(signal.SIGTERM, host, "gateway")
        status, _, body = await running
        assert (status, json.loads(body)["error"]["code"]) == (502, "draining")
        process = machines.processes[host, "gateway"]
        assert await asyncio.wait_for(process.wait(), 10) == 0
        log = next(tmp_path.glob(f"{host}-gateway.log")).read_text()
        assert '"kind":"request-unknown","request_id":"b1"' in log


async def test_request_that_waits_at_a_stop_is_not_sent_late(tmp_path):
    # Guards against a booking that is sent late in the grace and cut off at its end.
    async with deployment(tmp_path, grace_s=4, app_slots=1) as machines:
        host, engine = machines.hosts[0], machines.engines[2]
        engine.silent_s = 1.5
        running = asyncio.create_task(send_booking(machines, host, "b1"))
        await asyncio.sleep(0.3)
        engine.silent_s = 20.0
        waiting = asyncio.create_task(send_booking(machines, host, "b2"))
        await asyncio.sleep(0.2)
        machines.send(signal.SIGTERM, host, "gateway")
        status, headers, _ = await waiting
        assert (status, headers["Retry-After"]) == (503, "0.100")
        assert (await running)[0] == 200
        assert [run[0] for run in engine.runs] == ["b1"]


async def test_request_is_answered_before_the_end_of_a_short_grace(tmp_path):
    # Guards against a notice that outlasts the grace, so that requests are killed.
    async with deployment(tmp_path, grace_s=2) as machines:
        host = machines.hosts[0]
        machines.engines[2].silent_s = 20.0
        running = asyncio.create_task(send_booking(machines, host, "b1"))
        await asyncio.sleep(0.3)
        machines.send(signal.SIGTERM, host, "gateway")
        async with asyncio.timeout(2.0):
            assert (await running)[0] == 502
            assert await machines.processes[host, "gateway"].wait() == 0


async def test_repeated_sigterm_does_not_cut_off_requests(tmp_path):
    # Guards against a second SIGTERM that ends a process with requests in progress.
    async with deployment(tmp_path) as machines:
        host = machines.hosts[0]
        machines.engines[2].silent_s = 1.0
        running = asyncio.create_task(send_booking(machines, host, "b1"))
        await asyncio.sleep(0.3)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            machines.send(number, host, "gateway")
            await asyncio.sleep(0.1)
        assert (await running)[0] == 200
        assert await machines.processes[host, "gateway"].wait() == 0


async def test_interrupted_stop_answers_requests(tmp_path):
    # Guards against requests that an operator's second interrupt ends without a trace.
    async with deployment(tmp_path) as machines:
        host = machines.hosts[0]
        machines.engines[2].silent_s = 20.0
        running = asyncio.create_task(send_booking(machines, host, "b1"))
        await asyncio.sleep(0.3)
        for number in (signal.SIGTERM, signal.SIGINT):
            machines.send(number, host, "gateway")
            await asyncio.sleep(0.1)
        async with asyncio.timeout(1.0):
            assert (await running)[0] == 502
            assert await machines.processes[host, "gateway"].wait() == 0


async def test_request_whose_body_ends_late_in_the_grace_is_refused(tmp_path):
    # Guards against a booking that begins when its gateway is about to stop.
    async with deployment(tmp_path, grace_s=4) as machines:
        host = machines.hosts[0]
        reader, writer = await asyncio.open_connection(host, PORTS["front"])
        head = [f"{name}: {value}" for name, value in BASE_HEADERS.items()]
        head += ["Attempt-Id: b1", "Content-Length: 5"]
        request = "\r\n".join(["POST /book/x HTTP/1.1", *head, "", "row 7"]).encode()
        writer.write(request[:-2])
        await asyncio.sleep(0.3)
        machines.send(signal.SIGTERM, host, "gateway")
        await asyncio.sleep(2.0)
        writer.write(request[-2:])
        response = await reader.read()
        writer.close()
        assert response.startswith(b"HTTP/1.1 503 ")
        assert machines.engines[2].runs == []


async def test_order_in_progress_is_answered_before_control_stops(tmp_path):
    # Guards against an operator's order that ends with its replica, without an answer.
    async with deployment(tmp_path) as machines:
        host, *others = machines.hosts
        for other in others:
            machines.send(signal.SIGSTOP, other, "control")
        order = asyncio.create_task(machines.publish(host, config(9)))
        await asyncio.sleep(0.3)
        machines.send(signal.SIGTERM, host, "control")
        await asyncio.sleep(0.3)
        for other in others:
            machines.send(signal.SIGCONT, other, "control")
        assert await order in (200, 503)
        assert await machines.processes[host, "control"].wait() == 0


async def test_sighup_does_not_end_a_running_process(tmp_path):
    # Guards against the default action of SIGHUP, which ends the process.
    async with deployment(tmp_path) as machines:
        host = machines.hosts[0]
        for role in ("control", "gateway"):
            machines.send(signal.SIGHUP, host, role)
        await asyncio.sleep(0.5)
        assert (await send_booking(machines, host, "b1"))[0] == 200
        assert machines.processes[host, "control"].returncode is None


async def test_sighup_does_not_end_a_starting_process(tmp_path):
    # Guards against a process that SIGHUP ends before it has finished loading. The soak
    # test found it as a gateway that did not recover.
    machines = Machines(tmp_path, size=1)
    host = machines.hosts[0]
    try:
        await machines.start(host, "gateway")
        process = machines.processes[host, "gateway"]
        status = Path(f"/proc/{process.pid}/status")

        async def disposition():
            masks = dict(line.split(":\t") for line in status.read_text().splitlines())
            bit = 1 << (signal.SIGHUP - 1)
            return [name for name in ("SigIgn", "SigCgt") if int(masks[name], 16) & bit]

        found = await machines.wait_until(
            disposition, "SIGHUP does not end the process"
        )
        assert found == ["SigIgn"]
        machines.send(signal.SIGHUP, host, "gateway")

        async def has_started():
            return "process-started" in machines.logs()

        await machines.wait_until(has_started, "the process has started")
    finally:
        await machines.stop()


async def test_invalid_entry_of_the_instance_list_affects_no_engine(tmp_path):
    # Guards against gateways that end or stop following the list after one odd entry.
    async with deployment(tmp_path) as machines:
        logs = [tmp_path / f"{host}-gateway.log" for host in machines.hosts]
        engine, *others = machines.engines
        entries = make_unreadable_entries()
        for number, (kind, entry) in enumerate(entries.items()):
            machines.cloud.other_entries = [entry]
            is_gone = number % 2 == 0
            machines.cloud.engines = others if is_gone else machines.engines
            event = "endpoint-gone" if is_gone else "endpoint-found"
            text = f'"kind":"{event}","endpoint":"{engine.name}"'
            count = 1 + (number + 1) // 2

            async def is_followed(text=text, count=count):
                return all(log.read_text().count(text) >= count for log in logs)

            await machines.wait_until(is_followed, f"{event} beside {kind}")
            for host in machines.hosts:
                for send in (send_booking, send_generation):
                    status, _, _ = await send(machines, host, f"{kind}-{host}")
                    assert status == 200, kind
        lines = "".join(log.read_text() for log in logs)
        assert 1 <= lines.count("skipped the entry") <= len(entries)
        assert "unexpected error" not in lines
        for process in machines.processes.values():
            assert process.returncode is None


async def test_request_with_an_invalid_size_affects_no_gateway(tmp_path):
    # Guards against load reports that end for good after one request.
    async with deployment(tmp_path) as machines:
        for host in machines.hosts:
            for number, headers in enumerate(make_invalid_sizes()):
                status, _, _ = await send_generation(
                    machines, host, f"{number}{host}", **headers
                )
                assert status == 400, headers
        await asyncio.sleep(1.5)
        for path in tmp_path.glob("*-gateway.log"):
            text = path.read_text()
            assert "task-restarted" not in text
            assert "unexpected error" not in text


async def test_disconnected_caller_ends_the_request(tmp_path):
    # Guards against requests that keep running after their caller has disconnected.
    async with deployment(tmp_path) as machines:
        for engine in machines.engines:
            engine.pause_s, engine.events = 0.2, 100
        task = asyncio.create_task(send_generation(machines, machines.hosts[0], "g1"))
        await asyncio.sleep(0.6)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, BulrushbendError):
            await task
        await asyncio.sleep(0.5)
        log = next(tmp_path.glob(f"{machines.hosts[0]}-gateway.log")).read_text()
        assert "request-abandoned" in log


async def test_control_on_a_machine_without_a_disk_stays_up(tmp_path):
    # Guards against a process that exits and is restarted in a loop, on spare machines
    # and on sites with fewer disks than machines that run control.
    machines = Machines(tmp_path, size=1)
    try:
        host = machines.hosts[0]
        await machines.start(host, "control", has_disk=False)

        async def has_started():
            return "no data folder" in machines.logs()

        await machines.wait_until(
            has_started, "the process logs that it has no data folder"
        )
        process = machines.processes[host, "control"]
        machines.send(signal.SIGTERM, host, "control")
        async with asyncio.timeout(10):
            assert await process.wait() == 0
    finally:
        await machines.stop()
