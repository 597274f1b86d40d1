import asyncio


async def test_each_caller_gets_its_own_answer(fleet, agent):
    # Guards against answers that are sent to another caller.
    await fleet.start(agent)
    calls = [fleet.start_request(body=f"body-{n}".encode()) for n in range(40)]
    answers = await asyncio.gather(*calls)
    for number, answer in enumerate(answers):
        assert answer.status == 200
        assert answer.outcome == "answered"
        request_id = answer.headers["Bulrushbend-Request"]
        assert answer.body.decode() == f"echo {request_id} body-{number}"
