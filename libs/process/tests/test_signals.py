"""Signals of a daemon."""

import asyncio
import contextlib
import os
import signal

import pytest

from bulrushbend.process.daemon import run_until_signal

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@contextlib.asynccontextmanager
async def waiting_for_signals(drain, reload=None):
    stopping = asyncio.create_task(run_until_signal(drain, reload))
    await asyncio.sleep(0.01)
    try:
        yield stopping
    finally:
        stopping.cancel()
        await asyncio.gather(stopping, return_exceptions=True)
        for number in HANDLED:
            asyncio.get_running_loop().remove_signal_handler(number)


async def send(*numbers):
    for number in numbers:
        os.kill(os.getpid(), number)
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    ("numbers", "is_cancelled"),
    [
        ([signal.SIGTERM, signal.SIGTERM, signal.SIGHUP], False),
        ([signal.SIGINT, signal.SIGTERM], False),
        ([signal.SIGTERM, signal.SIGINT], True),
        ([signal.SIGTERM, signal.SIGTERM, signal.SIGINT], True),
    ],
)
async def test_only_an_interrupt_cancels_a_drain(numbers, is_cancelled):
    # Guards against a supervisor's second SIGTERM that cuts off requests.
    drained = asyncio.Event()
    async with waiting_for_signals(drained.wait) as stopping:
        await send(*numbers)
        assert stopping.done() is is_cancelled
        drained.set()
        await stopping


async def test_settings_are_reloaded_after_an_unexpected_error():
    # Guards against a process that never follows its settings again.
    reloads = []

    def reload():
        reloads.append(len(reloads))
        if len(reloads) == 1:
            raise ValueError("an error of the test")

    async with waiting_for_signals(asyncio.Event().wait, reload):
        await send(signal.SIGHUP, signal.SIGHUP)
    assert reloads == [0, 1]
