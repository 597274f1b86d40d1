"""A prompt part that was answered before begins to crash the engines.

Callers use the part all the time. From `DEADLY_FROM_S` on it crashes each engine that
begins to write an answer on it; the engine is back after 3 s.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from harness import (  # noqa: E402
    CONTACT_S,
    Client,
    Deployment,
    make_config,
    make_route,
    run_case,
    send_at_rate,
)

# With TROUBLE=0 the script does the same without the disruption.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
DEADLY = "b00d"
FIRST = ("5c1e", 512)
OTHERS = [(f"a{number:03x}", 1_000) for number in range(8)]
DEADLY_FROM_S = 8.0
DURATION_S = 40.0
# The rule: more than three requests later than `contact_ms` after the fifth crash.
CRASHES = 5
MAX_LATE = 3


async def main() -> bool:
    """Return whether the rule was broken."""
    async with Deployment(CASE, engines=5) as deployment:
        await deployment.configure(make_config([make_route("season-plan")]))
        tasks: set[asyncio.Task[object]] = set()
        count = 0

        def send(part: tuple[str, int]):
            nonlocal count
            count += 1
            name = f"c{count:04d}"
            client = Client(deployment, name, random.choice(deployment.hosts), "k1")
            parts = [FIRST, part, (f"f{count:05x}", 400)]
            return client.send("/season-plan/2f", parts)

        async def start_trouble() -> None:
            await asyncio.sleep(DEADLY_FROM_S)
            deployment.record.write("trouble", part=DEADLY, is_on=IS_TROUBLED)
            if IS_TROUBLED:
                for engine in deployment.engines:
                    engine.deadly.add(DEADLY)

        await asyncio.gather(
            send_at_rate(2.0, DURATION_S, lambda: send((DEADLY, 1_000)), tasks),
            send_at_rate(8.0, DURATION_S, lambda: send(random.choice(OTHERS)), tasks),
            start_trouble(),
        )
        await asyncio.wait(tasks, timeout=10.0)
        crashes = sorted(at for engine in deployment.engines for at in engine.crashes)
        known_s = crashes[CRASHES - 1] if len(crashes) >= CRASHES else float("inf")
        late = [
            request_id
            for engine in deployment.engines
            for at, request_id, parts in engine.arrivals
            if DEADLY in parts[:-1] and at > known_s + CONTACT_S
        ]
        results = [task.result() for task in tasks if task.done()]
        ends = [end for _, _, end in results]
        deployment.record.write(
            "result",
            crashes=len(crashes),
            fifth_s=f"{known_s:.3f}",
            late_arrivals=len(late),
            allowed=MAX_LATE,
            requests=len(results),
            complete=ends.count("complete"),
            refused=ends.count("refused"),
            failed=ends.count("failed"),
            broken=ends.count("broken"),
            left=ends.count("left"),
        )
        return len(late) > MAX_LATE


if __name__ == "__main__":
    run_case(main)
