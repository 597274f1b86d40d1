"""What crashes engines is known after all gateways were killed at one moment."""

import asyncio

import pytest
from deadly_deployment import SEED, deployment
from machines import is_loopback_range_usable
from prompt_load import Prompt, PromptLoad

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

# Bounds of the platform's rules.
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
MIN_BEGUN_FRACTION = 0.5

FIRST = "5c1e0"
DEADLY = "dead0"
BODY = b"crashes without a prompt"
PARTS = [f"ab{number:02x}" for number in range(12)]
DEADLY_PER_S = 8.0
SPELL_S = 3.0
MAX_SPELLS = 4
CRASHES_UNTIL_QUARANTINE = 2


def make_deadly_prompt(load, kind):
    if kind == "request":
        return Prompt("a", (), "book", BODY)
    return Prompt("a", (FIRST, DEADLY, load.random.choice(PARTS)), "once")


def make_sound_prompt(load, kind):
    if kind == "request":
        return Prompt("a", (), "book")
    return Prompt("a", (FIRST, load.random.choice(PARTS)), "once")


async def kill_all_gateways(load):
    machines = load.machines
    load.ready.clear()
    await asyncio.gather(*(machines.kill(host, "gateway") for host in machines.hosts))
    for host in machines.hosts:
        await machines.start(host, "gateway")
    for host in machines.hosts:
        await machines.wait_until(
            lambda host=host: machines.is_ready(host), f"{host} is ready"
        )
        load.ready.add(host)


@pytest.mark.parametrize("kind", ["part", "request"])
async def test_killed_gateways_do_not_send_what_is_known_to_crash_engines(
    tmp_path, kind
):
    # Guards against a fleet whose services crash again after all gateways were killed.
    loop = asyncio.get_running_loop()
    async with deployment(tmp_path, model_engines=8) as machines:
        service = "app" if kind == "request" else "llm"
        engines = [e for e in machines.engines if e.service == service]
        for engine in engines:
            engine.deadly_parts = {DEADLY}
            engine.deadly_bodies = {BODY}
            engine.first_event_s = 0.05
            engine.down_s = 2.5
        load = PromptLoad(machines, SEED)

        def deadly_arrivals(since_s):
            return [
                arrival.request_id
                for engine in engines
                for arrival in engine.arrivals
                if arrival.at_s >= since_s
                and (arrival.body == BODY or DEADLY in arrival.parts)
            ]

        async def send_deadly():
            await load.send_periodically(
                DEADLY_PER_S, SPELL_S, lambda: make_deadly_prompt(load, kind)
            )

        def crashes():
            return [at_s for engine in engines for at_s in engine.crashes]

        await load.send_periodically(20.0, 2.0, lambda: make_sound_prompt(load, kind))
        for _ in range(MAX_SPELLS):
            await send_deadly()
            if len(crashes()) >= CRASHES_UNTIL_QUARANTINE:
                break
        await asyncio.sleep(max(0.0, max(crashes()) + CONTACT_S - loop.time()))
        await kill_all_gateways(load)
        await asyncio.sleep(CONTACT_S)
        killed_s, sent = loop.time(), len(load.attempts)
        async with asyncio.TaskGroup() as group:
            group.create_task(send_deadly())
            group.create_task(
                load.send_periodically(
                    20.0, SPELL_S, lambda: make_sound_prompt(load, kind)
                )
            )
        late = deadly_arrivals(killed_s)
        assert len(late) <= MAX_LATE_ARRIVALS, f"{len(late)} requests reached engines"
        sound = [
            attempt.has_begun
            for attempt in load.attempts[sent:]
            if attempt.prompt.body != BODY and DEADLY not in attempt.prompt.parts
        ]
        assert sum(sound) >= MIN_BEGUN_FRACTION * len(sound)
