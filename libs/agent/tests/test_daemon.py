from .builders import running_agent, whole


async def answer(request, writer):
    writer.write(whole(b"done"))


async def test_claimed_request_runs_and_its_answer_comes_back():
    async with running_agent(answer) as (_, _, endpoint, router):
        exchange = await router.post(await router.claim(), b'{"x": 1}')
        assert exchange.status == 200
        assert exchange.headers["Bulrushbend-Status"] == "200"
        assert exchange.headers["Bulrushbend-Request"] == "req-1"
        assert await exchange.body() == b"done"
        [request] = endpoint.requests
        assert (request.method, request.body) == ("POST", b'{"x": 1}')
        assert request.path == "/v1/chat/completions"
