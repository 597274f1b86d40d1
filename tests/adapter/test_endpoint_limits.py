"""Endpoints that limit the rate of requests from all gateways together."""

import asyncio
import signal

import pytest
from machines import is_loopback_range_usable
from test_sessions import deployment, send_booking, send_generation

from bulrushbend.core.errors import BulrushbendError

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

# Bounds of the platform's rule.
CONTACT_S = 3.0
WINDOW_S = 4.0
RATE = 3.0
ALLOWED = 1.5 * RATE * WINDOW_S + 5


def count_most(times_s, start_s):
    """Return the largest number of times within a window that begins after a start."""
    later = sorted(at_s for at_s in times_s if at_s >= start_s)
    return max(
        (
            sum(start <= at_s < start + WINDOW_S for at_s in later[index:])
            for index, start in enumerate(later)
        ),
        default=0,
    )


async def send_load(machines, send, duration_s):
    """Send 60 requests a second to the gateways in turn, and return the statuses."""
    statuses = []

    async def send_one(number):
        host = machines.hosts[number % len(machines.hosts)]
        try:
            statuses.append((await send(machines, host, f"l{number}"))[0])
        except BulrushbendError:
            statuses.append(0)

    async with asyncio.TaskGroup() as group:
        for number in range(int(60 * duration_s)):
            group.create_task(send_one(number))
            await asyncio.sleep(1 / 60)
    return statuses


@pytest.mark.parametrize("send", [send_booking, send_generation])
async def test_limited_endpoint_gets_no_more_than_it_states_while_gateways_restart(
    tmp_path, send
):
    """Guards against gateways that each use the whole limit, or forget it."""
    async with deployment(tmp_path, model_engines=1) as machines:
        engine = machines.engines[1 if send is send_booking else 0]
        engine.limit_per_s = RATE
        start_s = asyncio.get_running_loop().time()
        load = asyncio.create_task(send_load(machines, send, CONTACT_S + 8.0))
        await asyncio.sleep(CONTACT_S + 3.0)
        host = machines.hosts[0]
        machines.send(signal.SIGTERM, host, "gateway")
        statuses = await load
        arrivals = [arrival.at_s for arrival in engine.arrivals]
        assert count_most(arrivals, start_s + CONTACT_S) <= ALLOWED
        assert statuses.count(200) >= 0.5 * RATE * (CONTACT_S + 8.0)
        assert {status for status in statuses if status not in (200, 0)} == {503}
