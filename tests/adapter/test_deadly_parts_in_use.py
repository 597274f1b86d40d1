"""Prompt parts that were answered before engines begin to crash on them."""

import asyncio

import pytest
from deadly_deployment import SEED, deployment, model_engines
from machines import is_loopback_range_usable
from prompt_load import Prompt, PromptLoad

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)

# Bounds of the platform's rules.
CONTACT_S = 3.0
CRASHES_UNTIL_KNOWN = 5
MAX_LATE_ARRIVALS = 3
MIN_BEGUN_FRACTION = 0.5

FIRST = "5c1e0"
DEADLY = "dead0"
SHARED = [f"ab{number:02x}" for number in range(8)]
CALM_S = 4.0
DEADLY_S = 18.0


async def test_part_that_becomes_deadly_while_it_is_in_use_reaches_few_engines(
    tmp_path,
):
    # Guards against engines that crash without end on a part in use (review/2).
    loop = asyncio.get_running_loop()
    async with deployment(tmp_path, model_engines=5) as machines:
        engines = model_engines(machines)
        for engine in engines:
            engine.first_event_s = 0.05
            engine.down_s = 2.5
        load = PromptLoad(machines, SEED)

        def make_sound_prompt():
            return Prompt("a", (FIRST, load.random.choice(SHARED)))

        async def begin_trouble():
            await asyncio.sleep(CALM_S)
            for engine in engines:
                engine.deadly_parts = {DEADLY}

        began_s = loop.time()
        duration_s = CALM_S + DEADLY_S
        async with asyncio.TaskGroup() as group:
            for rate_per_s, make_prompt in (
                (2.0, lambda: Prompt("a", (FIRST, DEADLY))),
                (8.0, make_sound_prompt),
            ):
                sending = load.send_periodically(rate_per_s, duration_s, make_prompt)
                group.create_task(sending)
            group.create_task(begin_trouble())
        crashes = sorted(at_s for engine in engines for at_s in engine.crashes)
        known_s = crashes[:CRASHES_UNTIL_KNOWN][-1]
        late = [
            arrival.request_id
            for engine in engines
            for arrival in engine.arrivals
            if DEADLY in arrival.parts and arrival.at_s > known_s + CONTACT_S
        ]
        seen = f"crashes at {[round(at_s - began_s, 2) for at_s in crashes]} s"
        assert len(late) <= MAX_LATE_ARRIVALS, seen
        sound = [a for a in load.attempts if DEADLY not in a.prompt.parts]
        calm_end_s = began_s + CALM_S
        before = [a.has_begun for a in sound if a.sent_s < calm_end_s - 1.0]
        settled_s = known_s + 2 * CONTACT_S
        after = [a.has_begun for a in sound if a.sent_s >= settled_s]
        begun_before = sum(before) / len(before)
        begun_after = sum(after) / len(after)
        assert begun_after >= MIN_BEGUN_FRACTION * begun_before, seen
