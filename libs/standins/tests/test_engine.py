import asyncio
import json

import pytest
from standin_builders import completion, fetch, send

from bulrushbend.core.errors import (
    ConnectError,
    PeerTimeoutError,
    TruncatedResponseError,
)
from bulrushbend.standins.engine import Engine
from bulrushbend.standins.settings import EngineSettings

PATH = "/v1/chat/completions"


@pytest.fixture
async def engine():
    engine = Engine(EngineSettings(slots=2, load_lag_ms=0))
    engine.start()
    yield engine
    engine.stop()


async def test_answer_carries_the_nonce_at_both_ends(engine):
    status, body = await fetch(
        engine.server.address, "POST", PATH, completion(x_nonce="n1")
    )
    text = json.loads(body)["choices"][0]["message"]["content"]
    assert status == 200
    assert text == "begin:n1 t0 t1 t2 t3 end:n1"


async def test_resumed_stream_has_no_gap_and_no_repetition(engine):
    address = engine.server.address
    asked = completion(x_nonce="n", stream=True, x_tokens=20, x_cost_ms=150)
    first = await send(address, "POST", PATH, asked, X_Request_Id="r1")
    first_chunk = await anext(first.chunks())
    first.close()
    last_id = first_chunk.decode().rsplit("id: ", 1)[1].split("\n")[0]
    status, rest = await fetch(address, "GET", "/v1/streams/r1", Last_Event_ID=last_id)
    events = first_chunk + rest
    ids = [int(line[4:]) for line in events.split(b"\n") if line.startswith(b"id: ")]
    assert status == 200
    assert ids == list(range(23))
    assert events.endswith(b"data: [DONE]\n\n")


async def test_cancelled_stream_releases_its_slot(engine):
    address = engine.server.address
    asked = completion(stream=True, x_cost_ms=60_000)
    stream = await send(address, "POST", PATH, asked, X_Request_Id="r2")
    _, body = await fetch(address, "DELETE", "/v1/streams/r2")
    assert json.loads(body) == {"state": "cancelled"}
    with pytest.raises(TruncatedResponseError):
        await stream.body()
    await asyncio.sleep(0.2)
    assert engine.slots.running == 0


async def test_requests_above_the_slot_limit_are_reported_as_waiting(engine):
    address = engine.server.address
    calls = [fetch(address, "POST", PATH, completion(x_cost_ms=200)) for _ in "abc"]
    running = asyncio.gather(*calls)
    await asyncio.sleep(0.1)
    _, report = await fetch(address, "GET", "/metrics")
    await running
    assert b'vllm:num_requests_running{model_name="engine"} 2' in report
    assert b'vllm:num_requests_waiting{model_name="engine"} 1' in report
    assert engine.slots.peak_waiting == 1


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        ({"kind": "truncate", "after_bytes": 30}, TruncatedResponseError),
        ({"kind": "silence", "after_bytes": 30}, PeerTimeoutError),
        ({"kind": "cut"}, TruncatedResponseError),
    ],
)
@pytest.mark.parametrize("stream", [False, True])
async def test_fault_breaks_one_answer_only(engine, fault, error, stream):
    address = engine.server.address
    asked = completion(stream=stream)
    await fetch(address, "POST", "/faults", fault)
    with pytest.raises(error):
        await fetch(address, "POST", PATH, asked)
    assert (await fetch(address, "POST", PATH, asked))[0] == 200


async def test_fault_of_a_prompt_breaks_the_answers_on_that_prompt_only(engine):
    address = engine.server.address
    sound, deadly = [
        completion(stream=True, messages=[{"role": "system", "content": text}])
        for text in ("sound", "deadly")
    ]
    fault = {"kind": "truncate", "times": 0, "prompt": "deadly"}
    await fetch(address, "POST", "/faults", fault)
    for _ in range(2):
        assert (await fetch(address, "POST", PATH, sound))[0] == 200
        with pytest.raises(TruncatedResponseError):
            await fetch(address, "POST", PATH, deadly)


async def test_connections_are_accepted_again_after_refuse_fault(engine):
    address = engine.server.address
    await fetch(address, "POST", "/faults", {"kind": "refuse", "delay_ms": 100})
    with pytest.raises(ConnectError):
        await fetch(address, "POST", PATH, completion())
    await asyncio.sleep(0.2)
    assert (await fetch(address, "POST", PATH, completion()))[0] == 200


@pytest.mark.parametrize("document", [[], {"x_tokens": "a"}, {"x_cost_ms": -1}])
async def test_bad_request_is_answered_400_and_does_not_run(engine, document):
    assert (await fetch(engine.server.address, "POST", PATH, document))[0] == 400
    assert engine.runs.total == 0
