import asyncio

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.strain import LoopStrain


def test_one_long_delay_is_no_strain():
    strain = LoopStrain(ManualClock())
    strain.note(150.0)
    assert not strain.is_strained


def test_strain_ends_only_when_the_delay_is_small_again():
    # Guards against requests that are taken and refused in turns.
    strain = LoopStrain(ManualClock())
    for _ in range(20):
        strain.note(60.0)
    assert strain.is_strained
    for _ in range(20):
        strain.note(20.0)
    assert strain.is_strained
    for _ in range(20):
        strain.note(2.0)
    assert not strain.is_strained


async def test_delay_of_the_loop_is_measured():
    # Guards against a measurement that counts its own pause.
    clock = ManualClock()
    strain = LoopStrain(clock)
    task = asyncio.create_task(strain.run())
    await asyncio.sleep(0)
    for _ in range(10):
        await clock.advance(20)
    assert strain.delay_ms == 0.0
    task.cancel()
