import pytest

from bulrushbend.agent.daemon import run_agent
from bulrushbend.core.errors import SettingsError

from .builders import build_settings, fixed_length, running_agent


async def answer(request, writer):
    writer.write(fixed_length(b"done"))


async def test_claimed_request_runs_and_its_answer_is_returned():
    async with running_agent(answer) as (_, _, endpoint, router):
        exchange = await router.post(await router.claim(), b'{"x": 1}')
        assert exchange.status == 200
        assert exchange.headers["Bulrushbend-Status"] == "200"
        assert exchange.headers["Bulrushbend-Request"] == "req-1"
        assert await exchange.body() == b"done"
        [request] = endpoint.requests
        assert (request.method, request.body) == ("POST", b'{"x": 1}')
        assert request.path == "/v1/chat/completions"


@pytest.mark.parametrize("address", ["http_address", "link_address"])
async def test_address_in_use_raises_a_settings_error(address):
    # The stop after a failed start must not hide the cause of the failure.
    async with running_agent(answer) as (settings, _, _, _):
        taken = build_settings(**{address: getattr(settings, address)})
        with pytest.raises(SettingsError, match="in use"):
            await run_agent(taken)
