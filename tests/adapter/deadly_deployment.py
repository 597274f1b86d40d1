"""Deployment whose engines crash on some requests."""

import asyncio
import contextlib

from machines import Machines
from platform_builders import encode, make_config, make_route

SEED = 26
ROUTES = [
    make_route("gen", max_attempts=2, resumable=True),
    make_route("once", max_attempts=1, resumable=False),
    make_route(
        "book", service="app", type="idempotent", max_attempts=2, resumable=False
    ),
]
TEAMS = [{"name": f"crew-{key}", "api_keys": [key], "priority": 1} for key in "abc"]


@contextlib.asynccontextmanager
async def deployment(folder, model_engines):
    """Start three gateways before engines that list their starts with a lag."""
    machines = Machines(folder, model_engines=model_engines, seed=SEED)
    try:
        await machines.start_all()
        services = [
            {
                "name": "llm",
                "max_conns": 370,
                "backend": {"slots": 8, "kv_capacity": 500_000},
            },
            {"name": "app", "max_conns": 110},
        ]
        content = encode(make_config(routes=ROUTES, services=services, tenants=TEAMS))

        async def published():
            return await machines.publish(machines.hosts[0], content) == 200

        await machines.wait_until(published, "the configuration is accepted")
        for host in machines.hosts:
            await machines.wait_until(
                lambda host=host: machines.is_ready(host), f"{host} is ready"
            )
        yield machines
    finally:
        await machines.stop()


def model_engines(machines):
    return [engine for engine in machines.engines if engine.service == "llm"]


async def restart(load, host, restarts):
    """Kill a gateway and start it again; callers return to it once it is ready."""
    machines = load.machines
    load.ready.discard(host)
    await machines.kill(host, "gateway")
    restarts[host] = asyncio.get_running_loop().time()
    await machines.start(host, "gateway")
    await machines.wait_until(lambda: machines.is_ready(host), f"{host} is ready")
    load.ready.add(host)
