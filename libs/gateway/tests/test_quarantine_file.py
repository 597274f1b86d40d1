"""Tests of quarantines that outlive all gateways."""

import asyncio

import pytest
from gateway_builders import (
    BAD,
    MINUTE_MS,
    SUBJECTS,
    GatewayComponents,
    make_prompt_call,
    quarantined_fleet,
)

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.quarantine_file import QuarantineFile


def stored(components, folder, clock):
    return QuarantineFile(
        folder, components.quarantine, components.request_quarantine, clock
    )


async def save(file):
    running = asyncio.create_task(file.run())
    await asyncio.sleep(0.1)
    running.cancel()


@SUBJECTS
@pytest.mark.parametrize("down_ms", [1_000.0, 30_000.0, 100_000.0])
async def test_quarantine_outlives_all_gateways(
    tmp_path, make_deadly, remaining_ms, down_ms
):
    # Guards against requests that crash endpoints again after all gateways ended.
    clock = ManualClock(1e6)
    known = (await quarantined_fleet(clock, make_deadly)).components["g1"]
    await save(stored(known, tmp_path, clock))
    await clock.advance(down_ms)
    fresh = GatewayComponents(clock=clock, name="g1")
    stored(fresh, tmp_path, clock).load()
    assert remaining_ms(fresh) == pytest.approx(remaining_ms(known), abs=5.0)
    assert fresh.quarantine.known or fresh.request_quarantine.known


async def test_quarantine_is_adopted_after_the_time_of_day_was_set_back(tmp_path):
    clock = ManualClock(1e6)
    known = (await quarantined_fleet(clock, make_prompt_call)).components["g1"]
    await save(stored(known, tmp_path, clock))
    earlier = ManualClock(1e6 - 5_000.0)
    fresh = GatewayComponents(clock=earlier, name="g1")
    stored(fresh, tmp_path, earlier).load()
    assert 0.0 < fresh.quarantine.remaining_ms(BAD) <= MINUTE_MS


@pytest.mark.parametrize(
    "content",
    [b"", b"\xff", b"[]", b'{"quarantines": [{"digests": ["a"]}]}', b'{"quarantines":'],
)
async def test_unreadable_quarantines_are_reported_and_replaced(
    tmp_path, caplog, content
):
    # Guards against a gateway that does not start since its disk held other bytes.
    (tmp_path / "quarantines.json").write_bytes(content)
    clock = ManualClock(1e6)
    components = (await quarantined_fleet(clock, make_prompt_call)).components["g1"]
    file = stored(components, tmp_path, clock)
    file.load()
    assert "starting without them" in caplog.text
    await save(file)
    fresh = GatewayComponents(clock=clock, name="g1")
    stored(fresh, tmp_path, clock).load()
    assert fresh.quarantine.known


async def test_quarantines_are_stored_once_a_full_disk_has_room(tmp_path, caplog):
    # Guards against a gateway that ends, or gives up, since its disk was full.
    clock = ManualClock(1e6)
    components = (await quarantined_fleet(clock, make_prompt_call)).components["g1"]
    folder = tmp_path / "data"
    folder.write_bytes(b"in the way")
    running = asyncio.create_task(stored(components, folder, clock).run())
    await asyncio.sleep(0.1)
    assert "trying again" in caplog.text
    folder.unlink()
    await clock.advance(5_000.0)
    await asyncio.sleep(0.1)
    running.cancel()
    assert (folder / "quarantines.json").exists()
