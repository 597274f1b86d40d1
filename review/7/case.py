"""A disk that is lost right after a planned replacement of a control machine."""

import asyncio
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from standins import (
    CannotRunError,
    Deployment,
    Engine,
    Message,
    Record,
    encode_head,
    is_troubled,
    make_config,
    make_route,
    run_case,
)

TENANTS = [{"name": "hule930", "api_keys": ["k7b2ex5wa5xw"], "priority": 1}]
ROLES = ("control", "gateway")
# The successor runs for this long before the old machine is stopped; `catch_up_s` is 4.
SUCCESSOR_AHEAD_S = 10.0
# Time from the acknowledgement to the loss of the disk, and until the machine is back.
LOST_AFTER_ACK_S = 0.4
DOWN_S = 1.3
RECOVERY_S = 12.0
WATCHED_S = 30.0
FIRST_VERSION, SECOND_VERSION = 7, 12


async def respond(engine: Engine, request: Message, writer) -> None:
    """Answer at once."""
    head = encode_head(200, request, engine.instance, {"Content-Length": "2"})
    writer.write(head + b"ok")


def config(version: int) -> dict:
    """Return the configuration with a version."""
    route = make_route(
        "count", service="app", type="idempotent", resumable=False, timeout_ms=800
    )
    return make_config(version, [route], TENANTS)


async def publish(fleet: Deployment, host: str, version: int) -> None:
    """Send a configuration until it is acknowledged."""
    deadline_s = time.monotonic() + 10.0
    while await fleet.publish(host, config(version)) != 200:
        if time.monotonic() > deadline_s:
            raise CannotRunError(f"version {version} is not acknowledged")
        await asyncio.sleep(0.1)


async def replace_first(fleet: Deployment) -> None:
    """Start the successor of the first machine, and stop that one later."""
    old, successor = fleet.hosts[0], fleet.hosts[3]
    for role in ROLES:
        await fleet.start(successor, role)
    await fleet.wait_ready(successor)
    await asyncio.sleep(SUCCESSOR_AHEAD_S)
    for role in ROLES:
        fleet.send(signal.SIGTERM, old, role)
    await fleet.wait_end(old, "control")


async def lose_disk(fleet: Deployment, record: Record, folder: Path) -> None:
    """Kill the processes of the second machine, and start them with an empty disk."""
    host = fleet.hosts[1]
    for role in ROLES:
        fleet.send(signal.SIGKILL, host, role)
    for role in ROLES:
        await fleet.wait_end(host, role)
        shutil.rmtree(folder / f"data-{host}-{role}", ignore_errors=True)
    record.add("machine 2 has lost its disk")
    await asyncio.sleep(DOWN_S)
    for role in ROLES:
        await fleet.start(host, role)


async def read_back(fleet: Deployment, record: Record, hosts, until_s: float) -> str:
    """Read the configuration from any machine until one returns it."""
    last = ""
    while time.monotonic() < until_s:
        for host in hosts:
            answer = await fleet.call(
                host, 8785, "GET", "/bulrushbend/Config.Read", timeout_s=2.0
            )
            record.add(
                f"read at machine {fleet.number(host)}: {answer.status or 'no answer'}"
                f" {answer.body[:16].decode('latin1')}"
            )
            if answer.status == 200:
                return answer.body.decode()
            last = f"{answer.status}"
        await asyncio.sleep(0.5)
    record.add(f"the configuration does not come; the last answer is {last}")
    return ""


async def send_requests(fleet: Deployment, record: Record, hosts) -> tuple[int, int]:
    """Send requests for some seconds; return how many were sent and how many served."""
    served = 0
    for number in range(20):
        host = hosts[number % len(hosts)]
        headers = {
            "Host": "shop.example",
            "Authorization": f"Token {TENANTS[0]['api_keys'][0]}",
            "Attempt-Id": f"r{number:04d}",
            "Deadline-Ms": "1500",
        }
        answer = await fleet.call(host, 8783, "GET", "/count/x", headers, timeout_s=2.0)
        record.add(
            f"r{number:04d} to machine {fleet.number(host)}: "
            f"{answer.status or 'no answer'}"
        )
        served += answer.status == 200
        await asyncio.sleep(0.2)
    return number + 1, served


async def play(record: Record, folder: Path) -> str:
    """Play the case."""
    engines = [("0", "app", respond)]
    async with Deployment(folder, record, engines, size=4) as fleet:
        first = fleet.hosts[:3]
        for host in first:
            for role in ("control", "gateway"):
                await fleet.start(host, role, bootstrap=True)
        await publish(fleet, first[0], FIRST_VERSION)
        for host in first:
            await fleet.wait_ready(host)
        await replace_first(fleet)
        remaining = fleet.hosts[1:]
        await publish(fleet, fleet.hosts[2], SECOND_VERSION)
        if is_troubled():
            await asyncio.sleep(LOST_AFTER_ACK_S)
            await lose_disk(fleet, record, folder)
        back_s = time.monotonic()
        content = await read_back(fleet, record, remaining, back_s + WATCHED_S)
        await asyncio.sleep(max(0.0, back_s + RECOVERY_S - time.monotonic()))
        sent, served = await send_requests(fleet, record, remaining)
    is_read = f'"version": {SECOND_VERSION},' in content
    summary = (
        f"version {SECOND_VERSION}, which was acknowledged, is "
        f"{'read back' if is_read else 'gone'}; {served} of {sent} requests are served "
        f"later than {RECOVERY_S:g} s after the machine is back"
    )
    record.add(summary)
    print(summary)
    return "" if is_read else summary


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
