import asyncio

import pytest

from bulrushbend.core.errors import SettingsError
from bulrushbend.process import daemon


@pytest.mark.parametrize(
    "error", [SettingsError("invalid"), OverflowError("too large")]
)
async def test_settings_are_reloaded_after_an_error(error, monkeypatch):
    # Guards against a process that does not follow its settings after one bad file.
    monkeypatch.setattr(daemon, "RELOAD_INTERVAL_S", 0.01)
    loop, calls = asyncio.get_running_loop(), []

    def reload():
        calls.append(loop.time())
        if len(calls) == 1:
            raise error

    task = asyncio.create_task(daemon._reload_settings_periodically(loop, reload))
    await asyncio.sleep(0.3)
    assert not task.done()
    assert len(calls) > 2
    task.cancel()
