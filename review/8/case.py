"""Streams that an engine ends inside an event."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from standins import (
    Deployment,
    Engine,
    Message,
    Record,
    encode_chunk,
    encode_head,
    is_troubled,
    make_config,
    make_route,
    run_case,
)

TENANTS = [{"name": "hule930", "api_keys": ["k7b2ex5wa5xw"], "priority": 1}]
EVENTS = 8
# Events before the one inside which a stream ends.
WHOLE_EVENTS = 3
REQUESTS = 20
EVENT = b"id: %d\ndata: token %d\n\n"


def whole_stream() -> bytes:
    """Return the events of a stream."""
    return b"".join(EVENT % (number, number) for number in range(1, EVENTS + 1))


class Service:
    """Engines of which the first one asked ends a stream inside an event."""

    def __init__(self, record: Record):
        self._record = record
        self.broken: dict[str, str] = {}

    async def respond(self, engine: Engine, request: Message, writer) -> None:
        """Stream events; the first answer to a marked request ends inside one."""
        attempt_id = request.headers["attempt-id"]
        first = int(request.headers.get("last-event-id") or 0) + 1
        headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(encode_head(200, request, engine.instance, headers))
        ends_early = is_troubled() and attempt_id not in self.broken
        last = WHOLE_EVENTS if ends_early else EVENTS
        for number in range(first, last + 1):
            writer.write(encode_chunk(EVENT % (number, number)))
            await asyncio.sleep(0.02)
        if ends_early:
            self.broken[attempt_id] = engine.instance
            event = EVENT % (last + 1, last + 1)
            writer.write(encode_chunk(event[: len(event) // 2]))
            self._record.add(
                f"engine {engine.instance} ends {attempt_id} inside event {last + 1}"
            )
        writer.write(encode_chunk(b""))
        await writer.drain()


async def play(record: Record, folder: Path) -> str:
    """Play the case."""
    service = Service(record)
    engines = [(str(number), "llm", service.respond) for number in range(3)]
    routes = [
        make_route("resumed", resumable=True),
        make_route("once", resumable=False, max_attempts=1),
    ]
    broken = []
    async with Deployment(folder, record, engines) as fleet:
        await fleet.begin(make_config(7, routes, TENANTS))
        for number in range(REQUESTS):
            route = routes[number % 2]["name"]
            host = fleet.hosts[number % len(fleet.hosts)]
            attempt_id = f"{route}-{number:02d}"
            headers = {
                "Host": "shop.example",
                "Authorization": f"Token {TENANTS[0]['api_keys'][0]}",
                "Attempt-Id": attempt_id,
                "Deadline-Ms": "15000",
                "Model": "m",
                "Token-Usage": "400,40",
                "Prefix-Hash": f"5c1e07a2:300,f{number:x}:100",
            }
            record.add(f"{attempt_id} is sent to machine {fleet.number(host)}")
            answer = await fleet.call(
                host, 8783, "POST", f"/{route}/x", headers, b"body"
            )
            is_whole = answer.body == whole_stream()
            record.add(
                f"{attempt_id} gets {answer.status or 'no answer'}, "
                f"{'complete' if answer.is_complete else 'broken off'}, "
                f"{'whole' if is_whole else 'not whole'}, ends with "
                f"{answer.body[-24:]!r}"
            )
            if answer.status == 200 and answer.is_complete and not is_whole:
                broken.append(attempt_id)
            await asyncio.sleep(0.05)
    summary = f"{len(broken)} of {REQUESTS} streams end as complete inside an event"
    record.add(summary)
    print(summary)
    return summary if broken else ""


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
